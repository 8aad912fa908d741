/**
 * Tells callers of a team that is over its rate when to come back. Each of them
 * waits for the same bucket, which serves only a few at any moment: told the
 * same time, all come back together, and most are refused again.
 *
 * @module
 */

import type { RequestId } from "@endivebend/types";
import { hashPart } from "./fair_shares.ts";

/** A request that the bucket has no units for. */
export interface OverLimitRequest {
  readonly requestId: RequestId;
  readonly units: number;
  /** Time until the bucket has the units, without the others that wait. */
  readonly waitMs: number;
  /** Units that this daemon's callers can expect of the bucket in a ms. */
  readonly unitsPerMs: number;
  /** Time until its caller stops waiting. */
  readonly timeLeftMs: number;
  readonly nowMs: number;
}

/** Shorter waits would bring all refused requests back at once, in vain. */
const MIN_RETRY_AFTER_MS = 200;
/** Callers honour no delay beyond this part of the time they have left. */
const MAX_RETRY_PART = 1 / 3;

/**
 * The units of one team that were refused lately and are expected back.
 *
 * @example
 * ```ts
 * const retryAfterMs = refused.retryAfterMs({ ...request, waitMs, nowMs });
 * ```
 */
export class RefusedUnits {
  #units = 0;
  #asOfMs = 0;

  /** The time after which the caller should come back. */
  retryAfterMs(request: OverLimitRequest): number {
    const { requestId, units, waitMs, unitsPerMs, timeLeftMs, nowMs } = request;
    const passed = Math.max(0, nowMs - this.#asOfMs) * unitsPerMs;
    this.#asOfMs = nowMs;
    this.#units = Math.max(0, this.#units - passed);
    const queueMs = unitsPerMs > 0 ? this.#units / unitsPerMs : 0;
    const maxMs = Math.max(MIN_RETRY_AFTER_MS, timeLeftMs * MAX_RETRY_PART);
    // Who can't be served before the caller's bound doesn't join the queue.
    if (waitMs + queueMs <= maxMs) this.#units += units;
    const fromMs = Math.max(MIN_RETRY_AFTER_MS, waitMs);
    const earliestMs = Math.max(
      MIN_RETRY_AFTER_MS,
      Math.min(fromMs, maxMs / 2),
    );
    const retryMs = fromMs + queueMs <= maxMs
      ? fromMs + queueMs
      : spread(earliestMs, maxMs, requestId);
    return Math.round(retryMs);
  }
}

/** A time between both, by the request's id. */
function spread(fromMs: number, toMs: number, requestId: RequestId): number {
  return fromMs + (toMs - fromMs) * hashPart("retry", requestId);
}
