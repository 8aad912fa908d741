/**
 * A fleet of commitment tasks with one log and one service, in virtual time.
 *
 * @module
 */

import { createError } from "@endivebend/errors";
import type {
  IncarnationId,
  RequestId,
  ServiceName,
  TeamId,
  VmId,
} from "@endivebend/types";
import type {
  MembershipView,
  RouteRule,
  ServiceAnswer,
  ServiceCall,
} from "../../ports.ts";
import {
  type CommitmentTaskSettings,
  defaultCommitmentSettings,
} from "../settings.ts";
import { type CommitmentTask, createCommitmentTask } from "../task.ts";
import { FakeFollower, FakeLog } from "./fake_log.ts";
import { ProcessTime, VirtualTime } from "./virtual_time.ts";

/** A fault of the service in one call. */
export interface ServiceFault {
  readonly kind: "none" | "not_sent" | "fails_after_run" | "never_answers";
  readonly delayMs: number;
}

/** Result of a call as its caller sees it. */
export interface CallResult {
  readonly requestId: string;
  readonly key: string | undefined;
  readonly answer?: string;
  readonly ran?: string;
  readonly code?: string;
  readonly atMs: number;
}

/** One daemon process that runs the task. */
export interface FleetVm {
  readonly vmId: VmId;
  readonly incarnation: IncarnationId;
  readonly time: ProcessTime;
  readonly task: CommitmentTask;
}

export const bookingRoute: RouteRule = {
  path: "/bookings",
  methods: ["POST"],
  service: "bookings" as ServiceName,
  repeatable: false,
  open: false,
  costTokens: 1,
  deduplicates: false,
  unkeyed: false,
  requireTimedKeys: false,
};

const team = "st-mary" as TeamId;
const HOUR_MS = 3_600_000;

/** VMs, their callers, and a service that records every call it runs. */
export class Fleet {
  readonly time = new VirtualTime();
  readonly log = new FakeLog(this.time);
  readonly runs: { readonly requestId: string; readonly key: string }[] = [];
  readonly results: CallResult[] = [];
  /** Faults of the next dispatches, in order; later ones have none. */
  readonly serviceFaults: ServiceFault[] = [];
  readonly vms: FleetVm[] = [];
  readonly #settings: CommitmentTaskSettings;
  readonly #lagsMs: readonly number[];
  #incarnations = 0;
  #requests = 0;

  constructor(
    options: {
      readonly lagsMs: readonly number[];
      readonly settings?: Partial<CommitmentTaskSettings>;
    },
  ) {
    const defaults = defaultCommitmentSettings({ retentionMs: 4 * HOUR_MS });
    this.#settings = { ...defaults, ...options.settings };
    this.#lagsMs = options.lagsMs;
    options.lagsMs.forEach((_lagMs, index) => this.#startVm(index));
  }

  vm(index: number): FleetVm {
    const vm = this.vms[index % this.vms.length];
    if (vm === undefined) throw new RangeError("The fleet has no VM");
    return vm;
  }

  /** Kills a VM's process and starts another on the same VM. */
  restart(index: number): void {
    const vm = this.vm(index);
    vm.time.end();
    vm.task.stop();
    this.#startVm(index % this.vms.length);
  }

  /** Sends a call to a VM and records its result. */
  async call(
    index: number,
    key: string | undefined,
    options: {
      readonly timeoutMs?: number;
      readonly body?: string;
      readonly route?: Partial<RouteRule>;
    } = {},
  ): Promise<CallResult> {
    this.#requests++;
    const requestId = `r-${this.#requests}`;
    const call: ServiceCall = {
      requestId: requestId as RequestId,
      team,
      route: { ...bookingRoute, ...options.route },
      method: "POST",
      path: "/bookings",
      headers: {},
      body: Buffer.from(options.body ?? "{}"),
      idempotencyKey: key,
      deadlineElapsedMs: this.time.elapsedMs() + (options.timeoutMs ?? 2000),
    };
    const vm = this.vm(index);
    const needsCommitment = !call.route.repeatable && !call.route.open;
    const running = needsCommitment
      ? vm.task.run(call)
      : this.#dispatch(call, vm.time);
    const outcome = await running.then(
      (answer) => ({ answer: answer.body.toString() }),
      ({ ran, code }) => ({ ran, code }),
    );
    const atMs = this.time.elapsedMs();
    const result = { requestId, key, ...outcome, atMs };
    this.results.push(result);
    return result;
  }

  #startVm(index: number): void {
    const vmId = `vm-${index}` as VmId;
    this.#incarnations++;
    const incarnation = `i${this.#incarnations}` as IncarnationId;
    const time = new ProcessTime(this.time);
    const lagMs = this.#lagsMs[index] ?? 1;
    const stream = new FakeFollower(this.log, time, {
      fold: () => task,
      lagMs,
    });
    const task: CommitmentTask = createCommitmentTask({
      identity: { vmId, incarnation, failureDomain: "d1" as never },
      stream,
      membership: this.#membership(),
      dispatcher: { dispatchOnce: (call) => this.#dispatch(call, time) },
      clock: time,
      scheduler: time,
      metrics: { increment() {}, gauge() {}, timing() {} },
      explainer: { record() {}, explain: () => undefined },
      settings: this.#settings,
    });
    this.vms[index] = { vmId, incarnation, time, task };
  }

  #membership(): MembershipView {
    return {
      entryVms: () => [],
      entryVm: () => undefined,
      incarnationOf: (vmId) =>
        this.vms.find((vm) => vm.vmId === vmId)?.incarnation,
      hasEnded: () => false,
      backendServers: () => [],
      backendServer: () => undefined,
      onChange: () => () => {},
    };
  }

  #dispatch(call: ServiceCall, time: ProcessTime): Promise<ServiceAnswer> {
    const { kind, delayMs } = this.serviceFaults.shift() ??
      { kind: "none", delayMs: 5 };
    const { requestId, idempotencyKey: key = "" } = call;
    return new Promise((resolve, reject) => {
      if (kind === "not_sent") {
        const refusal = createError("no_backend_server", "No server answers");
        time.after(delayMs, () => reject(refusal));
        return;
      }
      this.runs.push({ requestId, key });
      const body = Buffer.from(`booking ${this.runs.length}`);
      if (kind === "never_answers") return;
      time.after(delayMs, () => {
        if (kind === "none") resolve({ status: 201, headers: {}, body });
        else reject(createError("backend_server_failed", "Connection reset"));
      });
    });
  }
}
