/**
 * Settings of the task that runs non-repeatable service calls at most once.
 *
 * @module
 */

import type {
  BatcherSettings,
  CommitmentSettings,
} from "@endivebend/commitments";

/** Settings of the commitment task; all times in milliseconds. */
export interface CommitmentTaskSettings {
  readonly state: CommitmentSettings;
  readonly batch: BatcherSettings;
  /** Time after which an append without an answer counts as failed. */
  readonly appendTimeoutMs: number;
  /** Longest time that an outcome or abort waits to share an append. */
  readonly outcomeBatchWaitMs: number;
  /** Delay before a failed append of an outcome or abort is retried. */
  readonly appendRetryDelayMs: number;
  /** Time without an answer of the log after which new calls are refused. */
  readonly logUnavailableAfterMs: number;
  /** Retry delay that refused callers are given. */
  readonly retryAfterMs: number;
  /** Largest recorded answer, headers included; else only its status is. */
  readonly maxAnswerBytes: number;
  /** Largest total size of the recorded answers in a snapshot for a peer. */
  readonly maxSnapshotAnswersBytes: number;
  /** Limit on this daemon's calls whose end is not in the log yet. */
  readonly maxUnsettledCalls: number;
}

/**
 * Returns a daemon's settings for a log that keeps records for `retentionMs`.
 *
 * 50,000 keys take about 50 MB of memory. A batch waits at most 5 ms, well
 * under the log's own response time. `logUnavailableAfterMs` is longer than the
 * follower's long poll, which gets no answer on an idle stream until it ends.
 *
 * @example
 * ```ts
 * const settings = defaultCommitmentSettings({ retentionMs: 6 * 3_600_000 });
 * ```
 */
export function defaultCommitmentSettings(
  options: { readonly retentionMs: number },
): CommitmentTaskSettings {
  return {
    state: {
      retentionMs: options.retentionMs,
      maxKeys: 50_000,
      maxAnswersBytes: 16 * 1024 * 1024,
    },
    batch: {
      maxRecords: 100,
      maxBytes: 512 * 1024,
      maxWaitMs: 5,
      maxInFlight: 4,
    },
    appendTimeoutMs: 3000,
    outcomeBatchWaitMs: 25,
    appendRetryDelayMs: 250,
    logUnavailableAfterMs: 6000,
    retryAfterMs: 2000,
    maxAnswerBytes: 32 * 1024,
    maxSnapshotAnswersBytes: 1024 * 1024,
    maxUnsettledCalls: 5000,
  };
}
