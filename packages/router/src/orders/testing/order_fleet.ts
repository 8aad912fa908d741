/**
 * A fleet of orders tasks with one log and a few engines, in virtual time.
 *
 * @module
 */

import type { EngineOrderState } from "@endivebend/orders";
import type {
  BackendServerId,
  IncarnationId,
  VmEntry,
  VmId,
} from "@endivebend/types";
import { FakeFollower, FakeLog } from "../../commitments/testing/fake_log.ts";
import {
  ProcessTime,
  VirtualTime,
} from "../../commitments/testing/virtual_time.ts";
import type { MembershipView } from "../../ports.ts";
import type { OrderBody, SendAnswer } from "../engine_order_client.ts";
import type { OrderRequest, OrderResult } from "../order_run.ts";
import { createOrdersTask, type OrdersTask } from "../orders_task.ts";
import { DEFAULT_ORDERS_SETTINGS } from "../settings.ts";

const LOAD_MS = 400;

/** A fault of sending one order to an engine. */
export interface SendFault {
  readonly kind: "none" | "lost_request" | "lost_answer";
  readonly delayMs: number;
}

/** An engine that loads weights and may not check fencing tokens. */
export class FakeEngine {
  readonly accepted: OrderBody[] = [];
  readonly checksFence: boolean;
  weightsVersion = "first";
  isLoading = false;
  #loading: string | undefined;
  readonly #time: VirtualTime;

  constructor(time: VirtualTime, checksFence: boolean) {
    this.#time = time;
    this.checksFence = checksFence;
  }

  accept(order: OrderBody): SendAnswer {
    const lastFence = this.accepted.at(-1)?.fence ?? -1;
    if (this.checksFence && order.fence < lastFence) return { kind: "stale" };
    this.accepted.push(order);
    this.#load(order.weightsVersion);
    return { kind: "accepted" };
  }

  /** A version that is served or being loaded is not loaded again. */
  #load(version: string): void {
    if (version === (this.#loading ?? this.weightsVersion)) return;
    this.#loading = version;
    this.isLoading = true;
    this.#time.after(LOAD_MS, () => {
      if (this.#loading !== version) return;
      this.#loading = undefined;
      this.isLoading = false;
      this.weightsVersion = version;
    });
  }

  readState(): EngineOrderState {
    const lastFence = this.accepted.at(-1)?.fence;
    return { lastFence, weightsVersion: this.weightsVersion };
  }
}

/** One daemon process that runs the task. */
export interface OrderVm {
  readonly vmId: VmId;
  readonly incarnation: IncarnationId;
  readonly time: ProcessTime;
  readonly task: OrdersTask;
}

/** VMs, the engines they issue orders to, and the results. */
export class OrderFleet {
  readonly time = new VirtualTime();
  readonly log = new FakeLog(this.time);
  readonly engines = new Map<string, FakeEngine>();
  readonly vms: OrderVm[] = [];
  readonly results: (OrderResult | { readonly kind: "threw" })[] = [];
  readonly sendFaults: SendFault[] = [];
  maxConcurrentLoads = 0;
  #incarnations = 0;

  constructor(
    options: {
      readonly vmCount: number;
      readonly engineCount: number;
      readonly checksFence: boolean;
    },
  ) {
    for (let n = 0; n < options.engineCount; n++) {
      this.engines.set(`e${n}`, new FakeEngine(this.time, options.checksFence));
    }
    for (let n = 0; n < options.vmCount; n++) this.#startVm(n);
  }

  vm(index: number): OrderVm {
    const vm = this.vms[index];
    if (vm === undefined) throw new RangeError(`No VM ${index}`);
    return vm;
  }

  engine(id: string): FakeEngine {
    const engine = this.engines.get(id);
    if (engine === undefined) throw new RangeError(`No engine ${id}`);
    return engine;
  }

  restart(index: number): void {
    const vm = this.vm(index);
    vm.time.end();
    vm.task.stop();
    this.#startVm(index);
  }

  async issue(
    index: number,
    engineId: string,
    weightsVersion: string,
  ): Promise<void> {
    const order: OrderRequest = {
      engineId: engineId as BackendServerId,
      kind: "load_model",
      model: "m",
      weightsVersion,
    };
    const deadlineElapsedMs = this.time.elapsedMs() + 30_000;
    const result = await this.vm(index).task
      .issue(order, { deadlineElapsedMs })
      .catch(() => ({ kind: "threw" as const }));
    this.results.push(result);
  }

  #startVm(index: number): void {
    const vmId = `vm-${index}` as VmId;
    this.#incarnations++;
    const incarnation = `i${this.#incarnations}` as IncarnationId;
    const time = new ProcessTime(this.time);
    const stream = new FakeFollower(this.log, time, {
      fold: () => ({ apply: (record) => task?.apply(record) }),
      lagMs: 1,
    });
    const task: OrdersTask = createOrdersTask({
      identity: { vmId, incarnation, failureDomain: "d1" as never },
      stream,
      membership: this.#membership(),
      client: {
        send: (address, order) => this.#send(address, order, time),
        fetchState: (address) => this.#fetchState(address, time),
      },
      clock: time,
      scheduler: time,
      metrics: { increment() {}, gauge() {}, timing() {} },
      logger: { info() {}, warn() {}, error() {} },
      settings: DEFAULT_ORDERS_SETTINGS,
      checksFence: (engineId) => this.engine(engineId).checksFence,
    });
    this.vms[index] = { vmId, incarnation, time, task };
  }

  #membership(): MembershipView {
    const entryOf = (vmId: string) => ({ vmId, address: vmId } as VmEntry);
    return {
      entryVms: () => this.vms.map((vm) => entryOf(vm.vmId)),
      entryVm: () => undefined,
      incarnationOf: (vmId) =>
        this.vms.find((vm) => vm.vmId === vmId)?.incarnation,
      hasEnded: () => false,
      backendServers: () => [],
      backendServer: (id) =>
        this.engines.has(id)
          ? {
            id,
            entry: entryOf(id),
            incarnation: undefined,
            weightsVersion: undefined,
            takesNewWork: true,
            isLeaving: false,
            isStale: false,
          }
          : undefined,
      onChange: () => () => {},
    };
  }

  #send(
    address: string,
    order: OrderBody,
    sender: ProcessTime,
  ): Promise<SendAnswer> {
    const { kind, delayMs } = this.sendFaults.shift() ??
      { kind: "none", delayMs: 2 };
    return new Promise((resolve) => {
      const lost: SendAnswer = { kind: "unknown", reason: "No answer" };
      sender.after(1000, () => resolve(lost));
      if (kind === "lost_request") return;
      this.time.after(delayMs, () => {
        const answer = this.engine(address).accept(order);
        const loads = [...this.engines.values()].filter((e) => e.isLoading);
        this.maxConcurrentLoads = Math.max(
          this.maxConcurrentLoads,
          loads.length,
        );
        if (kind === "none") sender.after(1, () => resolve(answer));
      });
    });
  }

  #fetchState(address: string, time: ProcessTime): Promise<EngineOrderState> {
    return new Promise((resolve) => {
      time.after(1, () => resolve(this.engine(address).readState()));
    });
  }
}
