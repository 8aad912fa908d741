/**
 * Estimates the steady speed of a server from few and noisy observations. A
 * single one may be off by a factor of two, as queues are known by gossip only.
 *
 * @module
 */

/** An exponentially weighted mean of the logarithm of speeds. */
export interface SpeedEstimate {
  readonly logSpeed: number;
  /** Observations that it is worth at `asOfMs`. */
  readonly weight: number;
  readonly asOfMs: number;
}

/** One observation; speed 1 is the usual one. */
export interface SpeedObservation {
  readonly speed: number;
  /** 0 to 1; lower where much of the work was other requests'. */
  readonly weight: number;
  readonly atMs: number;
}

/** Speeds beyond these come from faults, such as a forged message. */
const MIN_SPEED = 0.1;
const MAX_SPEED = 10;
/** Speeds stay for the life of a machine, but a server may move to another. */
const HALF_LIFE_MS = 30_000;
/** More observations than this would make a change of speed invisible. */
const MAX_WEIGHT = 12;
/** From this weight on, one observation moves the speed by 1.5 at most. */
const KNOWN_WEIGHT = 2;
const MAX_STEP = Math.log(1.5);
/** A peer that has measured nothing new for longer tells nothing of now. */
export const PEER_TTL_MS = 60_000;
/** What the expected speed counts against observations. */
const PRIOR_WEIGHT = 0.4;

export const UNMEASURED: SpeedEstimate = {
  logSpeed: 0,
  weight: 0,
  asOfMs: 0,
};

/** Observations that the estimate is still worth. */
export function weightAt(estimate: SpeedEstimate, nowMs: number): number {
  const ageMs = Math.max(0, nowMs - estimate.asOfMs);
  return estimate.weight * 2 ** (-ageMs / HALF_LIFE_MS);
}

/**
 * The estimate after one more observation.
 *
 * @example
 * ```ts
 * estimate = observeSpeed(estimate, { speed: 1.6, weight: 1, atMs });
 * ```
 */
export function observeSpeed(
  estimate: SpeedEstimate,
  { speed, weight, atMs }: SpeedObservation,
): SpeedEstimate {
  const bounded = Math.min(MAX_SPEED, Math.max(MIN_SPEED, speed));
  const known = weightAt(estimate, atMs);
  const change = Math.log(bounded) - estimate.logSpeed;
  const step = known >= KNOWN_WEIGHT
    ? Math.min(MAX_STEP, Math.max(-MAX_STEP, change))
    : change;
  const sum = known + weight;
  if (sum === 0) return estimate;
  return {
    logSpeed: estimate.logSpeed + step * weight / sum,
    weight: Math.min(MAX_WEIGHT, sum),
    asOfMs: Math.max(estimate.asOfMs, atMs),
  };
}

/** A speed that a peer has measured, in percent of the usual one. */
export interface PeerSpeed {
  readonly percent: number;
  readonly atMs: number;
}

/**
 * The own estimate and those of peers together: the median of them, as a single
 * daemon has few observations of a server in a large fleet.
 */
export function combineSpeeds(
  own: SpeedEstimate,
  peers: readonly PeerSpeed[],
  nowMs: number,
): SpeedEstimate {
  const fresh = peers.filter(({ atMs }) => nowMs - atMs < PEER_TTL_MS);
  const ownWeight = weightAt(own, nowMs);
  if (fresh.length === 0) return own;
  const logSpeeds = fresh.map(({ percent }) =>
    Math.log(Math.min(MAX_SPEED, Math.max(MIN_SPEED, percent / 100)))
  );
  if (ownWeight > 0) logSpeeds.push(own.logSpeed);
  return {
    logSpeed: medianOf(logSpeeds),
    weight: Math.min(MAX_WEIGHT, ownWeight + fresh.length),
    asOfMs: nowMs,
  };
}

/** The mean of the middle two of an even number. */
function medianOf(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  const middle = (sorted.length - 1) / 2;
  return (sorted[Math.floor(middle)]! + sorted[Math.ceil(middle)]!) / 2;
}

/** The speed at a time, filled up with the one that is expected. */
export function speedAt(
  estimate: SpeedEstimate,
  { expectedSpeed, nowMs }: {
    readonly expectedSpeed: number;
    readonly nowMs: number;
  },
): number {
  const weight = weightAt(estimate, nowMs);
  const sum = estimate.logSpeed * weight +
    Math.log(expectedSpeed) * PRIOR_WEIGHT;
  return Math.exp(sum / (weight + PRIOR_WEIGHT));
}
