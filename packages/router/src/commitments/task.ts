/**
 * The task that runs non-repeatable calls at most once in the whole fleet.
 *
 * @module
 */

import {
  type CommitmentEntry,
  type CommitmentPlan,
  CommitmentState,
  readSnapshot,
  writeSnapshot,
} from "@endivebend/commitments";
import { createError, type ErrorCode } from "@endivebend/errors";
import type { LogRecord } from "@endivebend/types";
import type {
  AtMostOnceRunner,
  Clock,
  Explainer,
  FollowedStream,
  Identity,
  MembershipView,
  Metrics,
  Scheduler,
  ServiceAnswer,
  ServiceCall,
  ServiceDispatcher,
  StreamFold,
} from "../ports.ts";
import { decodeAnswer } from "./answers.ts";
import { CallPlanner } from "./call_planner.ts";
import { CallRunner } from "./call_runner.ts";
import { describeCall, type DescribedCall } from "./described_call.ts";
import { KeyWaiters } from "./key_waiters.ts";
import { LocalIntents } from "./local_intents.ts";
import { OrphanedIntents } from "./orphaned_intents.ts";
import { RecordWriter } from "./record_writer.ts";
import type { CommitmentTaskSettings } from "./settings.ts";

const REPORT_INTERVAL_MS = 1000;
/** Pseudo-key of the waiters for the end of all local intents. */
const ALL_SETTLED_KEY = "all settled";

/** Dependencies of {@link CommitmentTask}. */
export interface CommitmentTaskOptions {
  readonly identity: Identity;
  readonly stream: FollowedStream;
  readonly membership: MembershipView;
  readonly dispatcher: ServiceDispatcher;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly metrics: Metrics;
  readonly explainer: Explainer;
  readonly settings: CommitmentTaskSettings;
}

type PlanOf<Kind extends CommitmentPlan["kind"]> = Extract<
  CommitmentPlan,
  { kind: Kind }
>;

/** The call's answer, or undefined when the call must be planned again. */
type HandlerResult = Promise<ServiceAnswer | undefined>;

/** Runs calls at most once and applies the `commitments` stream's records. */
export class CommitmentTask implements AtMostOnceRunner, StreamFold {
  readonly #options: CommitmentTaskOptions;
  readonly #intents = new LocalIntents();
  readonly #waiters: KeyWaiters;
  readonly #writer: RecordWriter;
  readonly #runner: CallRunner;
  readonly #planner: CallPlanner;
  readonly #orphanedIntents: OrphanedIntents;
  readonly #unsubscribe: () => void;
  #state: CommitmentState;
  #gap: { readonly wasCaughtUp: boolean } | undefined;
  #cancelReport: () => void = () => {};

  constructor(options: CommitmentTaskOptions) {
    this.#options = options;
    this.#state = new CommitmentState(options.settings.state);
    this.#waiters = new KeyWaiters(options.clock, options.scheduler);
    this.#writer = new RecordWriter(options);
    this.#orphanedIntents = new OrphanedIntents(options, this.#writer);
    this.#runner = new CallRunner({
      ...options,
      writer: this.#writer,
      intents: this.#intents,
      state: () => this.#state,
      onChange: (keyDigest) => this.#waiters.wake(keyDigest),
    });
    this.#planner = new CallPlanner({
      ...options,
      intents: this.#intents,
      state: () => this.#state,
    });
    this.#unsubscribe = options.membership.onChange(() => {
      this.#waiters.wakeAll();
    });
    this.#orphanedIntents.scheduleCheck();
    this.#reportMetrics();
  }

  /** Calls of this daemon whose end is not in the log yet. */
  get unsettledCalls(): number {
    return this.#intents.size;
  }

  /**
   * Resolves with true once the end of each call of this daemon is in the log,
   * with false at the deadline. A planned stop awaits it.
   */
  async drain(
    options: { readonly deadlineElapsedMs: number },
  ): Promise<boolean> {
    while (this.#intents.size > 0) {
      if (!await this.#waiters.wait(ALL_SETTLED_KEY, options)) return false;
    }
    return true;
  }

  /** Stops timers and appends; called when the daemon ends. */
  stop(): void {
    this.#writer.stop();
    this.#unsubscribe();
    this.#orphanedIntents.stop();
    this.#cancelReport();
  }

  async run(call: ServiceCall): Promise<ServiceAnswer> {
    const described = describeCall(call);
    for (;;) {
      const plan = this.#planner.plan(described);
      this.#options.metrics.increment("commitments.plans", { kind: plan.kind });
      // The table is typed per kind; the plan's kind selects the handler.
      const handler = this.#handlers[plan.kind] as (
        described: DescribedCall,
        plan: CommitmentPlan,
      ) => HandlerResult;
      const answer = await handler(described, plan);
      if (answer !== undefined) return answer;
    }
  }

  apply(record: LogRecord): void {
    this.#resolveGap(record);
    for (const keyDigest of this.#state.apply(record)) {
      const entry = this.#state.get(keyDigest);
      if (entry) this.#onEntryChange(entry);
      this.#waiters.wake(keyDigest);
    }
    this.#orphanedIntents.settleWhenCaughtUp();
    if (this.#intents.size === 0) this.#waiters.wake(ALL_SETTLED_KEY);
  }

  /** Called when the log dropped records before this daemon read them. */
  onGap(): void {
    this.#gap = { wasCaughtUp: this.#options.stream.isCaughtUp() };
  }

  /**
   * Refuses keys as old as the records dropped in a gap, which are older than
   * the first record after it. There is no need for it when a daemon found the
   * log empty at its start, because then the records were dropped by age.
   */
  #resolveGap(record: LogRecord): void {
    if (this.#gap === undefined) return;
    const wasEmpty = !this.#gap.wasCaughtUp &&
      this.#options.stream.isCaughtUp();
    this.#gap = undefined;
    if (!wasEmpty) this.#state.raiseHorizon(record.appendedAtMs);
  }

  snapshot(): { readonly json: string; readonly offset: LogRecord["offset"] } {
    const { stream, settings } = this.#options;
    const offset = stream.nextOffset() - 1;
    const maxAnswersBytes = settings.maxSnapshotAnswersBytes;
    const json = writeSnapshot(this.#state, { maxAnswersBytes });
    return { json, offset: offset as LogRecord["offset"] };
  }

  restore(json: string): void {
    this.#state = readSnapshot(json, this.#options.settings.state);
    for (const entry of this.#state.entries()) this.#onEntryChange(entry);
    this.#waiters.wakeAll();
  }

  readonly #handlers: {
    readonly [Kind in CommitmentPlan["kind"]]: (
      described: DescribedCall,
      plan: PlanOf<Kind>,
    ) => HandlerResult;
  } = {
    append_intent: (described, plan) => {
      return this.#runner.run(described, plan.attempt);
    },
    dispatch: ({ call }) => this.#options.dispatcher.dispatchOnce(call),
    replay: (_described, plan) => Promise.resolve(decodeAnswer(plan.outcome)),
    refuse: (_described, plan) => {
      const { code, message, ran } = plan;
      const retryAfterMs = plan.retryAfterMs ?? this.#retryAfterMs(code);
      const retryHint = retryAfterMs === undefined ? {} : { retryAfterMs };
      return Promise.reject(createError(code, message, { ran, ...retryHint }));
    },
    wait_for_outcome: (described) => this.#waitForOutcome(described),
    unknown: (_described, plan) => {
      return Promise.reject(createError("outcome_unknown", plan.message));
    },
  };

  #retryAfterMs(code: ErrorCode): number | undefined {
    if (code !== "platform_unavailable") return undefined;
    return this.#options.settings.retryAfterMs;
  }

  async #waitForOutcome(
    { call, commitmentCall }: DescribedCall,
  ): HandlerResult {
    const keyDigest = commitmentCall.keyDigest ?? "";
    const { deadlineElapsedMs } = call;
    const hasChanged = await this.#waiters.wait(keyDigest, {
      deadlineElapsedMs,
    });
    if (hasChanged) return undefined;
    if (this.#intents.get(keyDigest)?.state.kind === "given_up") {
      const message = "An earlier attempt was given up and holds the key " +
        "until the platform's log answers; retry later";
      const { retryAfterMs } = this.#options.settings;
      throw createError("platform_unavailable", message, { retryAfterMs });
    }
    throw createError(
      "outcome_unknown",
      "The first call under the idempotency key still runs; retry later",
    );
  }

  #onEntryChange(entry: Readonly<CommitmentEntry>): void {
    this.#intents.removeIfEnded(entry);
    this.#orphanedIntents.trackEntry(entry);
  }

  #reportMetrics(): void {
    const { metrics, scheduler } = this.#options;
    metrics.gauge("commitments.keys", this.#state.keyCount);
    metrics.gauge("commitments.answers_bytes", this.#state.answersBytes);
    metrics.gauge("commitments.unsettled", this.#intents.size);
    metrics.gauge("commitments.malformed", this.#state.malformedRecords);
    this.#cancelReport = scheduler.after(
      REPORT_INTERVAL_MS,
      () => this.#reportMetrics(),
    );
  }
}

/**
 * Creates the task. Pass it to the follower of the `commitments` stream, which
 * applies the stream's records to it, and to the listener for callers, which
 * runs calls with it.
 *
 * @example
 * ```ts
 * const gate = createCommitmentTask(options);
 * const answer = await gate.run(call);
 * ```
 */
export function createCommitmentTask(
  options: CommitmentTaskOptions,
): CommitmentTask {
  return new CommitmentTask(options);
}
