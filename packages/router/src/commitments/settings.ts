/**
 * Settings of the task that runs calls at most once.
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
  /** Longest time that an append is tried before it counts as failed. */
  readonly appendTimeoutMs: number;
  /** How long an outcome or abort waits to ride along with an intent. */
  readonly outcomeBatchWaitMs: number;
  /** Pause before an outcome or abort is appended again. */
  readonly appendRetryDelayMs: number;
  /** Silence of the log after which new calls are refused at once. */
  readonly logUnavailableAfterMs: number;
  /** What callers are told to wait while the log is away. */
  readonly retryAfterMs: number;
  /** Bound on one recorded answer, headers included. */
  readonly maxAnswerBytes: number;
  /** Bound on the answers in a snapshot for a peer. */
  readonly maxSnapshotAnswersBytes: number;
  /** Bound on this daemon's calls whose end is not in the log yet. */
  readonly maxUnsettledCalls: number;
}

/**
 * The settings of a daemon, apart from the log's retention.
 *
 * 50,000 keys take about 50 MB. The batch waits 5 ms, well under the log's own response time. The silence
 * bound lies above the follower's long poll, which is silent on an idle stream.
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
