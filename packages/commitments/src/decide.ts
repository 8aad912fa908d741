/**
 * Decides what to do with a call that must run at most once.
 *
 * @module
 */

import type { ErrorCode } from "@endivebend/errors";
import type { ExecutionStatus } from "@endivebend/types";
import { type ParsedKey, parseKey } from "./keys.ts";
import type { CommitmentEntry, CommitmentOutcome } from "./records.ts";
import type { CommitmentState } from "./state.ts";

/** The properties of a call that the decision depends on. */
export interface CommitmentCall {
  /** Value of the `Idempotency-Key` header. */
  readonly key: string | undefined;
  /** Digest of the team and key; set when there is a key. */
  readonly keyDigest: string | undefined;
  readonly bodyDigest: string;
  /** Whether the route permits calls without a key. */
  readonly unkeyed: boolean;
  /** Whether the backend server itself runs calls with the same key once. */
  readonly deduplicates: boolean;
  /** Whether the route only takes keys that carry their time. */
  readonly requireTimedKeys: boolean;
}

/** Input of the decision besides the call and the state of the log. */
export interface DecisionContext {
  /** Wall-clock time. */
  readonly nowMs: number;
  /**
   * `ready` when the stream was read to its end and the log answers;
   * `catching_up` while it is still being read; `away` when the log does not
   * answer.
   */
  readonly log: "ready" | "catching_up" | "away";
  /** Whether the daemon run that holds the key has ended. */
  readonly hasEnded: (holder: Readonly<CommitmentEntry>) => boolean;
  /** Time after which a caller should retry while the log is not ready. */
  readonly retryAfterMs: number;
}

/** What to do with a call. */
export type CommitmentPlan =
  | { readonly kind: "append_intent"; readonly attempt: number }
  | {
    readonly kind: "dispatch";
    readonly reason: "unkeyed" | "service_deduplicates";
  }
  | {
    readonly kind: "replay";
    readonly outcome: Extract<CommitmentOutcome, { result: "answered" }>;
  }
  | {
    readonly kind: "refuse";
    readonly code: ErrorCode;
    readonly ran: ExecutionStatus;
    readonly message: string;
    readonly retryAfterMs?: number;
  }
  | { readonly kind: "wait_for_outcome"; readonly intentId: string }
  | { readonly kind: "unknown"; readonly message: string };

/** Bound on how far a caller's clock may be ahead of the platform's. */
export const MAX_KEY_CLOCK_SKEW_MS = 300_000;

/** Attempts per key that may be aborted; a further one needs a new key. */
export const MAX_ATTEMPTS_PER_KEY = 64;

/**
 * Decides what to do with a call. It changes nothing: its caller carries out the
 * plan and, after waiting for an outcome, calls it again.
 *
 * @example
 * ```ts
 * const plan = decideCall(state, call, context);
 * if (plan.kind === "replay") return plan.outcome;
 * ```
 */
export function decideCall(
  state: CommitmentState,
  call: CommitmentCall,
  context: DecisionContext,
): CommitmentPlan {
  if (call.key === undefined || call.keyDigest === undefined) {
    return decideUnkeyed(call);
  }
  const key = parseKey(call.key);
  const formRefusal = refuseByForm(key, call);
  if (formRefusal) return formRefusal;
  const entry = state.get(call.keyDigest);
  if (entry && entry.status !== "free") {
    return decideKnown(entry, call, context);
  }
  const ageRefusal = refuseByAge(key, state, context.nowMs);
  if (ageRefusal) return ageRefusal;
  if (context.log !== "ready") return decideWithoutLog(call, context);
  return decideNew(entry);
}

function decideUnkeyed(call: CommitmentCall): CommitmentPlan {
  if (call.unkeyed) return { kind: "dispatch", reason: "unkeyed" };
  return refuse(
    "idempotency_key_required",
    "The route requires an Idempotency-Key header; the request has none",
  );
}

function refuseByForm(
  key: ParsedKey,
  call: CommitmentCall,
): CommitmentPlan | undefined {
  if (key.kind === "malformed") return refuse("malformed_request", key.reason);
  if (key.kind === "timed" || !call.requireTimedKeys) return undefined;
  return refuse(
    "idempotency_key_required",
    "The route requires an idempotency key of the form UNIX_SECONDS-RANDOM",
  );
}

function decideKnown(
  entry: Readonly<CommitmentEntry>,
  call: CommitmentCall,
  context: DecisionContext,
): CommitmentPlan {
  if (entry.bodyDigest !== call.bodyDigest) {
    return refuse(
      "idempotency_key_reused",
      "The key was used with another method, path or body",
    );
  }
  if (entry.status === "settled") return planForOutcome(entry.outcome);
  if (!context.hasEnded(entry)) {
    return { kind: "wait_for_outcome", intentId: entry.intentId };
  }
  const message =
    "The entry VM that held the call ended before it recorded the outcome";
  return { kind: "unknown", message };
}

/** Plan for a retry of a call whose outcome is recorded. */
export function planForOutcome(
  outcome: CommitmentOutcome | undefined,
): CommitmentPlan {
  if (outcome?.result === "answered") return { kind: "replay", outcome };
  if (outcome?.result !== "answer_not_kept") {
    return {
      kind: "unknown",
      message: "The outcome of the call is unknown; it may have run",
    };
  }
  return {
    kind: "refuse",
    code: "answer_not_kept",
    ran: "ran",
    message: `The call ran with status ${outcome.status}; ` +
      "its answer is not stored any more or was too large to store",
  };
}

/**
 * Refuses a key that may be older than the records in the state; undefined when
 * the key is new enough. Call it again after an intent has been read back from
 * the log, since the state may have found meanwhile that records are missing.
 */
export function refuseOldKey(
  state: CommitmentState,
  key: string,
  nowMs: number,
): Extract<CommitmentPlan, { kind: "refuse" }> | undefined {
  return refuseByAge(parseKey(key), state, nowMs);
}

function refuseByAge(
  key: ParsedKey,
  state: CommitmentState,
  wallMs: number,
): Extract<CommitmentPlan, { kind: "refuse" }> | undefined {
  // With a wall clock that is behind, an old key must not pass for a new one.
  const nowMs = Math.max(wallMs, state.logTimeMs);
  if (key.kind !== "timed") {
    if (state.horizonMs === undefined) return undefined;
    return refuse(
      "idempotency_key_expired",
      "Records of older keys are gone, and the key does not carry its time",
    );
  }
  const { retentionMs } = state.settings;
  const skewMs = Math.min(MAX_KEY_CLOCK_SKEW_MS, retentionMs / 4);
  if (key.createdAtMs > nowMs + skewMs) {
    return refuse(
      "malformed_request",
      "The time in the idempotency key is in the future; check the clock",
    );
  }
  const oldestMs = Math.max(
    nowMs - retentionMs / 2,
    (state.horizonMs ?? -Infinity) + skewMs,
  );
  if (key.createdAtMs > oldestMs) return undefined;
  return refuse(
    "idempotency_key_expired",
    "The idempotency key is too old to tell whether its call ran",
  );
}

function decideWithoutLog(
  call: CommitmentCall,
  context: DecisionContext,
): CommitmentPlan {
  if (call.deduplicates) {
    return { kind: "dispatch", reason: "service_deduplicates" };
  }
  const { retryAfterMs } = context;
  if (context.log === "catching_up") {
    const message = "The entry VM is still reading the platform's log";
    return { ...refuse("not_ready", message), retryAfterMs };
  }
  const message =
    "The call must run at most once, and the platform's log does not answer";
  return { ...refuse("platform_unavailable", message), retryAfterMs };
}

function decideNew(
  entry: Readonly<CommitmentEntry> | undefined,
): CommitmentPlan {
  const attempts = entry?.attempts ?? 0;
  if (attempts < MAX_ATTEMPTS_PER_KEY) {
    return { kind: "append_intent", attempt: attempts + 1 };
  }
  return refuse(
    "idempotency_key_expired",
    `The idempotency key had ${attempts} attempts that did not run`,
  );
}

function refuse(code: ErrorCode, message: string) {
  return { kind: "refuse", code, ran: "not_run", message } as const;
}
