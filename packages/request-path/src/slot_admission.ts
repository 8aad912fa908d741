/**
 * Admits prompts by the slots of their engines while slots are scarce.
 *
 * The load: short prompts with long answers hold a slot for more than a second
 * each, so a burst takes all slots long before prompt tokens queue. With as many
 * requests waiting as running, every answer begins late, and requests that are
 * less urgent hold the slots that urgent ones wait for. Engines that load
 * weights reject all requests and look idle meanwhile, and all daemons send to
 * an engine that has just become idle before they hear of each other.
 *
 * @module
 */

import type { BackendServerId } from "@endivebend/types";
import type { KnownServer, ServerWork } from "./server_registry.ts";
import type { SlotRank } from "./slot_rules.ts";

/** What the admission of a request depends on. */
export interface SlotRequest {
  /** The rank of the request's route among those of its service. */
  readonly rank: SlotRank;
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** Length of the prompt; short prompts depend on no engine's cache. */
  readonly isShort: boolean;
}

/** An engine with the work that all daemons together have there. */
export interface SlotServer {
  readonly server: KnownServer;
  readonly work: ServerWork;
}

/** Dependencies of {@link SlotAdmission}. */
export interface SlotAdmissionOptions {
  /** Number of daemons in the fleet, including this one. */
  fleetSize(): number;
  /** A number from 0 to below 1 for each decision. */
  random(): number;
}

/**
 * Share of the slots that has to be taken before anything is refused or kept
 * from an engine.
 */
const SCARCE_FROM_SHARE = 0.5;
/** Requests per slot up to which the first rank is admitted to an engine. */
const FIRST_RANK_SHARE = 1.1;
/** The same for other ranks; the rest is left to the first rank. */
const OTHER_RANKS_SHARE = 0.75;
/** A team or route that is less urgent by one leaves this share more. */
const SHARE_PER_URGENCY = 0.05;
/** Peers hear of a request within about this time. */
const GOSSIP_MS = 500;
/** Daemons with more callers than others may send so many times their part. */
const OWN_PART_FACTOR = 2;
/** A stated load is older than what gossip tells after this time. */
const STATED_LOAD_MS = 300;
/** An engine loads weights in about 400 ms once its requests have ended. */
const CLOSED_MS = 400;
/** Short prompts choose among this many engines, drawn by their free slots. */
const DRAWN_SERVERS = 3;
/** Entries of servers that are gone are dropped beyond this number. */
const MAX_ENTRIES = 4_000;

/** What this daemon itself knows of an engine's slots. */
interface SlotState {
  /** When it sent requests there, within {@link GOSSIP_MS}. */
  sentAtMs: number[];
  /** Until when the engine is expected to reject requests. */
  closedUntilMs: number;
  /** Rounds the daemon's part of the free slots up or down, until then. */
  rounding: number;
  roundingUntilMs: number;
}

/**
 * Decides which engines a request may be sent to.
 *
 * @example
 * ```ts
 * const slots = new SlotAdmission({ fleetSize: () => 77, random: Math.random });
 * const admitted = slots.select(request, servers, nowMs);
 * if (admitted.length === 0) refuse();
 * ```
 */
export class SlotAdmission {
  readonly #options: SlotAdmissionOptions;
  readonly #states = new Map<BackendServerId, SlotState>();

  constructor(options: SlotAdmissionOptions) {
    this.#options = options;
  }

  /** Records that a request is sent to the engine. */
  noteSent(id: BackendServerId, nowMs: number): void {
    const state = this.#stateOf(id);
    state.sentAtMs = [...this.#sentSince(id, nowMs - GOSSIP_MS), nowMs];
  }

  /** Records that the engine has rejected a request without running it. */
  noteRejected(id: BackendServerId, nowMs: number): void {
    this.#stateOf(id).closedUntilMs = nowMs + CLOSED_MS;
  }

  /**
   * The engines that the request may be sent to now; all while slots are not
   * scarce, none when it should be refused.
   */
  select<Server extends SlotServer>(
    request: SlotRequest,
    servers: readonly Server[],
    nowMs: number,
  ): readonly Server[] {
    const open = servers.filter(({ server }) => this.#isOpen(server, nowMs));
    const views = open.map((entry) => ({
      entry,
      slots: Math.max(1, entry.server.listed.slots),
      running: this.#runningAt(entry, nowMs),
    }));
    if (takenShare(views) < SCARCE_FROM_SHARE) {
      return open.length > 0 ? open : servers;
    }
    const share = admittedShare(request);
    const admitted = views
      .map(({ entry, slots, running }) => ({
        entry,
        free: slots * share - running,
      }))
      .filter(({ entry, free }) => this.#mayTake(entry, free, nowMs));
    const drawn = request.isShort ? this.#draw(admitted) : admitted;
    return drawn.map(({ entry }) => entry);
  }

  #isOpen({ listed, loadingUntilMs }: KnownServer, nowMs: number): boolean {
    const closedUntilMs = this.#states.get(listed.id)?.closedUntilMs ?? 0;
    return nowMs >= loadingUntilMs && nowMs >= closedUntilMs;
  }

  /** What the engine has stated lately goes before what peers tell. */
  #runningAt({ server, work }: SlotServer, nowMs: number): number {
    const { load, loadAtMs, listed } = server;
    if (load === undefined || nowMs - loadAtMs > STATED_LOAD_MS) {
      return work.running;
    }
    const sent = this.#sentSince(listed.id, loadAtMs);
    return load.running + load.waiting + sent.length;
  }

  /**
   * Whether this daemon's part of the free slots allows one more request. The
   * parts of a large fleet are fractions, which are rounded at random, once in
   * the time in which peers hear of a request.
   */
  #mayTake({ server }: SlotServer, free: number, nowMs: number): boolean {
    if (free <= 0) return false;
    const { fleetSize, random } = this.#options;
    const state = this.#stateOf(server.listed.id);
    if (nowMs >= state.roundingUntilMs) {
      state.rounding = random();
      state.roundingUntilMs = nowMs + GOSSIP_MS;
    }
    const recent = this.#sentSince(server.listed.id, nowMs - GOSSIP_MS);
    const part = OWN_PART_FACTOR * free / Math.max(1, fleetSize());
    return recent.length + state.rounding < part;
  }

  /** Draws engines with odds by their free slots. */
  #draw<Entry extends { readonly free: number }>(
    entries: readonly Entry[],
  ): readonly Entry[] {
    const { random } = this.#options;
    return entries
      .map((entry) => ({
        entry,
        // The smallest of exponential variables with these rates comes first.
        key: -Math.log(1 - random()) / entry.free,
      }))
      .sort((a, b) => a.key - b.key)
      .slice(0, DRAWN_SERVERS)
      .map(({ entry }) => entry);
  }

  #sentSince(id: BackendServerId, sinceMs: number): number[] {
    const sent = this.#states.get(id)?.sentAtMs ?? [];
    return sent.filter((atMs) => atMs > sinceMs);
  }

  #stateOf(id: BackendServerId): SlotState {
    const known = this.#states.get(id);
    if (known !== undefined) return known;
    const state: SlotState = {
      sentAtMs: [],
      closedUntilMs: 0,
      rounding: 0,
      roundingUntilMs: Number.NEGATIVE_INFINITY,
    };
    this.#states.set(id, state);
    if (this.#states.size > MAX_ENTRIES) {
      const [oldest] = this.#states.keys();
      this.#states.delete(oldest!);
    }
    return state;
  }
}

/** Share of the slots that running and waiting requests take, 0 to above 1. */
function takenShare(
  views: readonly { readonly slots: number; readonly running: number }[],
): number {
  const slots = views.reduce((sum, view) => sum + view.slots, 0);
  const running = views.reduce((sum, view) => sum + view.running, 0);
  return slots === 0 ? 0 : running / slots;
}

/** Requests per slot of an engine up to which the request is admitted. */
function admittedShare({ rank, urgency }: SlotRequest): number {
  const share = rank === "first" ? FIRST_RANK_SHARE : OTHER_RANKS_SHARE;
  return Math.max(SCARCE_FROM_SHARE, share - SHARE_PER_URGENCY * urgency);
}
