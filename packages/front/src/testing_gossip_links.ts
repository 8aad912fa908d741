/**
 * Datagrams between simulated daemons, which may be late or lost.
 *
 * @module
 */

import type { Scheduler } from "@endivebend/clock";

/** Draws a whole number between two others, both included. */
export type Draw = (from: number, to: number) => number;

/** What befalls datagrams. */
export interface GossipLinkOptions {
  /** Packets of a thousand that are lost. */
  readonly lostPerMille: number;
  readonly minDelayMs: number;
  readonly maxDelayMs: number;
}

/** A datagram travels in packets of this size, and is lost with any of them. */
const PACKET_BYTES = 1_400;

/** The links between all daemons, by gossip address. */
export class GossipLinks {
  readonly #scheduler: Scheduler;
  readonly #draw: Draw;
  readonly #options: GossipLinkOptions;
  /** The part of the network that an address is cut off with. */
  readonly #islands = new Map<string, string>();

  constructor(
    scheduler: Scheduler,
    draw: Draw,
    options: GossipLinkOptions,
  ) {
    this.#scheduler = scheduler;
    this.#draw = draw;
    this.#options = options;
  }

  /** Loses datagrams between these addresses, as one or each, and others. */
  cutOff(
    addresses: readonly string[],
    { together }: { readonly together: boolean },
  ): void {
    for (const address of addresses) {
      this.#islands.set(address, together ? addresses[0]! : address);
    }
  }

  heal(addresses: readonly string[]): void {
    for (const address of addresses) this.#islands.delete(address);
  }

  send(
    { from, to }: { readonly from: string; readonly to: string },
    bytes: Buffer,
    deliver: () => void,
  ): void {
    if (this.#islands.get(from) !== this.#islands.get(to)) return;
    const { lostPerMille, minDelayMs, maxDelayMs } = this.#options;
    const packets = Math.ceil(bytes.length / PACKET_BYTES);
    for (let packet = 0; packet < packets && lostPerMille > 0; packet++) {
      if (this.#draw(1, 1_000) <= lostPerMille) return;
    }
    this.#scheduler.after(this.#draw(minDelayMs, maxDelayMs), deliver);
  }
}
