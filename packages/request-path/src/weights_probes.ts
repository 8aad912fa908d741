/**
 * Limits the requests with which a daemon checks its belief that all engines
 * have weights that are too old. It then sends no ordinary request, so that no
 * answer would correct it.
 *
 * @module
 */

import { rendezvousWeight } from "@endivebend/routing";
import type { BackendServerId } from "@endivebend/types";

/** Time between two probes of a daemon; an order takes longer than this. */
const MIN_INTERVAL_MS = 300;
/** All daemons together send up to 100 probes a second, whatever the traffic. */
const INTERVAL_PER_DAEMON_MS = 10;
/** Probed engines that are remembered; a fleet has some 1,000 servers. */
const MAX_PROBED = 1_000;

/** When this daemon may probe an engine again, and which one. */
export class WeightsProbes {
  readonly #fleetSize: () => number;
  readonly #probedAtMs = new Map<BackendServerId, number>();
  #nextAtMs = Number.NEGATIVE_INFINITY;

  constructor(fleetSize: () => number) {
    this.#fleetSize = fleetSize;
  }

  /** Milliseconds until the next probe may be sent. */
  nextInMs(nowMs: number): number {
    return Math.max(0, this.#nextAtMs - nowMs);
  }

  /**
   * The engine to probe now: that which was probed longest ago, in an order
   * that the key gives; undefined when none may be.
   */
  choose(
    engines: readonly BackendServerId[],
    at: { readonly key: string; readonly nowMs: number },
  ): BackendServerId | undefined {
    if (this.nextInMs(at.nowMs) > 0) return undefined;
    const probedAtMs = (id: BackendServerId) =>
      this.#probedAtMs.get(id) ?? Number.NEGATIVE_INFINITY;
    let best: BackendServerId | undefined;
    for (const id of engines) {
      const isBetter = best === undefined ||
        probedAtMs(id) < probedAtMs(best) ||
        (probedAtMs(id) === probedAtMs(best) &&
          rendezvousWeight(at.key, id) > rendezvousWeight(at.key, best));
      if (isBetter) best = id;
    }
    return best;
  }

  /** Records that a probe is sent. */
  take(engine: BackendServerId, nowMs: number): void {
    this.#probedAtMs.delete(engine);
    this.#probedAtMs.set(engine, nowMs);
    const [oldest] = this.#probedAtMs.keys();
    if (this.#probedAtMs.size > MAX_PROBED) this.#probedAtMs.delete(oldest!);
    const fleetIntervalMs = this.#fleetSize() * INTERVAL_PER_DAEMON_MS;
    this.#nextAtMs = nowMs + Math.max(MIN_INTERVAL_MS, fleetIntervalMs);
  }
}
