/**
 * Spreads the datagrams of a relay over time. A link drops what exceeds its
 * short queue, and a relay has a bundle of each failure domain for each daemon
 * that it serves: sent at once, those of the last daemons would never arrive.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { Scheduler } from "@endivebend/clock";

/** Output, clock and timers of a pacer. */
export interface DatagramPacerOptions {
  readonly scheduler: Scheduler;
  /** Time on the steady clock. */
  nowMs(): number;
  send(address: string, bytes: Buffer): void;
}

/** A datagram that waits. */
interface WaitingDatagram {
  readonly address: string;
  readonly bytes: Buffer;
}

/** 8 Mbit/s: two fifths of the link of a small VM, 20 Mbit/s. */
const BYTES_PER_MS = 1_000;
/** Bytes that may go at once after a pause; short queues hold as many. */
const MAX_BURST_BYTES = 8_192;
/** Milliseconds between two looks at what waits; each costs a wake-up. */
const SLOT_MS = 8;

/** Sends datagrams in turn, at a bounded rate. */
export class DatagramPacer {
  readonly #options: DatagramPacerOptions;
  /** By address and topic, in the order in which they were first given. */
  readonly #waiting = new Map<string, WaitingDatagram>();
  #allowanceBytes = MAX_BURST_BYTES;
  #allowanceAtMs: number;
  #hasTimer = false;

  constructor(options: DatagramPacerOptions) {
    this.#options = options;
    this.#allowanceAtMs = options.nowMs();
  }

  /**
   * Sends a datagram to each address as soon as the rate allows. It takes the
   * place of one of the same topic that still waits for the same address.
   */
  send(addresses: readonly string[], topic: string, bytes: Buffer): void {
    for (const address of addresses) {
      this.#waiting.set(`${address} ${topic}`, { address, bytes });
    }
    if (!this.#hasTimer) this.#sendWaiting();
  }

  /** Drops what waits. */
  clear(): void {
    this.#waiting.clear();
  }

  #sendWaiting(): void {
    this.#renewAllowance();
    for (const [key, { address, bytes }] of this.#waiting) {
      if (this.#allowanceBytes <= 0) break;
      this.#waiting.delete(key);
      this.#allowanceBytes -= bytes.length;
      this.#options.send(address, bytes);
    }
    if (this.#waiting.size === 0) return;
    this.#hasTimer = true;
    const debtMs = Math.ceil(-this.#allowanceBytes / BYTES_PER_MS);
    this.#options.scheduler.after(Math.max(SLOT_MS, debtMs), () => {
      this.#hasTimer = false;
      this.#sendWaiting();
    });
  }

  #renewAllowance(): void {
    const nowMs = this.#options.nowMs();
    const renewedBytes = (nowMs - this.#allowanceAtMs) * BYTES_PER_MS;
    this.#allowanceAtMs = nowMs;
    this.#allowanceBytes = Math.min(
      MAX_BURST_BYTES,
      this.#allowanceBytes + renewedBytes,
    );
  }
}
