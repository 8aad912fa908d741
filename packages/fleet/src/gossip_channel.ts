/**
 * Exchanges gossip messages with the other daemons over UDP. Each message holds
 * the sender's whole state, so that a lost message only delays an update, and
 * there are no connections that could stall.
 *
 * @module
 */

import { createSocket, type Socket } from "node:dgram";
import type { Scheduler } from "@endivebend/clock";
import {
  encodeGossipMessage,
  type GossipMessage,
  parseGossipMessage,
} from "./gossip_message.ts";

/** Address to listen on, and callbacks of the channel. */
export interface GossipChannelOptions {
  readonly ip: string;
  readonly port: number;
  readonly scheduler: Scheduler;
  /** Returns the present state of this daemon. */
  composeMessage(): GossipMessage;
  addresses(): PeerAddresses;
  onMessage(message: GossipMessage): void;
  failed(reason: string): void;
}

/** Addresses of the other daemons. */
export interface PeerAddresses {
  /** Daemons of this daemon's failure domain. */
  readonly sameDomain: readonly string[];
  readonly otherDomains: readonly string[];
}

/** Daemons know each other's work and spending with about this delay. */
const GOSSIP_INTERVAL_MS = 200;
/** Messages per interval; 27 daemons of a domain are reached in 600 ms. */
const SAME_DOMAIN_FAN_OUT = 12;
/**
 * Messages per interval; 54 daemons are reached in 1,800 ms. It is lower than
 * within a domain because traffic between failure domains is charged.
 */
const OTHER_DOMAINS_FAN_OUT = 6;

/** Milliseconds until a message has gone to every one of `count` daemons. */
export function gossipRoundMs(
  count: { readonly sameDomain: number; readonly otherDomains: number },
) {
  const sameDomain = Math.ceil(count.sameDomain / SAME_DOMAIN_FAN_OUT);
  const otherDomains = Math.ceil(count.otherDomains / OTHER_DOMAINS_FAN_OUT);
  return {
    sameDomain: sameDomain * GOSSIP_INTERVAL_MS,
    otherDomains: otherDomains * GOSSIP_INTERVAL_MS,
  };
}

/** A running channel. */
export class GossipChannel {
  readonly #options: GossipChannelOptions;
  readonly #socket: Socket;
  #nextSameDomain = 0;
  #nextOtherDomains = 0;
  #hasClosed = false;
  #cancelTick = () => {};

  constructor(options: GossipChannelOptions) {
    this.#options = options;
    this.#socket = createSocket({ type: "udp4", reuseAddr: true });
    this.#socket.on("message", (bytes) => {
      const message = parseGossipMessage(bytes);
      if (message !== undefined) options.onMessage(message);
    });
    this.#socket.on("error", ({ message }) => options.failed(message));
    this.#socket.bind(options.port, options.ip, () => this.#tick());
  }

  /** Sends a message to every daemon at once, such as when an order begins. */
  broadcast(): void {
    this.#send(this.#allAddresses());
  }

  /** Sends a last message to every daemon, and none after that. */
  close(last: GossipMessage): void {
    this.#cancelTick();
    this.#sendBytes(this.#allAddresses(), encodeGossipMessage(last));
    this.#hasClosed = true;
  }

  /** Closes the socket. */
  dispose(): void {
    this.#hasClosed = true;
    this.#socket.close();
  }

  #tick(): void {
    if (this.#hasClosed) return;
    const { scheduler } = this.#options;
    this.#cancelTick = scheduler.after(GOSSIP_INTERVAL_MS, () => this.#tick());
    this.#send(this.#nextAddresses());
  }

  #allAddresses(): readonly string[] {
    const { sameDomain, otherDomains } = this.#options.addresses();
    return [...sameDomain, ...otherDomains];
  }

  /** Receivers of this interval; those of a large fleet take turns. */
  #nextAddresses(): readonly string[] {
    const { sameDomain, otherDomains } = this.#options.addresses();
    const sameDomainTurn = nextInTurn(
      sameDomain,
      this.#nextSameDomain,
      SAME_DOMAIN_FAN_OUT,
    );
    const otherDomainsTurn = nextInTurn(
      otherDomains,
      this.#nextOtherDomains,
      OTHER_DOMAINS_FAN_OUT,
    );
    this.#nextSameDomain = sameDomainTurn.next;
    this.#nextOtherDomains = otherDomainsTurn.next;
    return [...sameDomainTurn.items, ...otherDomainsTurn.items];
  }

  #send(addresses: readonly string[]): void {
    if (this.#hasClosed || addresses.length === 0) return;
    this.#sendBytes(
      addresses,
      encodeGossipMessage(this.#options.composeMessage()),
    );
  }

  #sendBytes(addresses: readonly string[], bytes: Buffer): void {
    for (const address of addresses) {
      const [ip, port] = address.split(":");
      this.#socket.send(bytes, Number(port), ip, (error) => {
        if (error !== null) this.#options.failed(error.message);
      });
    }
  }
}

/**
 * Up to `count` items starting at position `from`, wrapping around at the end,
 * and the position at which to continue.
 */
function nextInTurn(items: readonly string[], from: number, count: number) {
  if (items.length <= count) return { items, next: 0 };
  const turn = Array.from(
    { length: count },
    (_, index) => items[(from + index) % items.length]!,
  );
  return { items: turn, next: (from + count) % items.length };
}
