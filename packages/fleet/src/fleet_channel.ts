/**
 * Exchanges messages with the other daemons over UDP. Each message holds the
 * sender's whole state, so that a lost one costs nothing but time, and no
 * connection can fall silent.
 *
 * @module
 */

import { createSocket, type Socket } from "node:dgram";
import type { Scheduler } from "@endivebend/clock";
import {
  encodeGossipMessage,
  type GossipMessage,
  parseGossipMessage,
} from "./message.ts";

/** Where the channel listens and how often it speaks. */
export interface GossipChannelOptions {
  readonly ip: string;
  readonly port: number;
  readonly scheduler: Scheduler;
  composeMessage(): GossipMessage;
  addresses(): PeerAddresses;
  onMessage(message: GossipMessage): void;
  failed(reason: string): void;
}

/** Where the other daemons are. */
export interface PeerAddresses {
  /** Of the same failure domain. */
  readonly sameDomain: readonly string[];
  readonly otherDomains: readonly string[];
}

/** Daemons know each other's work and spending about this old. */
const GOSSIP_INTERVAL_MS = 200;
/** 27 daemons of a failure domain are told within 600 ms. */
const SAME_DOMAIN_FAN_OUT = 12;
/** 54 daemons of others within 1,800 ms; their bytes are charged. */
const OTHER_DOMAINS_FAN_OUT = 6;

/** Milliseconds in which every daemon is told, given how many there are. */
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

  /** Tells every daemon at once, such as about an order that begins. */
  broadcast(): void {
    this.#send(this.#allAddresses());
  }

  /** Sends a last message to every daemon and speaks no more. */
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
    const { sameDomain: sameDomain, otherDomains: otherDomains } = this.#options
      .addresses();
    return [...sameDomain, ...otherDomains];
  }

  /** The daemons to tell in this interval; large fleets are told in turn. */
  #nextAddresses(): readonly string[] {
    const { sameDomain: sameDomain, otherDomains: otherDomains } = this.#options
      .addresses();
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

/** Up to `count` items from the position on, around the end. */
function nextInTurn(items: readonly string[], from: number, count: number) {
  if (items.length <= count) return { items, next: 0 };
  const turn = Array.from(
    { length: count },
    (_, index) => items[(from + index) % items.length]!,
  );
  return { items: turn, next: (from + count) % items.length };
}
