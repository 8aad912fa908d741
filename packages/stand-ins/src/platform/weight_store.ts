/**
 * The platform's weight store: each load gets a bounded rate, and more than two
 * at once share the bandwidth of two.
 *
 * @module
 */

import type { ServerResponse } from "node:http";

/** Loads that get the full rate at the same time. */
const FULL_RATE_LOADS = 2;
const STEP_MS = 20;

/** Size and speed of weights. */
export interface WeightSpeed {
  bytes: number;
  bytesPerSecond: number;
}

/** Sends weights at a limited rate. */
export class WeightStore {
  readonly #speed: WeightSpeed;
  #running = 0;
  #mostAtOnce = 0;

  constructor(speed: WeightSpeed) {
    this.#speed = speed;
  }

  /** The most loads that ran at the same time so far. */
  get mostAtOnce(): number {
    return this.#mostAtOnce;
  }

  /** Sends one load of weights to its end, or until the reader is gone. */
  async send(response: ServerResponse): Promise<void> {
    this.#running++;
    this.#mostAtOnce = Math.max(this.#mostAtOnce, this.#running);
    try {
      await this.#sendSlowly(response);
    } finally {
      this.#running--;
    }
  }

  async #sendSlowly(response: ServerResponse): Promise<void> {
    let left = this.#speed.bytes;
    response.writeHead(200, {
      "content-type": "application/octet-stream",
      "content-length": left,
    });
    while (left > 0 && !response.destroyed) {
      await new Promise((resolve) => setTimeout(resolve, STEP_MS));
      const size = Math.min(left, this.#bytesPerStep());
      response.write(Buffer.alloc(size));
      left -= size;
    }
    response.end();
  }

  #bytesPerStep(): number {
    const share = Math.min(1, FULL_RATE_LOADS / this.#running);
    const bytes = this.#speed.bytesPerSecond * share * STEP_MS / 1000;
    return Math.max(1, Math.round(bytes));
  }
}
