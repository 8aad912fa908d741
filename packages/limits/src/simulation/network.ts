/**
 * Messages between simulated VMs: delayed, lost, duplicated, reordered, and
 * cut by partitions.
 *
 * @module
 */

import type { EventQueue } from "./event_queue.ts";
import type { Random } from "./random.ts";

/** Where a message comes from or goes to. */
export interface NetworkNode {
  readonly domain: string;
  /** Runs a task when the node is awake; never when it restarts before. */
  whenNotPaused(task: () => void): void;
}

/** How bad the network is. */
export interface NetworkQuality {
  readonly lossProbability: number;
  readonly duplicateProbability: number;
  readonly maxDelayUs: number;
}

/** The network of a simulated fleet. */
export class Network {
  readonly #queue: EventQueue;
  readonly #random: Random;
  readonly #quality: NetworkQuality;
  /** Domains that are cut off from the others and from the platform. */
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

  /** Cuts a domain off for a time. */
  isolate(domain: string, durationUs: number): void {
    this.#changeIsolation(domain, 1);
    this.#queue.after(durationUs, () => this.#changeIsolation(domain, -1));
  }

  reaches(from: NetworkNode, to: NetworkNode): boolean {
    return from.domain === to.domain ||
      (!this.isIsolated(from.domain) && !this.isIsolated(to.domain));
  }

  /** True when a domain does not reach the platform. */
  isIsolated(domain: string): boolean {
    return (this.#isolatedDomains.get(domain) ?? 0) > 0;
  }

  delayUs(): number {
    const { maxDelayUs: maxDelayUs } = this.#quality;
    // One message in fifty is late enough to be overtaken by many others.
    const factor = this.#random.chance(0.02) ? 20 : 1;
    return this.#random.int(100, maxDelayUs) * factor;
  }

  /** Delivers a message, perhaps never, perhaps twice. */
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
