/**
 * How many engines may be out of service at once to load weights, and when each
 * of them is due.
 *
 * @module
 */

/**
 * Placement sends nothing to an engine in the last part of the bound, as a
 * request that is sent then may start after it.
 */
const START_SLACK_MS = 1_500;
/** Time to spare for orders and reports that get lost. */
const SPARE_MS = 500;
/** Most engines are out of service for less than this multiple of the mean. */
const SLOW_OUTAGE_FACTOR = 1.5;
/** Share of the engines that may be out while the deadline allows. */
const MAX_OUT_SHARE = 1 / 3;
/** Share that may be out at the least, however busy the others are. */
const MIN_OUT_SHARE = 1 / 8;
/** With few engines, one at a time would take too long. */
const MIN_OUT_LIMIT = 2;
/**
 * Share that goes on serving, however near the deadline is. Those that are not
 * ordered by then get no requests anyway.
 */
const MIN_SERVING_SHARE = 1 / 3;

/**
 * Returns when an engine should have newer weights: from then on it gets no
 * requests. Undefined when it is unknown when newer weights were named.
 *
 * @example
 * ```ts
 * const dueAtMs = weightsDueAtMs(engine.replacedAtMs, settings.weightsBoundMs);
 * ```
 */
export function weightsDueAtMs(
  replacedAtMs: number | undefined,
  weightsBoundMs: number,
): number | undefined {
  if (replacedAtMs === undefined) return undefined;
  return replacedAtMs + weightsBoundMs - START_SLACK_MS;
}

/** Input of the number of engines that may be out of service. */
export interface OutLimitInput {
  /** Engines that serve when they are not out of service. */
  readonly serving: number;
  /** Share of the engines' slots that is free. */
  readonly freeShare: number;
  /** When the serving engines with older weights are due, if it is known. */
  readonly dueAtMs: readonly (number | undefined)[];
  /** How long an engine is out of service for a load. */
  readonly outageMs: number;
  readonly nowMs: number;
}

/**
 * Returns how many engines may be out of service at once: as many as the others
 * can stand in for, more if the last would be done too late otherwise.
 *
 * @example
 * ```ts
 * const limit = maxEnginesOut({ serving: 82, freeShare: 0.2, ...rest });
 * ```
 */
export function maxEnginesOut(input: OutLimitInput): number {
  const { serving, freeShare } = input;
  const fewest = Math.max(MIN_OUT_LIMIT, Math.ceil(serving * MIN_OUT_SHARE));
  const most = Math.max(MIN_OUT_LIMIT, Math.floor(serving * MAX_OUT_SHARE));
  const replaceable = Math.floor(serving * freeShare);
  const usual = Math.min(most, Math.max(fewest, replaceable));
  const remaining = serving - Math.ceil(serving * MIN_SERVING_SHARE);
  return Math.min(remaining, Math.max(usual, enginesNeededOut(input)));
}

/**
 * With `n` engines out at a time, `n` begin now and `n` more for each outage
 * that passes until the last of them has to begin.
 */
function enginesNeededOut({ dueAtMs, outageMs, nowMs }: OutLimitInput): number {
  const known = dueAtMs.filter((atMs) => atMs !== undefined);
  const needed = known.sort((a, b) => a - b).map((atMs, index) => {
    const lastStartMs = atMs - SPARE_MS - outageMs * SLOW_OUTAGE_FACTOR;
    const rounds = 1 + Math.max(0, lastStartMs - nowMs) / outageMs;
    return Math.ceil((index + 1) / rounds);
  });
  return Math.max(0, ...needed);
}

/** Ended spans that an estimate takes into account; older ones fade. */
const MAX_COUNTED_SPANS = 32;
/** Weight of the assumed mean, as a number of ended spans. */
const PRIOR_SPANS = 4;

/**
 * Estimates the mean length of spans of time, of which some have not ended: the
 * total time over the number of ends.
 *
 * @example
 * ```ts
 * const outage = new MeanSpan(1_500);
 * outage.record(2_100, 1);
 * const meanMs = outage.meanMs([800, 3_200]);
 * ```
 */
export class MeanSpan {
  #totalMs: number;
  #ends = PRIOR_SPANS;

  constructor(priorMs: number) {
    this.#totalMs = priorMs * PRIOR_SPANS;
  }

  /** Adds time that has passed in spans, and how many of them ended in it. */
  record(elapsedMs: number, ends: number): void {
    this.#totalMs += Math.max(0, elapsedMs);
    this.#ends += Math.max(0, ends);
    const fading = Math.min(1, MAX_COUNTED_SPANS / this.#ends);
    this.#totalMs *= fading;
    this.#ends *= fading;
  }

  /** The mean. Spans that go on count once they are longer than the others. */
  meanMs(openMs: readonly number[] = []): number {
    const endedMs = this.#totalMs / this.#ends;
    const longMs = openMs.filter((ms) => ms > endedMs);
    const sumMs = longMs.reduce((sum, ms) => sum + ms, this.#totalMs);
    return sumMs / (this.#ends + longMs.length);
  }
}
