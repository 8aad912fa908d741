/**
 * When the store was away, and how old this daemon's list of the servers is. The
 * list may lack servers that live for some time after the store is back.
 *
 * @module
 */

import { BEFORE_FIRST, topicReadAtMs } from "@endivebend/fleet";
import type { DaemonParts } from "./daemon_parts.ts";
import { SERVER_TOPIC } from "./daemon_topics.ts";

/**
 * Time after the return of the store in which its list may lack servers that
 * live; the users take the store as stable from then on.
 */
const STORE_RECOVERY_MS = 3_000;

/** A message may have waited for so long on its way, or to be read. */
const MAX_MESSAGE_AGE_MS = 100;

/** This daemon's contact to the store. */
export class StoreContact {
  readonly #parts: DaemonParts;
  /** When this daemon last found the store away, or back. */
  #changedAtMs = Number.NEGATIVE_INFINITY;
  /** The most other daemons that were known at a time. */
  #mostPeers = 0;

  constructor(parts: DaemonParts) {
    this.#parts = parts;
  }

  /** Notes that the store was found away, back, or restored. */
  noteChange(): void {
    this.#changedAtMs = this.#parts.nowMs();
  }

  /** Whether the store is away, or was until a moment ago. */
  wasAway(): boolean {
    return !this.#parts.ports.store.isReachable ||
      this.#parts.nowMs() - this.#changedAtMs < STORE_RECOVERY_MS;
  }

  /**
   * When the servers that this daemon knows were last all that are listed. While
   * no daemon reaches the store, none can learn of others.
   */
  listReadAtMs(): number {
    const nowMs = this.#parts.nowMs();
    const peers = this.#parts.fleet.reachable(nowMs);
    // A daemon that is cut off from its peers forgets them by and by.
    this.#mostPeers = Math.max(
      this.#mostPeers,
      this.#parts.fleet.members().length,
    );
    const isAwayForAll = !this.#parts.ports.store.isReachable &&
      this.#parts.registration.isRegistered &&
      peers.length >= this.#mostPeers &&
      peers.every(({ message }) => message?.reachesStore === false);
    const ownReadAtMs = this.#parts.followers.server.readAtMs;
    const toldAtMs = isAwayForAll
      ? Math.min(nowMs, ...peers.map(({ heardAtMs }) => heardAtMs))
      : topicReadAtMs({
        topic: SERVER_TOPIC,
        held: this.#parts.tables.get(SERVER_TOPIC)?.newest ?? BEFORE_FIRST,
        ownReadAtMs,
        peers,
      });
    return Math.max(ownReadAtMs, toldAtMs - MAX_MESSAGE_AGE_MS);
  }
}
