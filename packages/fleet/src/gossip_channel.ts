/**
 * Exchanges gossip messages with the other daemons, directly or, in a large
 * fleet, through relays. Each message holds the sender's whole state, so that a
 * lost message only delays an update, and there are no connections that could
 * stall.
 *
 * @module
 */

import type { Scheduler } from "@endivebend/clock";
import type { FailureDomainId } from "@endivebend/types";
import {
  type BundleRequest,
  BundleRequests,
  bundleSource,
  type DueRequest,
} from "./bundle_request.ts";
import { DatagramPacer } from "./datagram_pacer.ts";
import {
  encodeDatagram,
  type GossipBundle,
  type GossipDatagram,
  type GossipMessage,
  parseDatagram,
  withHeldMs,
  withKind,
} from "./gossip_message.ts";
import type { GossipTransport } from "./gossip_transport.ts";
import { MIN_RELAYED_FLEET, type RelayPlan } from "./relay_plan.ts";

/** Transport, timers and callbacks of the channel. */
export interface GossipChannelOptions {
  readonly failureDomain: FailureDomainId;
  /** Where this daemon receives datagrams. */
  readonly address: string;
  readonly transport: GossipTransport;
  readonly scheduler: Scheduler;
  /** Time on the steady clock. */
  nowMs(): number;
  /** Returns the present state of this daemon. */
  composeMessage(): GossipMessage;
  addresses(): PeerAddresses;
  /** Whom to send to in a large fleet; undefined to send to all in turn. */
  relayPlan(): RelayPlan | undefined;
  /** The newest messages of this daemon's failure domain, its own included. */
  composeBundle(): GossipBundle;
  /** Failure domains of whose daemons nothing newer than `limitMs` is known. */
  overdueDomains(limitMs: number): readonly FailureDomainId[];
  /** Addresses of the daemons of a failure domain. */
  addressesOf(failureDomain: FailureDomainId): readonly string[];
  onMessage(message: GossipMessage): void;
  onBundle(bundle: GossipBundle): void;
  /** Called when this daemon has sent a datagram as a relay. */
  relayed(bytes: number): void;
  /** Called when this daemon asks for the messages of a failure domain. */
  requested(failureDomain: FailureDomainId): void;
  /** Called when applying a datagram of a peer has raised an error. */
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

/**
 * Messages per interval that relays also send in turn, so that every daemon
 * knows the relays of every domain soon after a start or a partition.
 */
const RELAY_FAN_OUT = { sameDomain: 2, otherDomains: 6 } as const;
/** The same for a daemon that is no relay; finds those that no relay knows. */
const SERVED_FAN_OUT = { sameDomain: 1, otherDomains: 1 } as const;
/** Intervals between two messages in turn of a daemon that is no relay. */
const SERVED_TURN_INTERVALS = 3;
/** Intervals between two bundles. */
const BUNDLE_INTERVALS = 3;

/**
 * A relay asks for messages that are older than this. Without loss they come
 * within the two intervals above; one bundle may be late, none is lost.
 */
const RELAY_OVERDUE_MS = 1_000;
/** The same for other daemons, after what their relay has asked for. */
export const SERVED_OVERDUE_MS = 1_400;

/**
 * Milliseconds until a message has reached all daemons through relays: it waits
 * for its own interval and for that of the bundle.
 */
export const RELAYED_ROUND_MS = GOSSIP_INTERVAL_MS * (1 + BUNDLE_INTERVALS);

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

/** A bundle as it was received. */
interface HeldBundle {
  readonly bytes: Buffer;
  readonly atMs: number;
}

/** A running channel. */
export class GossipChannel {
  readonly #options: GossipChannelOptions;
  readonly #pacer: DatagramPacer;
  readonly #requests = new BundleRequests();
  /** The newest bundle of each other failure domain, to answer requests. */
  readonly #heldByDomain = new Map<FailureDomainId, HeldBundle>();
  #nextSameDomain = 0;
  #nextOtherDomains = 0;
  #intervals = 0;
  #hasClosed = false;
  #cancelTick = () => {};

  constructor(options: GossipChannelOptions) {
    this.#options = options;
    const { transport, scheduler, nowMs } = options;
    this.#pacer = new DatagramPacer({
      scheduler,
      nowMs,
      send: (address, bytes) => this.#sendRelayed([address], bytes),
    });
    transport.open((bytes) => {
      try {
        const datagram = parseDatagram(bytes);
        if (datagram !== undefined) this.#receive(datagram, bytes);
      } catch (caught) {
        // Drops this datagram only.
        options.failed(`received: ${String(caught)}`);
      }
    }, () => this.#tick());
  }

  /** Sends a message to every daemon at once, such as after a start. */
  broadcast(): void {
    if (this.#hasClosed) return;
    this.#send(this.#allAddresses(), this.#ownMessage("message"));
  }

  /**
   * Lets every daemon have a message soon, such as when an order begins: through
   * the relays at once, or to every daemon in a small fleet.
   */
  announce(): void {
    if (this.#hasClosed) return;
    const plan = this.#options.relayPlan();
    if (plan === undefined) return this.broadcast();
    const message = this.#options.composeMessage();
    this.#send(plan.relays, encodeDatagram({ kind: "urgent", message }));
    this.#relayAtOnce(message, plan);
  }

  /** Sends a last message to every daemon, and none after that. */
  close(last: GossipMessage): void {
    this.#cancelTick();
    const bytes = encodeDatagram({ kind: "message", message: last });
    this.#send(this.#allAddresses(), bytes);
    this.#pacer.clear();
    this.#hasClosed = true;
  }

  /** Closes the transport. */
  dispose(): void {
    this.#pacer.clear();
    this.#hasClosed = true;
    this.#options.transport.close();
  }

  #tick(): void {
    if (this.#hasClosed) return;
    const { scheduler, relayPlan } = this.#options;
    this.#cancelTick = scheduler.after(GOSSIP_INTERVAL_MS, () => this.#tick());
    this.#intervals += 1;
    const plan = relayPlan();
    if (plan === undefined) {
      const addresses = this.#nextAddresses({
        sameDomain: SAME_DOMAIN_FAN_OUT,
        otherDomains: OTHER_DOMAINS_FAN_OUT,
      });
      this.#send(addresses, this.#ownMessage("message"));
      return this.#requestInLargeFleet();
    }
    const limitMs = plan.isRelay ? RELAY_OVERDUE_MS : SERVED_OVERDUE_MS;
    const overdue = this.#options.overdueDomains(limitMs);
    const inTurn = this.#nextInTurn(plan, overdue);
    const addresses = new Set([...plan.relays, ...inTurn]);
    this.#send([...addresses], this.#ownMessage("message"));
    this.#sendBundles(plan);
    this.#requestOverdue(overdue, plan);
  }

  /** Soon tells a daemon without relays of all others, as after a start. */
  #requestInLargeFleet(): void {
    if (this.#allAddresses().length + 1 < MIN_RELAYED_FLEET) return;
    const overdue = this.#options.overdueDomains(SERVED_OVERDUE_MS);
    this.#requestOverdue(overdue, { isRelay: false, relays: [] });
  }

  #requestOverdue(
    overdue: readonly FailureDomainId[],
    plan: Pick<RelayPlan, "isRelay" | "relays">,
  ): void {
    const due = this.#requests.due(overdue, this.#options.nowMs());
    for (const request of due) this.#request(request, plan);
  }

  #nextInTurn(
    plan: RelayPlan,
    overdue: readonly FailureDomainId[],
  ): readonly string[] {
    const fanOut = plan.isRelay ? RELAY_FAN_OUT : SERVED_FAN_OUT;
    if (overdue.includes(this.#options.failureDomain)) {
      // All relays of the domain may be gone.
      return this.#nextAddresses({
        ...fanOut,
        sameDomain: SAME_DOMAIN_FAN_OUT,
      });
    }
    const isTurn = this.#intervals % SERVED_TURN_INTERVALS === 0;
    return plan.isRelay || isTurn ? this.#nextAddresses(fanOut) : [];
  }

  #request(
    { failureDomain, attempt }: DueRequest,
    plan: Pick<RelayPlan, "isRelay" | "relays">,
  ): void {
    const { address, addressesOf } = this.#options;
    const request = { failureDomain, address, isRelay: plan.isRelay };
    const source = bundleSource(request, attempt, {
      ownRelays: plan.relays,
      theirs: addressesOf(failureDomain),
    });
    if (source === undefined) return;
    this.#options.requested(failureDomain);
    this.#send([source], encodeDatagram({ kind: "bundle_request", request }));
  }

  #ownMessage(kind: "message" | "urgent"): Buffer {
    return encodeDatagram({ kind, message: this.#options.composeMessage() });
  }

  #sendBundles(plan: RelayPlan): void {
    if (!plan.isRelay || this.#intervals % BUNDLE_INTERVALS !== 0) return;
    const bundle = this.#options.composeBundle();
    const bytes = encodeDatagram({ kind: "bundle", bundle });
    const { failureDomain } = bundle;
    // Counterparts first, as they pass it on.
    this.#pacer.send(
      plan.counterparts,
      failureDomain,
      withKind(bytes, "bundle_to_serve"),
    );
    this.#pacer.send(plan.served, failureDomain, bytes);
  }

  #receive(datagram: GossipDatagram, bytes: Buffer): void {
    const { onMessage, onBundle, relayPlan } = this.#options;
    if (datagram.kind === "bundle_request") {
      return this.#answer(datagram.request);
    }
    if ("message" in datagram) onMessage(datagram.message);
    else {
      onBundle(datagram.bundle);
      this.#hold(datagram.bundle, bytes);
    }
    const plan = relayPlan();
    if (plan === undefined || !plan.isRelay) return;
    if (datagram.kind === "urgent") this.#relayAtOnce(datagram.message, plan);
    if (datagram.kind === "bundle_to_serve") {
      this.#passOn(datagram.bundle, withKind(bytes, "bundle"), plan);
    }
  }

  #answer({ failureDomain, address, isRelay }: BundleRequest): void {
    // Only daemons are answered, as an answer is much larger than a request.
    if (!this.#allAddresses().includes(address)) return;
    if (
      this.#options.overdueDomains(RELAY_OVERDUE_MS).includes(failureDomain)
    ) {
      return;
    }
    const bytes = this.#newestBundle(failureDomain);
    if (bytes === undefined) return;
    const kind = isRelay ? "bundle_to_serve" : "bundle";
    this.#pacer.send([address], failureDomain, withKind(bytes, kind));
  }

  #newestBundle(failureDomain: FailureDomainId): Buffer | undefined {
    const { composeBundle, nowMs } = this.#options;
    if (failureDomain === this.#options.failureDomain) {
      return encodeDatagram({ kind: "bundle", bundle: composeBundle() });
    }
    const held = this.#heldByDomain.get(failureDomain);
    return held === undefined
      ? undefined
      : withHeldMs(held.bytes, nowMs() - held.atMs);
  }

  #hold({ failureDomain, messages }: GossipBundle, bytes: Buffer): void {
    // An announced message is no news of the others of its domain.
    if (messages.length <= 1) return;
    const atMs = this.#options.nowMs();
    this.#heldByDomain.set(failureDomain, { bytes, atMs });
  }

  #passOn(bundle: GossipBundle, bytes: Buffer, plan: RelayPlan): void {
    // Announced messages come alone.
    if (bundle.messages.length <= 1) {
      return this.#sendRelayed(plan.served, bytes);
    }
    this.#pacer.send(plan.served, bundle.failureDomain, bytes);
  }

  #relayAtOnce(message: GossipMessage, plan: RelayPlan): void {
    if (!plan.isRelay) return;
    const { failureDomain } = message;
    const messages = [{ message, ageMs: 0 }];
    const bytes = encodeDatagram({
      kind: "bundle",
      bundle: { failureDomain, messages },
    });
    this.#sendRelayed(plan.counterparts, withKind(bytes, "bundle_to_serve"));
    this.#sendRelayed(plan.served, bytes);
  }

  #allAddresses(): readonly string[] {
    const { sameDomain, otherDomains } = this.#options.addresses();
    return [...sameDomain, ...otherDomains];
  }

  /** Receivers of this interval; those of a large fleet take turns. */
  #nextAddresses(
    fanOut: { readonly sameDomain: number; readonly otherDomains: number },
  ): readonly string[] {
    const { sameDomain, otherDomains } = this.#options.addresses();
    const sameDomainTurn = nextInTurn(
      sameDomain,
      this.#nextSameDomain,
      fanOut.sameDomain,
    );
    const otherDomainsTurn = nextInTurn(
      otherDomains,
      this.#nextOtherDomains,
      fanOut.otherDomains,
    );
    this.#nextSameDomain = sameDomainTurn.next;
    this.#nextOtherDomains = otherDomainsTurn.next;
    return [...sameDomainTurn.items, ...otherDomainsTurn.items];
  }

  #sendRelayed(addresses: readonly string[], bytes: Buffer): void {
    this.#send(addresses, bytes);
    for (const _ of addresses) this.#options.relayed(bytes.length);
  }

  #send(addresses: readonly string[], bytes: Buffer): void {
    if (this.#hasClosed) return;
    const { transport } = this.#options;
    for (const address of addresses) transport.send(address, bytes);
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
