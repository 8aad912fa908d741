/**
 * What the servers of one service have in common: their median speed, which a
 * server that was not measured is taken to have, the usual time of calls, and
 * whether their speeds differ so much that placements should heed them.
 *
 * @module
 */

import type { KnownServer } from "./server_registry.ts";
import {
  speedAt,
  type SpeedEstimate,
  type SpeedObservation,
  weightAt,
} from "./speed_estimate.ts";
import type { RouteName } from "./types.ts";

/** Without an answer so far: that of a short prompt. */
const FIRST_ANSWER_MS = 400;
const ANSWER_WEIGHT = 0.05;
/** Calls of one route take about as long everywhere. */
const CALL_WEIGHT = 0.02;
const FIGURE_WEIGHT = 0.02;
const NOISE_WEIGHT = 0.05;
/** A figure changes many times a second; it counts a third after this time. */
const SLOWDOWN_TAU_MS = 250;
/** Weight of an estimate from which on its server counts as measured. */
const MEASURED_WEIGHT = 0.5;

/** Servers that must be known well before their speeds are compared. */
const MIN_COMPARED = 4;
/** Observations that tell the noise well enough. */
const MIN_NOISE_COUNT = 24;
/** Differences that are only noise pass sooner. */
const CLEAR_FOR_MS = 2_000;
/** About two observations. */
const COMPARED_WEIGHT = 1.5;
/** The 80th percentile of speeds that differ clearly, to the 20th. */
const CLEAR_RATIO = 1.4;
/** Variance between servers, to what the noise of observations explains. */
const CLEAR_VARIANCE_RATIO = 4;

/** A figure beyond these says nothing of a server that answers. */
const MIN_SLOWDOWN = 0.2;
const MAX_SLOWDOWN = 10;

/** The pace of a service's servers in general. */
export class ServicePace {
  /** When the first of its servers was seen. */
  readonly sinceMs: number;
  /** Median speed of the measured servers. */
  medianSpeed: number | undefined;
  /** Mean time from sending a request to the end of its answer. */
  answerMs = FIRST_ANSWER_MS;
  #statesFigure = false;
  #hasClearDifferences = false;
  #meanSlowdown = 1;
  #noise = 0;
  #noiseCount = 0;
  /** Since when speeds differ clearly; undefined while they don't. */
  #clearSinceMs: number | undefined;
  readonly #callMs = new Map<RouteName, number>();

  constructor(nowMs: number) {
    this.sinceMs = nowMs;
  }

  /** Whether placements use what was learned rather than constants. */
  get isInUse(): boolean {
    return this.#statesFigure || this.#hasClearDifferences;
  }

  speedOf(estimate: SpeedEstimate, nowMs: number): number {
    const expectedSpeed = this.medianSpeed ?? 1;
    return speedAt(estimate, { expectedSpeed, nowMs });
  }

  /** The newest figure, relaxed to the mean with its age; 1 is usual. */
  slowdownOf({ load, loadAtMs }: KnownServer, nowMs: number): number {
    if (load?.slowdownPercent === undefined) return this.#meanSlowdown;
    const ageMs = Math.max(0, nowMs - loadAtMs);
    const rest = Math.exp(-ageMs / SLOWDOWN_TAU_MS);
    const stated = boundedSlowdown(load.slowdownPercent);
    return this.#meanSlowdown + (stated - this.#meanSlowdown) * rest;
  }

  noteFigure(percent: number | undefined): void {
    if (percent === undefined) return;
    this.#statesFigure = true;
    const change = boundedSlowdown(percent) - this.#meanSlowdown;
    this.#meanSlowdown += change * FIGURE_WEIGHT;
  }

  noteAnswer(durationMs: number): void {
    this.answerMs += (durationMs - this.answerMs) * ANSWER_WEIGHT;
  }

  /** Records the time of a call; returns the usual one, before it. */
  noteCall(route: RouteName, durationMs: number): number {
    const usualMs = this.#callMs.get(route) ?? durationMs;
    const change = (durationMs - usualMs) * CALL_WEIGHT;
    this.#callMs.set(route, usualMs + change);
    return usualMs;
  }

  /** Usual time of a call of the route; undefined before the first. */
  callMsOf(route: RouteName): number | undefined {
    return this.#callMs.get(route);
  }

  /** Records how far an observation is from what was known. */
  noteNoise(
    estimate: SpeedEstimate,
    { speed, atMs }: SpeedObservation,
  ): void {
    const weight = weightAt(estimate, atMs);
    if (weight < 1) return;
    const squared = (Math.log(speed) - estimate.logSpeed) ** 2;
    const variance = squared * weight / (weight + 1);
    this.#noiseCount += 1;
    this.#noise += (variance - this.#noise) *
      Math.max(NOISE_WEIGHT, 1 / this.#noiseCount);
  }

  /** Renews what depends on all servers. */
  plan(estimates: readonly SpeedEstimate[], nowMs: number): void {
    const measured = estimates
      .filter((estimate) => weightAt(estimate, nowMs) >= MEASURED_WEIGHT)
      .map(({ logSpeed }) => logSpeed)
      .toSorted((a, b) => a - b);
    this.medianSpeed = measured.length === 0
      ? undefined
      : Math.exp(measured[Math.floor(measured.length / 2)]!);
    if (this.isInUse) return;
    this.#clearSinceMs = this.#differ(estimates, nowMs)
      ? this.#clearSinceMs ?? nowMs
      : undefined;
    this.#hasClearDifferences = this.#clearSinceMs !== undefined &&
      nowMs - this.#clearSinceMs >= CLEAR_FOR_MS;
  }

  #differ(estimates: readonly SpeedEstimate[], nowMs: number): boolean {
    const compared = estimates.filter((estimate) =>
      weightAt(estimate, nowMs) >= COMPARED_WEIGHT
    );
    const isEnough = compared.length >= MIN_COMPARED &&
      this.#noiseCount >= MIN_NOISE_COUNT;
    if (!isEnough) return false;
    const speeds = compared.map(({ logSpeed }) => logSpeed)
      .toSorted((a, b) => a - b);
    const at = (share: number) =>
      speeds[Math.floor(share * (speeds.length - 1) + 0.5)]!;
    const mean = speeds.reduce((sum, speed) => sum + speed, 0) / speeds.length;
    const variance =
      speeds.reduce((sum, speed) => sum + (speed - mean) ** 2, 0) /
      (speeds.length - 1);
    const explained = compared.reduce(
      (sum, estimate) => sum + this.#noise / weightAt(estimate, nowMs),
      0,
    ) / compared.length;
    return at(0.8) - at(0.2) >= Math.log(CLEAR_RATIO) &&
      variance >= CLEAR_VARIANCE_RATIO * explained;
  }
}

function boundedSlowdown(percent: number): number {
  return Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, percent / 100));
}
