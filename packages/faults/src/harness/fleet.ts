/**
 * A whole fleet as processes: platform, engines, services, daemons and the
 * links between their failure domains.
 *
 * @module
 */

import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { StandInKind } from "@endivebend/stand-ins";
import {
  brandId,
  type FailureDomainId,
  type ServiceName,
  type VmEntry,
  type VmId,
  type VmRole,
  type VmState,
} from "@endivebend/types";
import { Daemon } from "./daemon.ts";
import { daemonSettings } from "./daemon_settings.ts";
import type { FleetShape } from "./fleet_shape.ts";
import { Network } from "./network.ts";
import { createTeam, MODEL, publishTemplate, SERVICE } from "./operator.ts";
import type { Team } from "./operator.ts";
import { PortFinder } from "./ports.ts";
import { StandInProcess } from "./stand_in_process.ts";
import { whenServing } from "./when_serving.ts";

/** A backend server and its entry in the VM list. */
export interface BackendServer {
  readonly vm: VmEntry;
  readonly standIn: StandInProcess;
}

/** How a fleet is started. */
export interface FleetOptions {
  readonly shape: FleetShape;
  readonly logDirectory: string | undefined;
}

/** A running fleet. */
export class Fleet {
  readonly network = new Network();
  readonly shape: FleetShape;
  readonly daemons: Daemon[] = [];
  readonly engines: BackendServer[] = [];
  readonly services: BackendServer[] = [];
  readonly #logDirectory: string | undefined;
  readonly #workDirectory = mkdtempSync(join(tmpdir(), "endivebend-faults-"));
  #platform: StandInProcess | undefined;
  #team: Team | undefined;

  constructor(options: FleetOptions) {
    this.shape = options.shape;
    this.#logDirectory = options.logDirectory;
  }

  get platform(): StandInProcess {
    if (this.#platform === undefined) throw new Error("Start the fleet first");
    return this.#platform;
  }

  /** The team that the load calls for. */
  get team(): Team {
    if (this.#team === undefined) throw new Error("Start the fleet first");
    return this.#team;
  }

  /** Starts everything; resolves when every daemon serves. */
  async start(): Promise<void> {
    await this.#startBackends();
    await this.#createDaemons();
    const { address } = this.platform;
    await publishTemplate(address, this.shape.rate);
    const team = await createTeam(address, { name: "st-mary" });
    this.#team = team;
    for (const daemon of this.daemons) daemon.start();
    await Promise.all(this.daemons.map(async (daemon) => {
      await daemon.whenReady();
      await whenServing(daemon, team);
    }));
  }

  /** Creates a further team. */
  async createTeam(
    options: Parameters<typeof createTeam>[1],
  ): Promise<Team> {
    return await createTeam(this.platform.address, options);
  }

  /** Changes the state of a VM in the platform's list. */
  async listState(vm: VmEntry, state: VmState): Promise<void> {
    await this.platform.control({ set_vm_state: { vmId: vm.vmId, state } });
  }

  /** Removes a VM from the platform's list. */
  async unlist(vmId: string): Promise<void> {
    await this.platform.control({ remove_vm: { vmId } });
  }

  /** Ends every process and frees every port. */
  async close(): Promise<void> {
    const standIns = [...this.engines, ...this.services]
      .map(({ standIn }) => standIn);
    await Promise.all([
      ...this.daemons.map((daemon) => daemon.kill()),
      ...standIns.map((standIn) => standIn.process.kill()),
      this.#platform?.process.kill(),
    ]);
    await this.network.close();
    rmSync(this.#workDirectory, { recursive: true });
  }

  async #startBackends(): Promise<void> {
    const { shape } = this;
    this.#platform = await this.#startStandIn("platform", {
      name: "platform",
      options: shape.platform,
    });
    const platformAddress = this.#platform.address;
    const starts = shape.domains.flatMap((domain) => [
      ...numbers(shape.enginesPerDomain).map((number) =>
        this.#startEngine(domain, { number, platformAddress })
      ),
      ...numbers(shape.servicesPerDomain).map((number) =>
        this.#startService(domain, number)
      ),
    ]);
    await Promise.all(starts);
    this.engines.sort(byVmId);
    this.services.sort(byVmId);
  }

  async #startEngine(
    domain: string,
    options: { readonly number: number; readonly platformAddress: string },
  ): Promise<void> {
    const name = `engine-${domain}-${options.number}`;
    const { platformAddress } = options;
    const standIn = await this.#startStandIn("engine", {
      name,
      options: { model: MODEL, platformAddress, ...this.shape.engine },
    });
    const { address } = standIn;
    const vm = makeVm(name, { role: "engine", domain, address });
    this.engines.push({ vm: { ...vm, service: asService(MODEL) }, standIn });
  }

  async #startService(domain: string, number: number): Promise<void> {
    const name = `service-${domain}-${number}`;
    const options = this.shape.service;
    const standIn = await this.#startStandIn("service", { name, options });
    const { address } = standIn;
    const vm = makeVm(name, { role: "service", domain, address });
    this.services.push({ vm: { ...vm, service: asService(SERVICE) }, standIn });
  }

  #startStandIn(
    kind: StandInKind,
    options: {
      readonly name: string;
      readonly options: Readonly<Record<string, unknown>>;
    },
  ): Promise<StandInProcess> {
    const logDirectory = this.#logDirectory;
    return StandInProcess.start({ kind, logDirectory, ...options });
  }

  async #createDaemons(): Promise<void> {
    const { shape, network } = this;
    const planned = await planEntryVms(shape);
    const entries = planned.map(({ vm }) => vm);
    const backends = [...this.engines, ...this.services].map(({ vm }) => vm);
    const vms = [...entries, ...backends];
    const platformAddress = this.platform.address;
    await network.connect(shape.domains, { vms, platformAddress });
    await this.platform.control({ vmListLagMs: 0, set_vms: vms });
    await this.platform.control({ vmListLagMs: shape.platform.vmListLagMs });
    for (const { vm, ports } of planned) {
      this.daemons.push(
        new Daemon({
          vm,
          ports,
          settings: daemonSettings(vm, { ports, entries, network, shape }),
          workDirectory: this.#workDirectory,
          logDirectory: this.#logDirectory,
        }),
      );
    }
  }
}

async function planEntryVms(shape: FleetShape) {
  const finder = new PortFinder();
  const planned = [];
  for (const domain of shape.domains) {
    for (const number of numbers(shape.entryVmsPerDomain)) {
      const ports = {
        callers: await finder.take(),
        operators: await finder.take(),
        peers: await finder.take(),
      };
      // Entry VMs are listed with the address of their peers' listener.
      const address = `127.0.0.1:${ports.peers}`;
      const name = `entry-${domain}-${number}`;
      const vm = makeVm(name, { role: "entry", domain, address });
      planned.push({ vm, ports });
    }
  }
  return planned;
}

function makeVm(
  name: string,
  options: {
    readonly role: VmRole;
    readonly domain: string;
    readonly address: string;
  },
): VmEntry {
  return {
    vmId: brandId<VmId>(name),
    role: options.role,
    state: "live",
    address: options.address,
    failureDomain: brandId<FailureDomainId>(options.domain),
  };
}

function asService(name: string): ServiceName {
  return brandId<ServiceName>(name);
}

function byVmId(left: BackendServer, right: BackendServer): number {
  return left.vm.vmId < right.vm.vmId ? -1 : 1;
}

function numbers(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index + 1);
}
