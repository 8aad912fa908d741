/**
 * Bounds what the daemon holds of answers for clients that don't read. Each
 * holds up to 262,144 bytes and two reads of its server, and 600 such clients
 * took more memory than their machine has.
 *
 * @module
 */

import type { MemoryBudget } from "@endivebend/byte-buffers";

/** An answer whose bytes wait for its client. */
export interface UnreadAnswer {
  /** Bytes that wait. */
  readonly writableLength: number;
  /** Breaks the answer off, so that it does not look complete. */
  cutOff(): void;
}

/**
 * A client in time reads within some round trips, also a long answer at 7
 * Mbit/s; engines give up answers that stay unread for some seconds.
 */
const MAX_UNREAD_MS = 1_000;
/** One read of the server's connection, which has come before it was held. */
const READ_BYTES = 65_536;
/**
 * Share of the budget's limit for unread bytes. On the smallest machine it is
 * more than its link of 7 Mbit/s carries in 10 s.
 */
const MAX_UNREAD_SHARE = 0.5;

interface Unread {
  bytes: number;
  readonly sinceMs: number;
}

/**
 * Counts unread bytes beside the budget of messages, so that clients that read
 * in time don't get less of it. When both together are over the budget's limit,
 * answers that have been unread for a second are cut off, the oldest first;
 * when unread bytes alone are over half of it, also younger ones.
 *
 * @example
 * ```ts
 * if (!response.write(chunk)) unread.note(answer, nowMs);
 * response.once("drain", () => unread.forget(answer));
 * ```
 */
export class UnreadAnswers {
  readonly #budget: MemoryBudget;
  /** The answer that has been unread for the longest first. */
  readonly #unread = new Map<UnreadAnswer, Unread>();
  #bytes = 0;

  constructor(budget: MemoryBudget) {
    this.#budget = budget;
  }

  /** Bytes that wait for clients now, with those of their servers' sockets. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Notes an answer that its client does not read as fast as it comes. */
  note(answer: UnreadAnswer, nowMs: number): void {
    const known = this.#unread.get(answer) ?? { bytes: 0, sinceMs: nowMs };
    this.#unread.set(answer, known);
    const bytes = answer.writableLength + READ_BYTES;
    this.#bytes += bytes - known.bytes;
    known.bytes = bytes;
    this.#cutOff(nowMs);
  }

  /** Forgets an answer that was read or has ended. */
  forget(answer: UnreadAnswer): void {
    const known = this.#unread.get(answer);
    if (known === undefined) return;
    this.#unread.delete(answer);
    this.#bytes -= known.bytes;
  }

  #cutOff(nowMs: number): void {
    const { limitBytes, usedBytes } = this.#budget;
    for (const [answer, { sinceMs }] of this.#unread) {
      const isLate = nowMs - sinceMs >= MAX_UNREAD_MS;
      const isOver = this.#bytes > limitBytes * MAX_UNREAD_SHARE ||
        (isLate && this.#bytes + usedBytes > limitBytes);
      if (!isOver) return;
      this.forget(answer);
      answer.cutOff();
    }
  }
}
