/**
 * A fleet of limits and rights tasks in virtual time, over one in-memory log,
 * for tests.
 *
 * @module
 */

import type { PeerClient, PeerClients } from "@endivebend/peers";
import {
  brandId,
  type FailureDomainId,
  type IncarnationId,
  type LogOffset,
  type LogRecord,
  type RequestId,
  type TeamId,
  type VmEntry,
  type VmId,
} from "@endivebend/types";
import type {
  AppendRecord,
  AppendResult,
  ChargeResult,
  Clock,
  ConfigurationView,
  FollowedStream,
  MembershipView,
  Metrics,
  Scheduler,
  TeamLimits,
  TeamView,
} from "../ports.ts";
import {
  createLimitsTask,
  createRightsTask,
  type LimitsTask,
  RightsFold,
  type RightsTask,
} from "./mod.ts";

interface Timer {
  readonly atMs: number;
  readonly order: number;
  readonly task: () => void;
}

/** A clock and scheduler whose time a test advances. */
export class VirtualTime implements Clock, Scheduler {
  #nowMs = 0;
  #order = 0;
  #timers: Timer[] = [];

  wallMs = () => 1_000_000 + this.#nowMs;
  elapsedMs = () => this.#nowMs;

  after(delayMs: number, task: () => void): () => void {
    const atMs = this.#nowMs + Math.max(0, delayMs);
    const timer = { atMs, order: this.#order++, task };
    this.#timers.push(timer);
    return () => {
      this.#timers = this.#timers.filter((each) => each !== timer);
    };
  }

  /** Advances the time and runs all timers that are due, and their callbacks. */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.#nowMs + durationMs;
    await settle();
    for (
      let dueTimer = this.#nextDueTimer(endMs);
      dueTimer;
      dueTimer = this.#nextDueTimer(endMs)
    ) {
      this.#nowMs = Math.max(this.#nowMs, dueTimer.atMs);
      this.#timers = this.#timers.filter((each) => each !== dueTimer);
      dueTimer.task();
      await settle();
    }
    this.#nowMs = endMs;
  }

  #nextDueTimer(endMs: number): Timer | undefined {
    return this.#timers
      .filter((timer) => timer.atMs <= endMs)
      .sort((a, b) => a.atMs - b.atMs || a.order - b.order)[0];
  }
}

/** Event loop turns that the longest chain of asynchronous calls takes. */
const SETTLE_TURNS = 12;

function nextEventLoopTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Lets pending promise callbacks run while virtual time stands still. */
export async function settle(): Promise<void> {
  for (let turn = 0; turn < SETTLE_TURNS; turn++) await nextEventLoopTurn();
}

/** An in-memory `rights` stream. */
export class MemoryLog {
  readonly records: LogRecord[] = [];
  isDown = false;

  append(record: AppendRecord, appendedAtMs: number): LogOffset {
    const offset = brandId<LogOffset>(this.records.length);
    this.records.push({ offset, appendedAtMs, value: record });
    return offset;
  }
}

class MemoryStream implements FollowedStream {
  readonly stream = "rights";
  readonly #fold: RightsFold;
  readonly #log: MemoryLog;
  readonly #time: VirtualTime;
  #next = 0;
  #isCaughtUp = false;
  #lastAnswerMs: number;

  constructor(fold: RightsFold, log: MemoryLog, time: VirtualTime) {
    this.#fold = fold;
    this.#log = log;
    this.#time = time;
    this.#lastAnswerMs = time.elapsedMs();
  }

  nextOffset = () => this.#next;
  isCaughtUp = () => this.#isCaughtUp;
  silenceMs = () => this.#time.elapsedMs() - this.#lastAnswerMs;

  /** Reads the log, or a peer's copy of it while the log is down. */
  read(peer?: MemoryStream): void {
    if (this.#log.isDown && peer === undefined) return;
    const until = peer?.nextOffset() ?? this.#log.records.length;
    if (peer === undefined) this.#lastAnswerMs = this.#time.elapsedMs();
    for (const record of this.#log.records.slice(this.#next, until)) {
      this.#next = record.offset + 1;
      this.#fold.apply(record);
    }
    this.#isCaughtUp = true;
  }

  append(record: AppendRecord): Promise<AppendResult> {
    if (this.#log.isDown) {
      return Promise.resolve({ kind: "not_appended", reason: "down" });
    }
    const offset = this.#log.append(record, this.#time.wallMs());
    this.read();
    return Promise.resolve({ kind: "appended", offset });
  }

  appendBatch(records: readonly AppendRecord[]): Promise<AppendResult> {
    const [first] = records.map((record) => this.append(record));
    return first ??
      Promise.reject(new Error("No record to append; pass at least one"));
  }

  whenApplied = () => Promise.resolve(true);
}

const NO_METRICS: Metrics = {
  increment: () => {},
  gauge: () => {},
  timing: () => {},
};

/** The limits and rights tasks of one daemon. */
export interface TestVm {
  readonly vmId: VmId;
  readonly domain: FailureDomainId;
  readonly stream: MemoryStream;
  readonly rights: RightsTask;
  readonly limits: LimitsTask;
  isReachable: boolean;
}

/** Settings of a test fleet. */
export interface TestFleetOptions {
  /** VM names by failure domain. */
  readonly domains: Readonly<Record<string, readonly string[]>>;
  readonly limits: Readonly<Record<string, TeamLimits>>;
  readonly floorFraction?: number;
}

const LEASE_MS = 2000;
const READ_INTERVAL_MS = 20;

/** A fleet whose VMs can call each other unless `isReachable` is false. */
export class TestFleet {
  readonly time = new VirtualTime();
  readonly log = new MemoryLog();
  readonly vms = new Map<string, TestVm>();
  readonly ended = new Set<string>();
  readonly #options: TestFleetOptions;
  readonly #listeners = new Set<() => void>();
  #incarnations = 0;

  constructor(options: TestFleetOptions) {
    this.#options = options;
    for (const [domain, names] of Object.entries(options.domains)) {
      for (const name of names) this.start(name, domain);
    }
    this.#readRepeatedly();
  }

  vm(name: string): TestVm {
    const vm = this.vms.get(name);
    if (vm === undefined) throw new Error(`Start the VM ${name} first`);
    return vm;
  }

  /** Starts a VM, or replaces it by a new incarnation. */
  start(name: string, domain: string): TestVm {
    this.vms.get(name)?.rights.stop();
    this.vms.get(name)?.limits.stop();
    const identity = {
      vmId: brandId<VmId>(name),
      incarnation: brandId<IncarnationId>(`i${this.#incarnations++}`),
      failureDomain: brandId<FailureDomainId>(domain),
    };
    const fold = new RightsFold();
    const stream = new MemoryStream(fold, this.log, this.time);
    const commonOptions = {
      identity,
      membership: this.#membership(),
      clock: this.time,
      scheduler: this.time,
      metrics: NO_METRICS,
    };
    const failureDomains = Object.keys(this.#options.domains)
      .map((id) => brandId<FailureDomainId>(id));
    const logger = { info: () => {}, warn: () => {}, error: () => {} };
    const rights = createRightsTask({
      ...commonOptions,
      fold,
      stream,
      logger,
      failureDomains,
      loanLeaseMs: LEASE_MS,
    });
    const limits = createLimitsTask({
      ...commonOptions,
      rights,
      configuration: this.#configuration(),
      peers: this.#peers(name),
      explainer: { record: () => {}, explain: () => undefined },
      settings: {
        loanLeaseMs: LEASE_MS,
        floorFraction: this.#options.floorFraction ?? 0.25,
        chargeTimeoutMs: 500,
      },
    });
    const vm = {
      vmId: identity.vmId,
      domain: identity.failureDomain,
      stream,
      rights,
      limits,
      isReachable: true,
    };
    this.vms.set(name, vm);
    stream.read();
    rights.start();
    limits.start();
    return vm;
  }

  stop(): void {
    for (const vm of this.vms.values()) {
      vm.rights.stop();
      vm.limits.stop();
    }
  }

  /** Charges at a VM; a promise of a waiting charge needs time to advance. */
  charge(
    name: string,
    options: {
      readonly team: string;
      readonly costTokens: number;
      readonly waitMs?: number;
    },
  ): Promise<ChargeResult> {
    return this.vm(name).limits.charge({
      team: brandId<TeamId>(options.team),
      costTokens: options.costTokens,
      requestId: brandId<RequestId>("r"),
      deadlineElapsedMs: this.time.elapsedMs() + (options.waitMs ?? 0),
    });
  }

  notifyMembership(): void {
    for (const listener of this.#listeners) listener();
  }

  #readRepeatedly(): void {
    for (const vm of this.vms.values()) vm.stream.read();
    this.time.after(READ_INTERVAL_MS, () => this.#readRepeatedly());
  }

  #entry(vm: TestVm): VmEntry {
    return {
      vmId: vm.vmId,
      role: "entry",
      state: "live",
      address: String(vm.vmId),
      failureDomain: vm.domain,
    };
  }

  #membership(): MembershipView {
    return {
      entryVms: () =>
        [...this.vms.values()].filter((vm) => vm.isReachable)
          .map((vm) => this.#entry(vm)),
      entryVm: (vmId) => {
        const vm = this.vms.get(vmId);
        return vm === undefined ? undefined : this.#entry(vm);
      },
      incarnationOf: () => undefined,
      hasEnded: (vmId) => this.ended.has(vmId),
      backendServers: () => [],
      backendServer: () => undefined,
      onChange: (listener) => {
        this.#listeners.add(listener);
        return () => this.#listeners.delete(listener);
      },
    };
  }

  #configuration(): ConfigurationView {
    const view = (team: TeamId): TeamView | undefined => {
      const limits = this.#options.limits[team];
      if (limits === undefined) return undefined;
      return { team, limits, services: [], models: [], routes: [] };
    };
    return {
      appliedOffset: () => 0,
      isReady: () => true,
      checkKey: () => ({ kind: "refused", code: "unknown_key" }),
      team: view,
      openRoute: () => undefined,
      isDrainRequested: () => false,
      onChange: () => () => {},
    };
  }

  #peers(from: string): PeerClients {
    const call = async (to: string, method: string, request: unknown) => {
      await nextEventLoopTurn();
      const target = this.vms.get(to);
      const isUnreachable = !target?.isReachable ||
        !this.vms.get(from)?.isReachable;
      if (target === undefined || isUnreachable) throw new Error("unreachable");
      const handlers = target.limits.handlers as unknown as Record<
        string,
        (request: unknown, context: unknown) => Promise<unknown>
      >;
      const { signal } = new AbortController();
      const answer = await handlers[method]?.(request, { signal });
      return { ...DEFAULT_ANSWERS[method], ...(answer as object) };
    };
    const at = (to: string) =>
      new Proxy({}, {
        get: (_, method) => (request: unknown) =>
          call(to, String(method), request),
      }) as PeerClient;
    return { at, setTls: () => {} };
  }
}

const DEFAULT_ANSWERS: Readonly<Record<string, object>> = {
  charge: { granted: false, notHolder: false, code: "", retryAfterMs: 0 },
  borrow: {
    tokens: 0n,
    rateTokensPerSecond: 0,
    capacityTokens: 0n,
    leaseMs: 0,
    notHolder: false,
  },
};
