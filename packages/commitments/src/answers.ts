/**
 * The bytes of recorded answers, within a bound.
 *
 * @module
 */

import type { CommitmentEntry, CommitmentOutcome } from "./records.ts";

/** The size of an outcome in memory, in bytes; only answers count. */
export function outcomeBytes(outcome: CommitmentOutcome | undefined): number {
  if (outcome?.result !== "answered") return 0;
  const headers = Object.entries(outcome.headers).flat().join("");
  return outcome.bodyBase64.length + headers.length;
}

/** Forgets the oldest answers beyond a bound, but never that a call ran. */
export class AnswerStore {
  readonly #maxBytes: number;
  readonly #sizeByKey = new Map<string, number>();
  #bytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  get bytes(): number {
    return this.#bytes;
  }

  /** Counts an entry's answer and strips older answers beyond the bound. */
  hold(entry: CommitmentEntry, lookup: EntryLookup): void {
    this.drop(entry.keyDigest);
    const size = outcomeBytes(entry.outcome);
    if (size === 0) return;
    this.#sizeByKey.set(entry.keyDigest, size);
    this.#bytes += size;
    for (const keyDigest of this.#sizeByKey.keys()) {
      if (this.#bytes <= this.#maxBytes) return;
      stripAnswer(lookup(keyDigest));
      this.drop(keyDigest);
    }
  }

  /** Stops counting a key. */
  drop(keyDigest: string): void {
    this.#bytes -= this.#sizeByKey.get(keyDigest) ?? 0;
    this.#sizeByKey.delete(keyDigest);
  }
}

type EntryLookup = (keyDigest: string) => CommitmentEntry | undefined;

function stripAnswer(entry: CommitmentEntry | undefined): void {
  if (entry?.outcome?.result !== "answered") return;
  const { status } = entry.outcome;
  entry.outcome = { result: "answer_not_kept", status };
}
