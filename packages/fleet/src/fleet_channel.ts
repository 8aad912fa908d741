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
  encodeFleetMessage,
  type FleetMessage,
  parseFleetMessage,
} from "./message.ts";

/** Where the channel listens and how often it speaks. */
export interface FleetChannelOptions {
  readonly ip: string;
  readonly port: number;
  readonly scheduler: Scheduler;
  compose(): FleetMessage;
  addresses(): FleetAddresses;
  hear(message: FleetMessage): void;
  failed(reason: string): void;
}

/** Where the other daemons are. */
export interface FleetAddresses {
  /** Of the same failure domain. */
  readonly near: readonly string[];
  readonly far: readonly string[];
}

/** Daemons know each other's work and spending about this old. */
const INTERVAL_MS = 200;
/** 27 daemons of a failure domain are told within 600 ms. */
const NEAR_FAN_OUT = 12;
/** 54 daemons of others within 1,800 ms; their bytes are charged. */
const FAR_FAN_OUT = 6;

/** Milliseconds in which every daemon is told, given how many there are. */
export function roundMs(
  count: { readonly near: number; readonly far: number },
) {
  const near = Math.ceil(count.near / NEAR_FAN_OUT);
  const far = Math.ceil(count.far / FAR_FAN_OUT);
  return { near: near * INTERVAL_MS, far: far * INTERVAL_MS };
}

/** A running channel. */
export class FleetChannel {
  readonly #options: FleetChannelOptions;
  readonly #socket: Socket;
  #nextNear = 0;
  #nextFar = 0;
  #hasClosed = false;
  #cancel = () => {};

  constructor(options: FleetChannelOptions) {
    this.#options = options;
    this.#socket = createSocket({ type: "udp4", reuseAddr: true });
    this.#socket.on("message", (bytes) => {
      const message = parseFleetMessage(bytes);
      if (message !== undefined) options.hear(message);
    });
    this.#socket.on("error", ({ message }) => options.failed(message));
    this.#socket.bind(options.port, options.ip, () => this.#tick());
  }

  /** Tells every daemon at once, such as about an order that begins. */
  tellAll(): void {
    this.#send(this.#everyone());
  }

  /** Sends a last message to every daemon and speaks no more. */
  close(last: FleetMessage): void {
    this.#cancel();
    this.#sendBytes(this.#everyone(), encodeFleetMessage(last));
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
    this.#cancel = scheduler.after(INTERVAL_MS, () => this.#tick());
    this.#send(this.#turn());
  }

  #everyone(): readonly string[] {
    const { near, far } = this.#options.addresses();
    return [...near, ...far];
  }

  /** The daemons to tell in this interval; large fleets are told in turn. */
  #turn(): readonly string[] {
    const { near, far } = this.#options.addresses();
    const nearTurn = takeTurn(near, this.#nextNear, NEAR_FAN_OUT);
    const farTurn = takeTurn(far, this.#nextFar, FAR_FAN_OUT);
    this.#nextNear = nearTurn.next;
    this.#nextFar = farTurn.next;
    return [...nearTurn.items, ...farTurn.items];
  }

  #send(addresses: readonly string[]): void {
    if (this.#hasClosed || addresses.length === 0) return;
    this.#sendBytes(addresses, encodeFleetMessage(this.#options.compose()));
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
function takeTurn(items: readonly string[], from: number, count: number) {
  if (items.length <= count) return { items, next: 0 };
  const turn = Array.from(
    { length: count },
    (_, index) => items[(from + index) % items.length]!,
  );
  return { items: turn, next: (from + count) % items.length };
}
