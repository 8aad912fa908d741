/**
 * Keeps prompts with a segment that crashes engines away from them, like a
 * circuit breaker for each such segment: closed to all requests for a term that
 * doubles with each conviction, then open to a single request that tries it.
 *
 * @module
 */

import type { CrashEvidence } from "./crash_evidence.ts";
import { MIN_INCIDENTS } from "./find_crash_causes.ts";
import type { QuarantineRecord } from "./quarantine_record.ts";
import type { SuspectKey } from "./suspect_key.ts";

/** The quarantine of one segment. */
export interface Quarantine {
  readonly key: SuspectKey;
  readonly strikes: number;
  /** End of the term, on the steady clock. */
  readonly untilMs: number;
}

/** Whether a prompt may be sent to an engine. */
export type PromptAdmission =
  | { readonly kind: "admitted" }
  /** The prompt tries a segment whose term has ended. */
  | { readonly kind: "trial"; readonly key: SuspectKey }
  | {
    readonly kind: "blocked";
    readonly key: SuspectKey;
    readonly untilMs: number;
  };

/** A segment that was quarantined or released. */
export type QuarantineChange =
  | ({ readonly kind: "quarantined" } & Quarantine)
  | { readonly kind: "released"; readonly key: SuspectKey };

/** Dependencies of the quarantine. */
export interface PromptQuarantineOptions {
  readonly evidence: CrashEvidence;
  /** Whether this daemon tries the segment for the fleet. */
  mayTry(key: SuspectKey): boolean;
  changed(change: QuarantineChange): void;
}

/** Term of the first conviction. A trial that fails costs an engine. */
const FIRST_TERM_MS = 60_000;
const MAX_TERM_MS = 3_600_000;
/** A trial without an outcome for this long is repeated. */
const TRIAL_TIMEOUT_MS = 20_000;
/** Wait for callers while another request or daemon tries the segment. */
const TRIAL_RETRY_MS = 5_000;

interface Entry extends Quarantine {
  trialUntilMs: number;
}

/** The quarantined segments as this daemon knows them. */
export class PromptQuarantine {
  readonly #options: PromptQuarantineOptions;
  readonly #entries = new Map<SuspectKey, Entry>();

  constructor(options: PromptQuarantineOptions) {
    this.#options = options;
  }

  /** All quarantines, also those whose term has ended without an answer. */
  entries(): readonly Quarantine[] {
    return [...this.#entries.values()];
  }

  /**
   * Decides whether a prompt with the segments may be sent; begins a trial
   * where one is due.
   *
   * @example
   * ```ts
   * const admission = quarantine.admit(keys, nowMs);
   * ```
   */
  admit(keys: readonly SuspectKey[], nowMs: number): PromptAdmission {
    const blocked = this.findBlocked(keys, nowMs);
    if (blocked === undefined) return { kind: "admitted" };
    const entry = this.#entries.get(blocked.key)!;
    const isDue = nowMs >= entry.untilMs && nowMs >= entry.trialUntilMs &&
      this.#options.mayTry(entry.key);
    const hasOther = keys.some((key) =>
      key !== entry.key && this.#entries.has(key)
    );
    if (!isDue || hasOther) return { kind: "blocked", ...blocked };
    entry.trialUntilMs = nowMs + TRIAL_TIMEOUT_MS;
    return { kind: "trial", key: entry.key };
  }

  /** The quarantine that keeps the segments from engines, if there is one. */
  findBlocked(
    keys: readonly SuspectKey[],
    nowMs: number,
  ): { readonly key: SuspectKey; readonly untilMs: number } | undefined {
    if (this.#entries.size === 0) return undefined;
    for (const key of keys) {
      const entry = this.#entries.get(key);
      if (entry === undefined) continue;
      const untilMs = Math.max(entry.untilMs, nowMs + TRIAL_RETRY_MS);
      return { key, untilMs };
    }
    return undefined;
  }

  /** Whether one more crash with one of the segments would convict it. */
  isSuspected(keys: readonly SuspectKey[]): boolean {
    const { evidence } = this.#options;
    return keys.some((key) =>
      evidence.incidentsSince(key, -Infinity) >= MIN_INCIDENTS - 1
    );
  }

  /** Quarantines and releases segments by the evidence so far. */
  evaluate(nowMs: number): void {
    const { evidence } = this.#options;
    for (const entry of this.#entries.values()) {
      const answeredAtMs = evidence.answeredAtMs(entry.key);
      if (evidence.incidentsSince(entry.key, entry.untilMs) > 0) {
        this.#quarantine(entry.key, nowMs);
      } else if (answeredAtMs !== undefined && answeredAtMs > entry.untilMs) {
        this.release(entry.key);
      }
    }
    const causes = evidence.findCauses((key) => this.#entries.has(key), nowMs);
    for (const key of causes) this.#quarantine(key, nowMs);
  }

  /** Applies a stored quarantine, unless a later conviction is known. */
  applyRecord(
    key: SuspectKey,
    record: QuarantineRecord,
    at: { readonly nowMs: number; readonly wallMs: number },
  ): void {
    const known = this.#entries.get(key);
    if (known !== undefined && known.strikes >= record.strikes) return;
    // The wall clocks of daemons may differ, and may jump.
    const leftMs = Math.min(MAX_TERM_MS, record.untilWallMs - at.wallMs);
    this.#set({
      key,
      strikes: record.strikes,
      untilMs: at.nowMs + Math.max(0, leftMs),
    });
  }

  /** Lets the segment reach engines again. */
  release(key: SuspectKey): void {
    if (!this.#entries.delete(key)) return;
    this.#options.changed({ kind: "released", key });
  }

  #quarantine(key: SuspectKey, nowMs: number): void {
    const strikes = (this.#entries.get(key)?.strikes ?? 0) + 1;
    const termMs = Math.min(MAX_TERM_MS, FIRST_TERM_MS * 2 ** (strikes - 1));
    this.#set({ key, strikes, untilMs: nowMs + termMs });
  }

  #set(quarantine: Quarantine): void {
    this.#entries.set(quarantine.key, {
      ...quarantine,
      trialUntilMs: Number.NEGATIVE_INFINITY,
    });
    this.#options.changed({ kind: "quarantined", ...quarantine });
  }
}
