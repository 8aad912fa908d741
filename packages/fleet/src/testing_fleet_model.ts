/**
 * A fleet in virtual time, for tests of what daemons know of each other.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import {
  type BackendServerId,
  brandId,
  type FailureDomainId,
  type IncarnationId,
  type TeamId,
  type VmId,
} from "@endivebend/types";
import { FleetState } from "./fleet_state.ts";
import { GossipChannel } from "./gossip_channel.ts";
import type { GossipMessage } from "./gossip_message.ts";
import { gossipMessage, SERVER, TEAM } from "./testing.ts";

export const DOMAINS = ["a", "b", "c", "d", "e"].map((name) =>
  brandId<FailureDomainId>(name)
);
const DELAY_MS = 10;
const START_SPREAD_MS = 200;
/** Backend servers among which each daemon works at a few. */
const SERVER_COUNT = 82;
const TEAM_COUNT = 19;

/** A daemon of the model and what is counted of it. */
export interface ModelDaemon {
  readonly fleet: FleetState;
  readonly address: string;
  isAlive: boolean;
  spent: number;
  running: number;
  charged: number;
  received: number;
  /** Messages received, those in bundles included. */
  receivedMessages: number;
  sent: number;
  sentBytes: number;
  /** Bytes sent as a relay. */
  relayedBytes: number;
  /** Requests for the messages of a failure domain. */
  requests: number;
  /** Datagrams that found a link full. */
  dropped: number;
}

/** What the links of the model do to datagrams. */
export interface FleetModelOptions {
  readonly lossShare: number;
  /** Rate of each VM's own link; unlimited by default. */
  readonly linkMbps?: number;
  /** Bytes that wait for a link; what exceeds them is dropped. */
  readonly linkQueueBytes?: number;
  /** Servers at which each daemon has work. */
  readonly serversPerDaemon?: number;
}

/** A link that sends one datagram after another. */
class ModelLink {
  readonly #bytesPerMs: number;
  readonly #queueBytes: number;
  #freeAtMs = 0;

  constructor({ linkMbps, linkQueueBytes }: FleetModelOptions) {
    this.#bytesPerMs = (linkMbps ?? Number.POSITIVE_INFINITY) * 125;
    this.#queueBytes = linkQueueBytes ?? Number.POSITIVE_INFINITY;
  }

  /** Milliseconds until the datagram has left; undefined if it is dropped. */
  delayMs(bytes: number, nowMs: number): number | undefined {
    const waitMs = Math.max(0, this.#freeAtMs - nowMs);
    const isFull = waitMs > 0 &&
      waitMs * this.#bytesPerMs + bytes > this.#queueBytes;
    if (isFull) return undefined;
    this.#freeAtMs = nowMs + waitMs + bytes / this.#bytesPerMs;
    return this.#freeAtMs - nowMs;
  }
}

/** A fleet in virtual time whose datagrams take 10 ms and may be lost. */
export class FleetModel {
  nowMs = 0;
  /** Whether no datagram gets from one daemon to another. */
  isCut: (from: number, to: number) => boolean = () => false;
  readonly daemons: ModelDaemon[] = [];
  readonly #options: FleetModelOptions;
  readonly #receivers = new Map<
    string,
    { readonly index: number; readonly receive: (bytes: Buffer) => void }
  >();
  /** When each daemon has composed its messages, by sequence number. */
  readonly #composedAtMs: number[][] = [];
  #random = 7;
  /** What happens in each millisecond. */
  readonly #eventsAtMs = new Map<number, (() => void)[]>();

  constructor(size: number, options: FleetModelOptions) {
    this.#options = options;
    for (let index = 0; index < size; index++) this.#add(index);
    // Every daemon knows the others from the platform's list.
    for (const { fleet } of this.daemons) {
      for (const [index, { address }] of this.daemons.entries()) {
        fleet.list(vmOf(index), address, 0);
      }
    }
  }

  run(durationMs: number): void {
    const untilMs = this.nowMs + durationMs;
    while (this.nowMs < untilMs) {
      this.nowMs += 1;
      const due = this.#eventsAtMs.get(this.nowMs) ?? [];
      this.#eventsAtMs.delete(this.nowMs);
      for (const run of due) run();
    }
  }

  /**
   * Ages of what each daemon that is up knows of every other one, sorted: the
   * time since it was written, whatever the daemon takes it for.
   */
  agesMs(isSameDomain: boolean): number[] {
    const agesMs: number[] = [];
    for (const [index, { fleet, isAlive }] of this.daemons.entries()) {
      if (!isAlive) continue;
      for (const { vm, heardAtMs, message } of fleet.members()) {
        const other = indexOf(vm);
        if (!this.daemons[other]!.isAlive) continue;
        if ((domainOf(other) === domainOf(index)) !== isSameDomain) continue;
        const composedAtMs = message === undefined
          ? heardAtMs
          : this.#composedAtMs[other]![message.sequence]!;
        agesMs.push(this.nowMs - composedAtMs);
      }
    }
    return agesMs.sort((a, b) => a - b);
  }

  /** The oldest that a daemon's knowledge of another one is. */
  oldestMs(isSameDomain: boolean): number {
    return this.agesMs(isSameDomain).at(-1) ?? 0;
  }

  #schedule(delayMs: number, run: () => void): void {
    // An event in the present millisecond would not be run.
    const atMs = Math.max(this.nowMs + 1, Math.round(this.nowMs + delayMs));
    const events = this.#eventsAtMs.get(atMs);
    if (events === undefined) this.#eventsAtMs.set(atMs, [run]);
    else events.push(run);
  }

  #add(index: number): void {
    const vm = vmOf(index);
    const failureDomain = domainOf(index);
    const address = `10.0.${index >> 8}.${index & 255}:7600`;
    const fleet = new FleetState(vm, failureDomain, {
      limitWindowMs: 10_000,
    });
    const daemon: ModelDaemon = {
      fleet,
      address,
      isAlive: true,
      spent: 0,
      running: 0,
      charged: 0,
      received: 0,
      receivedMessages: 0,
      sent: 0,
      sentBytes: 0,
      relayedBytes: 0,
      requests: 0,
      dropped: 0,
    };
    this.daemons.push(daemon);
    const uplink = new ModelLink(this.#options);
    const downlink = new ModelLink(this.#options);
    const state = this.#workingState();
    let sequence = 0;
    const composedAtMs: number[] = [];
    this.#composedAtMs.push(composedAtMs);
    const compose = () => {
      sequence += 1;
      composedAtMs[sequence] = this.nowMs;
      return gossipMessage({
        ...state,
        vm,
        incarnation: brandId<IncarnationId>(`first-${index}`),
        failureDomain,
        address,
        sequence,
        spent: { ...state.spent, [TEAM]: daemon.spent },
        work: {
          ...state.work,
          ...(daemon.running > 0 ? { [SERVER]: [daemon.running, 0] } : {}),
        },
      });
    };
    const receive = (message: GossipMessage, ageMs: number) => {
      daemon.receivedMessages += 1;
      const applied = fleet.applyMessage(message, this.nowMs, ageMs);
      for (const { units } of applied?.spent ?? []) daemon.charged += units;
    };
    const carry = (link: ModelLink, bytes: Buffer, arrive: () => void) => {
      const delayMs = link.delayMs(bytes.length, this.nowMs);
      if (delayMs === undefined) daemon.dropped += 1;
      else this.#schedule(delayMs, arrive);
    };
    const start = () =>
      new GossipChannel({
        failureDomain,
        address,
        failed: (reason) => {
          throw new Error(reason);
        },
        transport: {
          open: (onDatagram, onOpen) => {
            const receive = (bytes: Buffer) =>
              carry(downlink, bytes, () => {
                if (!daemon.isAlive) return;
                daemon.received += 1;
                onDatagram(bytes);
              });
            this.#receivers.set(address, { index, receive });
            onOpen();
          },
          send: (to, bytes) => {
            if (!daemon.isAlive) return;
            daemon.sent += 1;
            daemon.sentBytes += bytes.length;
            carry(uplink, bytes, () => {
              if (this.#draw() < this.#options.lossShare) return;
              this.#schedule(DELAY_MS, () => {
                const receiver = this.#receivers.get(to);
                if (receiver === undefined) return;
                if (!this.isCut(index, receiver.index)) receiver.receive(bytes);
              });
            });
          },
          close() {},
        },
        scheduler: {
          after: (delayMs, run) => {
            this.#schedule(delayMs, () => daemon.isAlive && run());
            return () => {};
          },
        },
        nowMs: () => this.nowMs,
        composeMessage: compose,
        addresses: () => fleet.addresses(),
        relayPlan: () => fleet.relayPlan(address, this.nowMs),
        composeBundle: () => ({
          failureDomain,
          messages: [
            { message: compose(), ageMs: 0 },
            ...fleet.domainMessages(this.nowMs),
          ],
        }),
        overdueDomains: (limitMs) =>
          fleet.overdueDomains(this.nowMs, limitMs)
            .map(({ failureDomain }) => failureDomain),
        addressesOf: (other) => fleet.addressesOf(other),
        relayed: (bytes) => {
          daemon.relayedBytes += bytes;
        },
        requested: () => {
          daemon.requests += 1;
        },
        onMessage: (message) => receive(message, 0),
        onBundle: ({ failureDomain, messages }) => {
          fleet.recordBundle(failureDomain, this.nowMs);
          for (const { message, ageMs } of messages) receive(message, ageMs);
        },
      });
    // Daemons start within one interval of each other.
    this.#schedule(this.#draw() * START_SPREAD_MS, start);
  }

  /** What a daemon tells that has work at a few of all servers. */
  #workingState(): Partial<GossipMessage> {
    const servers = Array.from(
      { length: this.#options.serversPerDaemon ?? 0 },
      () => brandId<BackendServerId>(nameOf("i", this.#pick(SERVER_COUNT))),
    );
    const mapOf = <Value>(value: () => Value) =>
      Object.fromEntries(servers.map((server) => [server, value()]));
    const segment = () => this.#pick(2 ** 32).toString(16);
    return {
      spent: Object.fromEntries(
        servers.map(() => [
          brandId<TeamId>(`team-${this.#pick(TEAM_COUNT)}`),
          this.#pick(100_000),
        ]),
      ),
      work: mapOf(() => [1, this.#pick(9_000)] as const),
      placed: mapOf(() => [segment(), segment()]),
    };
  }

  #pick(count: number): number {
    return Math.floor(this.#draw() * count);
  }

  #draw(): number {
    // mulberry32
    this.#random = (this.#random + 0x6d2b79f5) | 0;
    let mixed = Math.imul(
      this.#random ^ (this.#random >>> 15),
      this.#random | 1,
    );
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  }
}

export function vmOf(index: number): VmId {
  return brandId<VmId>(`vm-${index}`);
}

export function indexOf(vm: VmId): number {
  return Number(String(vm).slice("vm-".length));
}

export function domainOf(index: number): FailureDomainId {
  return DOMAINS[index % DOMAINS.length]!;
}

/** A name with as many digits as those of real servers. */
function nameOf(kind: string, index: number): string {
  const digits = Math.imul(index + 1, 0x9e3779b1) >>> 0;
  return `${kind}-${digits.toString(16).padStart(10, "0")}`;
}
