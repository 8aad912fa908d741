/**
 * What to do with a call that must run at most once.
 *
 * @module
 */

import type { ErrorCode } from "@endivebend/errors";
import type { RanState } from "@endivebend/types";
import { type ParsedKey, parseKey } from "./keys.ts";
import type { CommitmentEntry, CommitmentOutcome } from "./records.ts";
import type { CommitmentState } from "./state.ts";

/** A call as far as the decision needs it. */
export interface CommitmentCall {
  /** The `Idempotency-Key` header. */
  readonly key: string | undefined;
  /** Set when there is a key. */
  readonly keyDigest: string | undefined;
  readonly bodyDigest: string;
  readonly unkeyed: boolean;
  readonly deduplicates: boolean;
  readonly requireTimedKeys: boolean;
}

/** What the decision needs to know besides the log. */
export interface DecisionContext {
  /** Wall-clock time. */
  readonly nowMs: number;
  /** `ready` when the stream was read to its end and the log answers. */
  readonly log: "ready" | "catching_up" | "away";
  /** Whether the daemon run that holds the key has ended. */
  readonly hasEnded: (holder: Readonly<CommitmentEntry>) => boolean;
  /** When a caller should come back while the log is away. */
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
    readonly ran: RanState;
    readonly message: string;
    readonly retryAfterMs?: number;
  }
  | { readonly kind: "wait_for_outcome"; readonly intentId: string }
  | { readonly kind: "unknown"; readonly message: string };

/** A caller's clock may be ahead of the platform's by this much. */
export const MAX_KEY_CLOCK_SKEW_MS = 300_000;

/** Aborted attempts per key; a further one needs a new key. */
export const MAX_ATTEMPTS_PER_KEY = 64;

/**
 * Decides what to do with a call, from the log's state alone. It changes
 * nothing; the caller of this function carries out the plan and, after waiting,
 * asks again.
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
  return refuse("idempotency_key_required", "The route needs a key");
}

function refuseByForm(
  key: ParsedKey,
  call: CommitmentCall,
): CommitmentPlan | undefined {
  if (key.kind === "malformed") return refuse("malformed_request", key.reason);
  if (key.kind === "timed" || !call.requireTimedKeys) return undefined;
  return refuse(
    "idempotency_key_required",
    "The route needs a key of the form UNIX_SECONDS-RANDOM",
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
  const message = "The entry VM that held the call ended before its outcome";
  return { kind: "unknown", message };
}

/** What a repeat gets once the call's outcome is recorded. */
export function planForOutcome(
  outcome: CommitmentOutcome | undefined,
): CommitmentPlan {
  if (outcome?.result === "answered") return { kind: "replay", outcome };
  if (outcome?.result !== "answer_not_kept") {
    return { kind: "unknown", message: "The call's outcome is not known" };
  }
  return {
    kind: "refuse",
    code: "answer_not_kept",
    ran: "ran",
    message: `The call ran with status ${outcome.status}; ` +
      "its answer was too large to keep",
  };
}

/**
 * Refuses a key that may be older than what the state knows; undefined when the
 * key is new enough. Asked again after the read-back of an intent, since the
 * state may have learned in between that records are missing.
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
  // A wall clock that is behind must not make an old key look new.
  const nowMs = Math.max(wallMs, state.logTimeMs);
  if (key.kind !== "timed") {
    if (state.horizonMs === undefined) return undefined;
    return refuse(
      "idempotency_key_expired",
      "Older keys were forgotten, and this key does not carry its time",
    );
  }
  const { retentionMs } = state.settings;
  const skewMs = Math.min(MAX_KEY_CLOCK_SKEW_MS, retentionMs / 4);
  if (key.createdAtMs > nowMs + skewMs) {
    return refuse("malformed_request", "The key's time lies in the future");
  }
  const oldestMs = Math.max(
    nowMs - retentionMs / 2,
    (state.horizonMs ?? -Infinity) + skewMs,
  );
  if (key.createdAtMs > oldestMs) return undefined;
  return refuse("idempotency_key_expired", "The key is too old");
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
    const message = "This entry VM is still reading the platform's log";
    return { ...refuse("not_ready", message), retryAfterMs };
  }
  const message = "The call must run at most once and the log does not answer";
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
    `The key was attempted ${attempts} times without running`,
  );
}

function refuse(code: ErrorCode, message: string) {
  return { kind: "refuse", code, ran: "not_run", message } as const;
}
