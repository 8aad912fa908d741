/**
 * Keeps what was decided for the latest requests.
 *
 * @module
 */

import type { RequestId } from "@endivebend/types";
import type { Clock, ExplainEntry, Explainer } from "./ports.ts";

const KEPT_REQUESTS = 5000;
const KEPT_ENTRIES = 64;

/** A bounded record of decisions by request id. */
export class ExplainLog implements Explainer {
  readonly #clock: Clock;
  readonly #entries = new Map<RequestId, ExplainEntry[]>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  record(requestId: RequestId, entry: Omit<ExplainEntry, "atMs">): void {
    const entries = this.#entriesOf(requestId);
    if (entries.length >= KEPT_ENTRIES) return;
    entries.push({ atMs: this.#clock.wallMs(), ...entry });
  }

  explain(requestId: RequestId): readonly ExplainEntry[] | undefined {
    return this.#entries.get(requestId);
  }

  #entriesOf(requestId: RequestId): ExplainEntry[] {
    const known = this.#entries.get(requestId);
    if (known !== undefined) return known;
    if (this.#entries.size >= KEPT_REQUESTS) this.#dropOldest();
    const entries: ExplainEntry[] = [];
    this.#entries.set(requestId, entries);
    return entries;
  }

  #dropOldest(): void {
    const [oldest] = this.#entries.keys();
    if (oldest !== undefined) this.#entries.delete(oldest);
  }
}
