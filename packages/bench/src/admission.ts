/**
 * Charging a team before its request is routed.
 *
 * @module
 */

import { ExactBucket } from "./reference_limits.ts";
import type { TraceHeader } from "./trace.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** A request's charge. */
export interface Charge {
  readonly requestId: string;
  readonly team: string;
  readonly router: string;
  readonly costTokens: number;
  /** The tokens are spent, at their holder. */
  readonly onSpent: () => void;
  /** The router knows it. */
  readonly onGranted: () => void;
  readonly onRefused: (code: string) => void;
}

/** Grants or refuses charges. */
export interface Admission {
  charge(charge: Charge): void;
  onRoutersDown?(routers: readonly string[]): void;
  onRoutersUp?(): void;
}

/** The daemon's default `queueWaitMs`: how long a request waits for tokens. */
export const CHARGE_WAIT_MS = 10_000;

/**
 * One exact bucket for each team that all routers reach without delay. No
 * real system has it; the baselines and the oracle get it, so that only
 * routing and queueing tell them apart.
 */
export class CentralAdmission implements Admission {
  readonly #time: VirtualTime;
  readonly #teams = new Map<string, TeamCharges>();

  constructor(header: TraceHeader, time: VirtualTime) {
    this.#time = time;
    for (const team of header.teams) {
      const bucket = new ExactBucket(team);
      this.#teams.set(team.id, { bucket, queue: [], wakeAtMs: Infinity });
    }
  }

  charge(charge: Charge): void {
    const { queue } = this.#teams.get(charge.team)!;
    const deadlineMs = this.#time.nowMs + CHARGE_WAIT_MS;
    queue.push({ charge, deadlineMs });
    if (queue.length === 1) {
      this.#serve(charge.team);
    }
  }

  /** Callers of these routers are gone; they connect and charge again. */
  onRoutersDown(routers: readonly string[]): void {
    for (const [team, { queue }] of this.#teams) {
      const kept = queue.filter(({ charge }) =>
        !routers.includes(charge.router)
      );
      queue.splice(0, queue.length, ...kept);
      this.#serve(team);
    }
  }

  #wake(team: string, atMs: number): void {
    const charges = this.#teams.get(team)!;
    charges.wakeAtMs = atMs;
    this.#time.at(atMs, () => {
      if (charges.wakeAtMs === atMs) {
        this.#serve(team);
      }
    });
  }

  #serve(team: string): void {
    const { bucket, queue } = this.#teams.get(team)!;
    for (;;) {
      const [first] = queue;
      if (first === undefined) {
        return;
      }
      const { nowMs } = this.#time;
      const waitMs = bucket.waitMs(first.charge.costTokens, nowMs);
      const isTooLate = nowMs + waitMs > first.deadlineMs;
      if (waitMs > 0 && !isTooLate) {
        // A microsecond more, so that rounding leaves no part of a token out.
        this.#wake(team, nowMs + waitMs + 1e-3);
        return;
      }
      queue.shift();
      if (isTooLate) {
        first.charge.onRefused("rate_limited");
      } else {
        bucket.spend(first.charge.costTokens, nowMs);
        first.charge.onSpent();
        first.charge.onGranted();
      }
    }
  }
}

interface TeamCharges {
  readonly bucket: ExactBucket;
  readonly queue: Waiting[];
  wakeAtMs: number;
}

interface Waiting {
  readonly charge: Charge;
  readonly deadlineMs: number;
}
