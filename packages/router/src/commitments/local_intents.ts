/**
 * Intents of this daemon incarnation whose end is not in the log yet.
 *
 * @module
 */

import {
  type CommitmentCall,
  type CommitmentEntry,
  type CommitmentOutcome,
  type CommitmentPlan,
  planForOutcome,
} from "@endivebend/commitments";

/** Progress of a call that this daemon incarnation runs. */
export type LocalIntentState =
  /** Its intent is being appended; nothing has been dispatched. */
  | { readonly kind: "announcing" }
  /** It was dispatched; the backend server may have received bytes. */
  | { readonly kind: "running" }
  /** Its outcome is being appended. */
  | { readonly kind: "settled"; readonly outcome: CommitmentOutcome }
  /** It is never dispatched; its `aborted` record is being appended. */
  | { readonly kind: "given_up" };

/** One intent of this daemon incarnation. */
export interface LocalIntent {
  readonly intentId: string;
  readonly keyDigest: string;
  readonly bodyDigest: string;
  state: LocalIntentState;
}

/** Intents by key; a daemon incarnation has at most one for each key. */
export class LocalIntents {
  readonly #byKey = new Map<string, LocalIntent>();

  get size(): number {
    return this.#byKey.size;
  }

  get(keyDigest: string): LocalIntent | undefined {
    return this.#byKey.get(keyDigest);
  }

  add(intent: LocalIntent): void {
    this.#byKey.set(intent.keyDigest, intent);
  }

  remove(intent: LocalIntent): void {
    if (this.#byKey.get(intent.keyDigest) === intent) {
      this.#byKey.delete(intent.keyDigest);
    }
  }

  /** Removes the key's intent once it has an outcome or can't hold the key. */
  removeIfEnded(entry: Readonly<CommitmentEntry>): void {
    const intent = this.#byKey.get(entry.keyDigest);
    if (intent === undefined) return;
    const neverHoldsKey = entry.deadIntentIds.includes(intent.intentId);
    const isSettled = entry.status === "settled" &&
      entry.intentId === intent.intentId;
    if (neverHoldsKey || isSettled) this.remove(intent);
  }
}

/**
 * Plans a repeated call whose key has an intent of this daemon incarnation that
 * the log does not show as ended. A key whose intent was given up is free once
 * its `aborted` record is in the log.
 */
export function planFromLocal(
  intent: LocalIntent,
  call: CommitmentCall,
  options: { readonly isLogUnavailable: boolean },
): CommitmentPlan {
  const waitPlan = {
    kind: "wait_for_outcome",
    intentId: intent.intentId,
  } as const;
  if (intent.state.kind === "given_up") {
    if (call.deduplicates) {
      return { kind: "dispatch", reason: "service_deduplicates" };
    }
    return options.isLogUnavailable ? LOG_UNAVAILABLE_REFUSAL : waitPlan;
  }
  if (intent.bodyDigest !== call.bodyDigest) return OTHER_BODY_REFUSAL;
  if (intent.state.kind !== "settled") return waitPlan;
  return planForOutcome(intent.state.outcome);
}

const LOG_UNAVAILABLE_REFUSAL: CommitmentPlan = {
  kind: "refuse",
  code: "platform_unavailable",
  ran: "not_run",
  message: "The key is held until the platform's log answers; retry later",
};

const OTHER_BODY_REFUSAL: CommitmentPlan = {
  kind: "refuse",
  code: "idempotency_key_reused",
  ran: "not_run",
  message: "The key was used with another method, path or body",
};
