/**
 * Simulates the platform's log with the `rights` stream.
 *
 * @module
 */

import { brandId, type LogOffset, type LogRecord } from "@endivebend/types";
import type { EventQueue } from "./event_queue.ts";
import type { Random } from "./random.ts";

/** Outcome of an append, as the writer sees it. */
export type AppendOutcome = "appended" | "not_appended" | "unknown";

const APPEND_DELAY_US = 3000;
const LOST_ANSWER_TIMEOUT_US = 300_000;

/** A log that may lose answers and that may append records late or twice. */
export class SimulatedLog {
  readonly records: LogRecord[] = [];
  readonly #queue: EventQueue;
  readonly #random: Random;
  readonly #faultProbability: number;
  #downCount = 0;

  constructor(queue: EventQueue, random: Random, faultProbability: number) {
    this.#queue = queue;
    this.#random = random;
    this.#faultProbability = faultProbability;
  }

  get isDown(): boolean {
    return this.#downCount > 0;
  }

  /** Makes the log unavailable for `durationUs`. */
  takeDown(durationUs: number): void {
    this.#downCount++;
    this.#queue.after(durationUs, () => this.#downCount--);
  }

  append(value: unknown, done: (outcome: AppendOutcome) => void): void {
    if (this.isDown) {
      this.#queue.after(APPEND_DELAY_US, () => done("not_appended"));
      return;
    }
    if (this.#random.chance(this.#faultProbability)) {
      this.#appendWithFault(value, done);
      return;
    }
    this.#queue.after(APPEND_DELAY_US, () => {
      this.#store(value);
      this.#queue.after(APPEND_DELAY_US, () => done("appended"));
    });
  }

  /** Loses the answer; the record is appended late, twice or not at all. */
  #appendWithFault(
    value: unknown,
    done: (outcome: AppendOutcome) => void,
  ): void {
    this.#queue.after(LOST_ANSWER_TIMEOUT_US, () => done("unknown"));
    const times = this.#random.int(0, 2);
    for (let index = 0; index < times; index++) {
      const delayUs = this.#random.int(APPEND_DELAY_US, 3_000_000);
      this.#queue.after(delayUs, () => this.#store(value));
    }
  }

  #store(value: unknown): void {
    const offset = brandId<LogOffset>(this.records.length);
    const appendedAtMs = Math.floor(this.#queue.nowUs / 1000);
    this.records.push({ offset, appendedAtMs, value });
  }
}
