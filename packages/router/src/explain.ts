/**
 * Keeps what was decided for the latest requests.
 *
 * @module
 */

import type { RequestId } from "@endivebend/types";
import type { Clock, ExplainEntry, Explainer } from "./ports.ts";

const KEPT_REQUESTS = 5000;
const KEPT_ENTRIES = 64;
/** Refused before anything else was decided, such as those without a key. */
const KEPT_EARLY_REFUSALS = 1000;

function dropOldest<Key>(entries: Map<Key, unknown>): void {
  const [oldest] = entries.keys();
  if (oldest !== undefined) entries.delete(oldest);
}

/**
 * A bounded record of decisions by request id. Early refusals have a bound of
 * their own: anybody can cause them without a key, and they would push the
 * decisions on real requests out.
 */
export class ExplainLog implements Explainer {
  readonly #clock: Clock;
  readonly #entries = new Map<RequestId, ExplainEntry[]>();
  readonly #refused = new Map<RequestId, ExplainEntry>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  record(requestId: RequestId, entry: Omit<ExplainEntry, "atMs">): void {
    const dated = { atMs: this.#clock.wallMs(), ...entry };
    if (entry.step === "refuse" && !this.#entries.has(requestId)) {
      if (this.#refused.size >= KEPT_EARLY_REFUSALS) dropOldest(this.#refused);
      this.#refused.set(requestId, dated);
      return;
    }
    const entries = this.#entriesOf(requestId);
    if (entries.length < KEPT_ENTRIES) entries.push(dated);
  }

  explain(requestId: RequestId): readonly ExplainEntry[] | undefined {
    const refusal = this.#refused.get(requestId);
    const early = refusal === undefined ? undefined : [refusal];
    return this.#entries.get(requestId) ?? early;
  }

  #entriesOf(requestId: RequestId): ExplainEntry[] {
    const known = this.#entries.get(requestId);
    if (known !== undefined) return known;
    if (this.#entries.size >= KEPT_REQUESTS) dropOldest(this.#entries);
    const entries: ExplainEntry[] = [];
    this.#entries.set(requestId, entries);
    return entries;
  }
}
