/**
 * An in-memory log stream, for tests of the configuration.
 *
 * @module
 */

import {
  brandId,
  type FailureDomainId,
  type IncarnationId,
  type LogOffset,
  type VmEntry,
  type VmId,
} from "@endivebend/types";
import type {
  AppendRecord,
  AppendResult,
  Clock,
  FollowedStream,
  Identity,
  Logger,
  MembershipView,
  Scheduler,
} from "../ports.ts";
import {
  type ConfigurationTask,
  createConfigurationTask,
} from "./configuration_task.ts";

/** A clock that a test sets. */
export class FakeTime implements Clock {
  nowMs = 0;
  wallMs(): number {
    return this.nowMs;
  }
  elapsedMs(): number {
    return this.nowMs;
  }
}

/** How the log handles the next appends. */
export type LogMode = "up" | "down" | "answers_lost";

/** An in-memory log that any number of streams follow. */
export class FakeLog {
  readonly records: AppendRecord[] = [];
  readonly time = new FakeTime();
  readonly #appendedAtMs: number[] = [];
  mode: LogMode = "up";
  readonly #followers: (() => void)[] = [];

  follow(task: ConfigurationTask): FollowedStream {
    let nextOffset = 0;
    const catchUp = () => {
      for (; nextOffset < this.records.length; nextOffset++) {
        const offset = brandId<LogOffset>(nextOffset);
        const value = this.records[nextOffset];
        const appendedAtMs = this.#appendedAtMs[nextOffset] ?? 0;
        task.apply({ offset, appendedAtMs, value });
      }
    };
    this.#followers.push(catchUp);
    return {
      stream: "configuration",
      nextOffset: () => nextOffset,
      isCaughtUp: () => true,
      silenceMs: () => this.mode === "up" ? 0 : 60_000,
      append: (record) => Promise.resolve(this.#append(record)),
      appendBatch: ([record]) => Promise.resolve(this.#append(record!)),
      whenApplied: () => Promise.resolve(true),
    };
  }

  /** Delivers all new records to every follower. */
  deliver(): void {
    for (const catchUp of this.#followers) catchUp();
  }

  #append(record: AppendRecord): AppendResult {
    if (this.mode === "down") {
      return { kind: "not_appended", reason: "The log does not answer" };
    }
    this.#appendedAtMs[this.records.length] = this.time.nowMs;
    this.records.push(record);
    if (this.mode === "answers_lost") {
      return { kind: "unknown", reason: "The answer was lost" };
    }
    this.deliver();
    const offset = brandId<LogOffset>(this.records.length - 1);
    return { kind: "appended", offset };
  }
}

/** A scheduler that never runs a task. */
export const idleScheduler: Scheduler = { after: () => () => {} };
/** A logger that discards its lines. */
export const silentLogger: Logger = {
  info: () => {},
  warn: () => {},
  error: () => {},
};

function createVmEntry(vmId: string): VmEntry {
  return {
    vmId: brandId<VmId>(vmId),
    role: "entry",
    state: "live",
    address: "127.0.0.1:7003",
    failureDomain: brandId<FailureDomainId>("a"),
  };
}

/** A membership of the given entry VMs, without backend servers. */
export function fakeMembership(vmIds: readonly string[]): MembershipView {
  const vms = vmIds.map(createVmEntry);
  return {
    entryVms: () => vms,
    entryVm: (vmId) => vms.find((vm) => vm.vmId === vmId),
    incarnationOf: () => undefined,
    hasEnded: () => false,
    backendServers: () => [],
    backendServer: () => undefined,
    onChange: () => () => {},
  };
}

/** The identity of a test's daemon. */
export function fakeIdentity(vmId: string): Identity {
  return {
    vmId: brandId<VmId>(vmId),
    incarnation: brandId<IncarnationId>("1"),
    failureDomain: brandId<FailureDomainId>("a"),
  };
}

/** Creates a configuration task that follows the log. */
export function startTask(
  log: FakeLog,
  vmId: string,
): { readonly task: ConfigurationTask; readonly stream: FollowedStream } {
  const task: ConfigurationTask = createConfigurationTask({
    stream: () => stream,
    identity: fakeIdentity(vmId),
    membership: fakeMembership(["vm-1", "vm-2"]),
    clock: log.time,
    scheduler: idleScheduler,
    logger: silentLogger,
    logRetentionMs: 1_000_000,
  });
  const stream = log.follow(task);
  return { task, stream };
}

/** Records of a template, a team, and a key whose digest is all ones. */
export const INITIAL_RECORDS: readonly AppendRecord[] = [
  {
    recordId: "r-1",
    kind: "template_published",
    template: "chime",
    body: {
      parameters: {
        tokenRatePerSecond: { default: 100 },
        burstTokens: { default: 500 },
      },
      services: ["chime-llm"],
    },
  },
  { recordId: "r-2", kind: "team_created", team: "st-mary", template: "chime" },
  {
    recordId: "r-3",
    kind: "key_granted",
    team: "st-mary",
    digest: "1".repeat(64),
  },
];
