/**
 * Keeps the decisions on the latest requests in memory.
 *
 * @module
 */

import type { RequestId } from "@endivebend/types";
import type { Clock, ExplainEntry, Explainer } from "./ports.ts";

const MAX_REQUESTS = 5000;
const MAX_ENTRIES_PER_REQUEST = 64;
/** Early refusals come before any other decision, such as for a missing key. */
const MAX_EARLY_REFUSALS = 1000;

function dropOldest<Key>(entries: Map<Key, unknown>): void {
  const [oldest] = entries.keys();
  if (oldest !== undefined) entries.delete(oldest);
}

/**
 * A bounded record of decisions by request id. Early refusals have a bound of
 * their own: anybody can cause them without a key, and they would otherwise
 * evict the decisions on other requests.
 */
export class ExplainLog implements Explainer {
  readonly #clock: Clock;
  readonly #entriesByRequest = new Map<RequestId, ExplainEntry[]>();
  readonly #earlyRefusals = new Map<RequestId, ExplainEntry>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  record(requestId: RequestId, entry: Omit<ExplainEntry, "atMs">): void {
    const timestamped = { atMs: this.#clock.wallMs(), ...entry };
    if (entry.step === "refuse" && !this.#entriesByRequest.has(requestId)) {
      if (this.#earlyRefusals.size >= MAX_EARLY_REFUSALS) {
        dropOldest(this.#earlyRefusals);
      }
      this.#earlyRefusals.set(requestId, timestamped);
      return;
    }
    const entries = this.#getOrCreateEntries(requestId);
    if (entries.length < MAX_ENTRIES_PER_REQUEST) entries.push(timestamped);
  }

  explain(requestId: RequestId): readonly ExplainEntry[] | undefined {
    const refusal = this.#earlyRefusals.get(requestId);
    const refusalEntries = refusal === undefined ? undefined : [refusal];
    return this.#entriesByRequest.get(requestId) ?? refusalEntries;
  }

  #getOrCreateEntries(requestId: RequestId): ExplainEntry[] {
    const existing = this.#entriesByRequest.get(requestId);
    if (existing !== undefined) return existing;
    if (this.#entriesByRequest.size >= MAX_REQUESTS) {
      dropOldest(this.#entriesByRequest);
    }
    const entries: ExplainEntry[] = [];
    this.#entriesByRequest.set(requestId, entries);
    return entries;
  }
}
