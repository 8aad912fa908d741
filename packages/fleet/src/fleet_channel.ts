/**
 * Exchanges messages with the other daemons over UDP. Each message holds the
 * sender's whole state, so that a lost one costs nothing but time, and no
 * connection can fall silent.
 *
 * @module
 */

import { createSocket, type Socket } from "node:dgram";
import type { Scheduler } from "@endivebend/clock";
import { type FleetMessage, parseFleetMessage } from "./message.ts";

/** Where the channel listens and how often it speaks. */
export interface FleetChannelOptions {
  readonly ip: string;
  readonly port: number;
  readonly scheduler: Scheduler;
  /** Time between two messages to each daemon. */
  readonly intervalMs: number;
  /** Daemons told in each interval; larger fleets are told in turn. */
  readonly fanOut: number;
  compose(): FleetMessage;
  addresses(): readonly string[];
  hear(message: FleetMessage): void;
  failed(reason: string): void;
}

/** A running channel. */
export class FleetChannel {
  readonly #options: FleetChannelOptions;
  readonly #socket: Socket;
  #next = 0;
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
    this.#send(this.#options.addresses());
  }

  /** Sends a last message to every daemon and speaks no more. */
  close(last: FleetMessage): void {
    this.#cancel();
    this.#sendBytes(this.#options.addresses(), encode(last));
    this.#hasClosed = true;
  }

  /** Closes the socket. */
  dispose(): void {
    this.#hasClosed = true;
    this.#socket.close();
  }

  #tick(): void {
    if (this.#hasClosed) return;
    const { scheduler, intervalMs } = this.#options;
    this.#cancel = scheduler.after(intervalMs, () => this.#tick());
    this.#send(this.#turn());
  }

  /** The daemons to tell in this interval. */
  #turn(): readonly string[] {
    const { fanOut } = this.#options;
    const addresses = this.#options.addresses();
    if (addresses.length <= fanOut) return addresses;
    const turn: string[] = [];
    for (let count = 0; count < fanOut; count++) {
      this.#next = (this.#next + 1) % addresses.length;
      turn.push(addresses[this.#next]!);
    }
    return turn;
  }

  #send(addresses: readonly string[]): void {
    if (this.#hasClosed || addresses.length === 0) return;
    this.#sendBytes(addresses, encode(this.#options.compose()));
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

function encode(message: FleetMessage): Buffer {
  return Buffer.from(JSON.stringify(message));
}
