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
  readonly onGranted: () => void;
  readonly onRefused: (code: string) => void;
}

/** Grants or refuses charges. */
export interface Admission {
  charge(charge: Charge): void;
}

/** A request waits this long for tokens before it is refused. */
export const CHARGE_WAIT_MS = 1_000;

/**
 * One exact bucket for each team that all routers reach without delay. No
 * real system has it; the baselines and the oracle get it, so that only
 * routing and queueing tell them apart.
 */
export class CentralAdmission implements Admission {
  readonly #time: VirtualTime;
  readonly #teams = new Map<
    string,
    { bucket: ExactBucket; queue: Waiting[] }
  >();

  constructor(header: TraceHeader, time: VirtualTime) {
    this.#time = time;
    for (const team of header.teams) {
      this.#teams.set(team.id, { bucket: new ExactBucket(team), queue: [] });
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
        this.#time.after(waitMs + 1e-3, () => this.#serve(team));
        return;
      }
      queue.shift();
      if (isTooLate) {
        first.charge.onRefused("rate_limited");
      } else {
        bucket.spend(first.charge.costTokens, nowMs);
        first.charge.onGranted();
      }
    }
  }
}

interface Waiting {
  readonly charge: Charge;
  readonly deadlineMs: number;
}
