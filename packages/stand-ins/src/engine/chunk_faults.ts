/**
 * Faults of single chunks on their way to the reader.
 *
 * @module
 */

/** How many more chunks are to be disturbed. */
export interface ChunkFaultCounts {
  /** Chunks that swap streams with a chunk of another running stream. */
  crossAnswers: number;
  /** Chunks that are sent twice. */
  duplicateChunk: number;
  /** Chunks that are not sent. */
  dropChunk: number;
}

/** A stream that chunks can be written to. */
export interface ChunkTarget {
  write(chunk: string): void;
}

/** Delivers chunks, disturbed as asked for. */
export class ChunkFaults {
  readonly #counts: ChunkFaultCounts;
  #held: { readonly target: ChunkTarget; readonly chunk: string } | undefined;

  constructor(counts: ChunkFaultCounts) {
    this.#counts = counts;
  }

  deliver(target: ChunkTarget, chunk: string): void {
    if (this.#counts.dropChunk > 0) {
      this.#counts.dropChunk--;
    } else if (this.#counts.duplicateChunk > 0) {
      this.#counts.duplicateChunk--;
      target.write(chunk);
      target.write(chunk);
    } else if (this.#counts.crossAnswers > 0) {
      this.#cross(target, chunk);
    } else {
      target.write(chunk);
    }
  }

  /** Sends a chunk that still waits for another stream. */
  flush(target: ChunkTarget): void {
    const held = this.#held;
    if (held?.target !== target) return;
    this.#held = undefined;
    held.target.write(held.chunk);
  }

  #cross(target: ChunkTarget, chunk: string): void {
    this.flush(target);
    const held = this.#held;
    if (held === undefined) {
      this.#held = { target, chunk };
      return;
    }
    this.#counts.crossAnswers--;
    this.#held = undefined;
    held.target.write(chunk);
    target.write(held.chunk);
  }
}
