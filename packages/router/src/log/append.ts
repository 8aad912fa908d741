/**
 * Appends a batch of records and resolves the outcome of lost answers.
 *
 * @module
 */

import { brandId, type LogOffset } from "@endivebend/types";
import type { AppendRecord, AppendResult, Clock, Scheduler } from "../ports.ts";
import type { AppendAnswer } from "./log_client.ts";

const RETRY_DELAY_MS = 100;

/** Options of {@link appendUntilSettled}. */
export interface AppendOptions {
  readonly deadlineElapsedMs: number;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly append: (
    records: readonly AppendRecord[],
  ) => Promise<AppendAnswer>;
  /**
   * Waits until the follower has read the record. `recordRead` resolves with
   * its offset, and `cancelWait` ends the wait.
   */
  readonly whenRecordRead: (
    recordId: string,
  ) => {
    readonly recordRead: Promise<LogOffset>;
    readonly cancelWait: () => void;
  };
}

/**
 * Appends until the records are in the log, are certainly not in the log, or
 * the deadline passes. After a lost answer the batch is appended again with
 * the same record ids: folds apply a record id only once, at its first offset.
 * After a lost answer the result is never "not appended", because a delayed
 * append may still take effect.
 */
export async function appendUntilSettled(
  records: readonly AppendRecord[],
  options: AppendOptions,
): Promise<AppendResult> {
  const first = records[0];
  if (first === undefined) {
    throw new RangeError("No record to append; pass at least one");
  }
  const { recordRead, cancelWait } = options.whenRecordRead(
    first.recordId,
  );
  const readBack = recordRead.then((offset): AppendResult => ({
    kind: "appended",
    offset,
  }));
  try {
    return await Promise.race([
      readBack,
      appendUntilDeadline(records, options),
    ]);
  } finally {
    cancelWait();
  }
}

async function appendUntilDeadline(
  records: readonly AppendRecord[],
  options: AppendOptions,
): Promise<AppendResult> {
  let lostReason: string | undefined;
  while (options.clock.elapsedMs() < options.deadlineElapsedMs) {
    const answer = await raceDeadline(options.append(records), options);
    if (answer.kind === "appended") {
      const offset = brandId<LogOffset>(answer.firstOffset);
      return { kind: "appended", offset };
    }
    if (answer.kind === "lost") lostReason = answer.reason;
    const isRateLimited = answer.kind === "refused" &&
      answer.retryAfterMs !== undefined;
    if (lostReason === undefined && !isRateLimited) {
      return { kind: "not_appended", reason: answer.reason };
    }
    await delay(retryDelayMs(answer), options.scheduler);
  }
  if (lostReason !== undefined) return { kind: "unknown", reason: lostReason };
  return {
    kind: "not_appended",
    reason:
      "The append rate limit did not allow the append before the deadline",
  };
}

function retryDelayMs(answer: AppendAnswer): number {
  const hintMs = answer.kind === "refused" ? answer.retryAfterMs : undefined;
  return hintMs ?? RETRY_DELAY_MS;
}

function raceDeadline(
  append: Promise<AppendAnswer>,
  options: AppendOptions,
): Promise<AppendAnswer> {
  const remainingMs = options.deadlineElapsedMs - options.clock.elapsedMs();
  return new Promise((resolve) => {
    const cancel = options.scheduler.after(Math.max(0, remainingMs), () => {
      resolve({
        kind: "lost",
        reason: "The log did not answer before the deadline",
      });
    });
    append
      .catch((caught): AppendAnswer => ({
        kind: "lost",
        reason: String(caught),
      }))
      .then((answer) => {
        cancel();
        resolve(answer);
      });
  });
}

function delay(delayMs: number, scheduler: Scheduler): Promise<void> {
  return new Promise((resolve) => {
    scheduler.after(delayMs, resolve);
  });
}
