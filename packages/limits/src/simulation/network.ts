/**
 * Simulates the network between VMs: messages are delayed, lost, duplicated,
 * reordered and blocked by partitions.
 *
 * @module
 */

import type { EventQueue } from "./event_queue.ts";
import type { Random } from "./random.ts";

/** Sender or receiver of a message. */
export interface NetworkNode {
  readonly domain: string;
  /** Runs a task once the node is not paused; never if it restarts before. */
  whenNotPaused(task: () => void): void;
}

/** Faults and delays of the network. */
export interface NetworkQuality {
  readonly lossProbability: number;
  readonly duplicateProbability: number;
  readonly maxDelayUs: number;
}

/** Delivers messages between the VMs of a simulated fleet. */
export class Network {
  readonly #queue: EventQueue;
  readonly #random: Random;
  readonly #quality: NetworkQuality;
  /** Number of overlapping partitions of each domain that is isolated. */
  readonly #isolatedDomains = new Map<string, number>();

  constructor(
    queue: EventQueue,
    random: Random,
    quality: NetworkQuality,
  ) {
    this.#queue = queue;
    this.#random = random;
    this.#quality = quality;
  }

  /** Isolates a domain from the others and the platform for `durationUs`. */
  isolate(domain: string, durationUs: number): void {
    this.#changeIsolation(domain, 1);
    this.#queue.after(durationUs, () => this.#changeIsolation(domain, -1));
  }

  reaches(from: NetworkNode, to: NetworkNode): boolean {
    return from.domain === to.domain ||
      (!this.isIsolated(from.domain) && !this.isIsolated(to.domain));
  }

  /** True if a domain cannot reach the other domains or the platform. */
  isIsolated(domain: string): boolean {
    return (this.#isolatedDomains.get(domain) ?? 0) > 0;
  }

  delayUs(): number {
    const { maxDelayUs } = this.#quality;
    // One message in fifty is so late that many others overtake it.
    const factor = this.#random.chance(0.02) ? 20 : 1;
    return this.#random.int(100, maxDelayUs) * factor;
  }

  /** Sends a message, which may be delivered once, twice or never. */
  send(from: NetworkNode, to: NetworkNode, deliver: () => void): void {
    this.#sendOnce(from, to, deliver);
    if (this.#random.chance(this.#quality.duplicateProbability)) {
      this.#sendOnce(from, to, deliver);
    }
  }

  #sendOnce(from: NetworkNode, to: NetworkNode, deliver: () => void): void {
    if (this.#random.chance(this.#quality.lossProbability)) return;
    if (!this.reaches(from, to)) return;
    this.#queue.after(this.delayUs(), () => {
      if (this.reaches(from, to)) to.whenNotPaused(deliver);
    });
  }

  #changeIsolation(domain: string, delta: number): void {
    this.#isolatedDomains.set(
      domain,
      (this.#isolatedDomains.get(domain) ?? 0) + delta,
    );
  }
}
