/**
 * Faults that a play injects, with the times that its plan gives them.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { NO_FAULTS, type ServerFaults } from "./answer_plan.ts";
import { ClientCrowd } from "./client_crowd.ts";
import { SERVICE_BY_KIND } from "./callers.ts";
import type { DaemonProcess } from "./daemon_process.ts";
import { DRAWN_CROWDS } from "./drawn_crowds.ts";
import type { CutLinks, Fleet } from "./fleet.ts";
import {
  DAEMON_GROUPS,
  type LinksFault,
  SERVER_GROUPS,
} from "./link_groups.ts";

/** A fault and when it strikes; what it strikes is chosen by the numbers. */
export interface PlannedFault {
  readonly atMs: number;
  readonly name: FaultName;
  /** Length, or the time until a process is started again. */
  readonly forMs: number;
  /** Picks the daemon; taken modulo their number. */
  readonly daemon: number;
  /** Picks the server; taken modulo their number. */
  readonly server: number;
  /** What `links_cut` cuts. */
  readonly links?: LinksFault;
}

/** Clients of a crowd. */
const CROWD_SIZE = 60;

type Handler = (fleet: Fleet, fault: PlannedFault) => Promise<void>;

function daemonOf(fleet: Fleet, fault: PlannedFault): DaemonProcess {
  return fleet.daemons[fault.daemon % fleet.daemons.length]!;
}

/** Notes a disturbance of one daemon, or of all with -1, while it lasts. */
async function disturb(
  fleet: Fleet,
  { name }: PlannedFault,
  { daemon, work }: {
    readonly daemon: number;
    readonly work: () => Promise<void>;
  },
): Promise<void> {
  const atMs = fleet.ledger.nowMs();
  const entry = { atMs, untilMs: Number.MAX_VALUE, daemon, name };
  fleet.ledger.disturbances.push(entry);
  await work();
  entry.untilMs = fleet.ledger.nowMs();
}

/** Kills a daemon and starts it again, unless another fault has ended it. */
async function killAndStart(
  fleet: Fleet,
  daemon: DaemonProcess,
  downMs: number,
): Promise<void> {
  if (!daemon.isRunning) return;
  await daemon.kill();
  await sleep(downMs);
  fleet.startAgain(daemon);
}

function killSome(
  fleet: Fleet,
  fault: PlannedFault,
  daemons: readonly DaemonProcess[],
): Promise<void> {
  const work = daemons.map((daemon) =>
    disturb(fleet, fault, {
      daemon: daemon.options.index,
      work: () => killAndStart(fleet, daemon, fault.forMs),
    })
  );
  return Promise.all(work).then(() => {});
}

const HANDLERS = {
  daemon_killed: (fleet, fault) =>
    killSome(fleet, fault, [daemonOf(fleet, fault)]),
  half_killed: (fleet, fault) =>
    killSome(
      fleet,
      fault,
      fleet.daemons.filter((_, index) => (index + fault.daemon) % 2 === 0),
    ),
  all_killed: (fleet, fault) => killSome(fleet, fault, fleet.daemons),
  daemon_stopped(fleet, fault) {
    const daemon = daemonOf(fleet, fault);
    return disturb(fleet, fault, {
      daemon: daemon.options.index,
      async work() {
        await daemon.stop();
        await sleep(fault.forMs);
        fleet.startAgain(daemon);
      },
    });
  },
  daemon_frozen(fleet, fault) {
    const daemon = daemonOf(fleet, fault);
    return disturb(fleet, fault, {
      daemon: daemon.options.index,
      async work() {
        daemon.freeze();
        await sleep(fault.forMs);
        daemon.thaw();
      },
    });
  },
  all_frozen(fleet, fault) {
    return disturb(fleet, fault, {
      daemon: -1,
      async work() {
        for (const daemon of fleet.daemons) daemon.freeze();
        await sleep(fault.forMs);
        for (const daemon of fleet.daemons) daemon.thaw();
      },
    });
  },
  // The daemon's connections to the server are accepted and stay silent.
  daemon_cut_from_server(fleet, fault) {
    const { index } = daemonOf(fleet, fault).options;
    const server = fleet.servers[fault.server % fleet.servers.length]!;
    const links = {
      daemons: new Set([index]),
      cut: { fresh: "silent", open: "silent" },
      includes: (one) => one === server,
    } satisfies CutLinks;
    return disturb(fleet, fault, {
      daemon: index,
      async work() {
        fleet.cutLinks(links);
        await sleep(fault.forMs);
        await fleet.mendLinks(links);
      },
    });
  },
  async links_cut(fleet, fault) {
    const { ledger } = fleet;
    const { links: plan } = fault;
    if (plan === undefined) throw new Error("links_cut needs its links");
    const { cut, daemons: group, servers, flapMs = fault.forMs } = plan;
    const daemons = DAEMON_GROUPS[group](fleet, fault.daemon);
    const includes = SERVER_GROUPS[servers];
    const entry = {
      atMs: ledger.nowMs(),
      untilMs: Number.MAX_VALUE,
      daemons,
      name: `${cut.fresh}, open ones ${cut.open}; ${group} from ${servers}` +
        (plan.flapMs === undefined ? "" : `, on and off for ${flapMs} ms`),
      isWhole: servers === "all" && group !== "all" &&
        plan.flapMs === undefined,
    };
    ledger.linkCuts.push(entry);
    const turns = Math.max(1, Math.floor(fault.forMs / (2 * flapMs)));
    for (let turn = 0; turn < turns; turn++) {
      const links = { daemons, cut, includes };
      fleet.cutLinks(links);
      await sleep(flapMs);
      await fleet.mendLinks(links);
      if (plan.flapMs !== undefined) await sleep(flapMs);
    }
    entry.untilMs = ledger.nowMs();
  },
  // Clients outside the limits open connections, send and stay.
  async client_crowd(fleet, fault) {
    const daemon = daemonOf(fleet, fault);
    const sends = DRAWN_CROWDS[fault.server % DRAWN_CROWDS.length]!;
    const { address } = daemon;
    const crowd = new ClientCrowd({ ...address, clients: CROWD_SIZE, sends });
    await sleep(fault.forMs);
    daemon.checkMemory();
    crowd.reset();
  },
  server_crashed(fleet, fault) {
    const up = fleet.servers.filter(({ isUp }) => isUp);
    const server = up[fault.server % up.length];
    if (server === undefined) return Promise.resolve();
    return fleet.restartServer(server, fault.forMs);
  },
  // A server crashes and starts again, as another version, under its id.
  async server_upgraded(fleet, fault) {
    const servers = fleet.serving(SERVICE_BY_KIND.stream);
    const server = servers[fault.server % Math.max(1, servers.length)];
    if (server === undefined) return;
    server.upgrade(server.options.version === "v1" ? "v2" : "v1");
    await fleet.restartServer(server, fault.forMs);
  },
  async server_replaced(fleet, fault) {
    const { faults, options } = leavingServer(fleet, fault);
    const { service, version } = options;
    await fleet.addServer(service, version, faults);
    await leave(fleet, fault);
  },
  // One server of the next version is added and one of an earlier one leaves.
  async server_released(fleet, fault) {
    const service = SERVICE_BY_KIND.stream;
    const servers = fleet.serving(service);
    const versions = servers.map(({ options }) => options.version).sort();
    const [oldest = "v1"] = versions;
    const old = servers.filter(({ options }) => options.version === oldest);
    const newest = versions.at(-1) ?? oldest;
    const next = newest === oldest ? `v${Number(newest.slice(1)) + 1}` : newest;
    const faults = old[0]?.faults;
    await fleet.addServer(service, next, faults);
    const leaving = old[fault.server % Math.max(1, old.length)];
    if (leaving !== undefined) await fleet.removeServer(leaving, fault.forMs);
  },
  version_rollout(fleet, fault) {
    return rollOut(fleet, fault, NO_FAULTS);
  },
  // Half of the plain answers and streams of the new version break off.
  bad_version_rollout(fleet, fault) {
    const faults = { ...NO_FAULTS, cutShare: 0.5, breakOffShare: 0.5 };
    return rollOut(fleet, fault, faults);
  },
} satisfies Readonly<Record<string, Handler>>;

/** Names of all faults. */
export type FaultName = keyof typeof HANDLERS;

/** Orders the next version of the service of streams. */
function rollOut(
  fleet: Fleet,
  { forMs: durationMs }: PlannedFault,
  faults: ServerFaults,
): Promise<void> {
  const service = SERVICE_BY_KIND.stream;
  const versions = fleet.serving(service).map(({ options }) => options.version);
  const newest = versions.sort().at(-1) ?? "v0";
  const to = `v${Number(newest.slice(1)) + 1}`;
  return fleet.rollOut(service, to, { durationMs, faults });
}

function leavingServer(fleet: Fleet, fault: PlannedFault) {
  return fleet.servers[fault.server % fleet.servers.length]!;
}

async function leave(fleet: Fleet, fault: PlannedFault): Promise<void> {
  const server = leavingServer(fleet, fault);
  if (server.leavingSinceMs === undefined) {
    await fleet.removeServer(server, fault.forMs);
  }
}

/**
 * Injects a fault; resolves when it is over.
 *
 * @example
 * ```ts
 * await inject(fleet, { atMs: 0, name: "all_killed", forMs: 500, daemon: 0, server: 0 });
 * ```
 */
export function inject(fleet: Fleet, fault: PlannedFault): Promise<void> {
  return HANDLERS[fault.name](fleet, fault);
}
