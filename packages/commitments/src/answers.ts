/**
 * Bounds the memory that recorded answers take.
 *
 * @module
 */

import type { CommitmentEntry, CommitmentOutcome } from "./records.ts";

/** Size of an outcome's answer in memory, in bytes; 0 without an answer. */
export function outcomeBytes(outcome: CommitmentOutcome | undefined): number {
  if (outcome?.result !== "answered") return 0;
  const headers = Object.entries(outcome.headers).flat().join("");
  return outcome.bodyBase64.length + headers.length;
}

/**
 * Counts the bytes of answers and drops the oldest answers beyond a bound. The
 * entry of a dropped answer still records that the call ran.
 */
export class AnswerStore {
  readonly #maxBytes: number;
  readonly #sizeByKey = new Map<string, number>();
  #bytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Bytes of all answers that are counted. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Counts an entry's answer and drops the oldest answers beyond the bound. */
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
