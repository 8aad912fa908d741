/**
 * Counts the repeats that reach servers in a fleet whose servers break answers
 * off, against what the fleet's budget allows.
 *
 * @module
 */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type FleetOptions, TestFleet } from "./testing_fleet.ts";

/** The budget of the simulated fleet, as the deployment's settings name it. */
const WINDOW_MS = 10_000;
const RATIO = 0.2;
const SLACK = 56;
const FIRST_REQUEST_MS = 1_500;
/** Servers break answers off from here on. */
export const BROKEN_FROM_MS = 3_000;
const DEFAULT_BROKEN_PER_CENT = 60;

/** A day on which servers break most of their answers off. */
export interface RepeatsDay extends Partial<FleetOptions> {
  readonly seed: number;
  readonly requestsPerDaemonPerS: number;
  /** Answers of a hundred that servers break off; 60 by default. */
  readonly brokenPerCent?: number;
  /** Events of each answer. */
  readonly events?: number;
  readonly lengthMs: number;
}

/** What happens to the fleet, by its time. */
export type FleetEvents = (
  fleet: TestFleet,
) => readonly (readonly [number, () => void])[];

/** The window in which repeats came closest to the budget, or passed it. */
export interface WorstWindow {
  readonly endMs: number;
  readonly repeats: number;
  readonly allowed: number;
}

/** Sends requests to the daemons that take callers, in turn. */
export async function playRepeats(
  day: RepeatsDay,
  events: FleetEvents = () => [],
): Promise<TestFleet> {
  const random = xoroshiro128plus(day.seed);
  const draw = (from: number, to: number) => uniformInt(random, from, to);
  const fleet = new TestFleet({
    daemons: 8,
    engines: 6,
    kind: "repeatable",
    isPlain: true,
    maxAttempts: 3,
    teamLimit: { ratePerS: 0, burst: 0 },
    ...day,
  });
  const { time } = fleet;
  for (const [atMs, run] of events(fleet)) time.after(atMs, run);
  time.after(BROKEN_FROM_MS, () => {
    const brokenPerCent = day.brokenPerCent ?? DEFAULT_BROKEN_PER_CENT;
    fleet.breaksAnswer = () => draw(1, 100) <= brokenPerCent;
  });
  const perS = day.requestsPerDaemonPerS * fleet.daemonCount;
  let sent = 0;
  const send = () => {
    const all = Array.from({ length: fleet.daemonCount }, (_, at) => at);
    const taking = all.filter((daemon) => fleet.takesCallers(daemon));
    const daemons = taking.length > 0 ? taking : all;
    const daemon = daemons[sent++ % daemons.length]!;
    fleet.send(daemon, [], { ...(day.events && { events: day.events }) });
    time.after(FIRST_REQUEST_MS + sent * 1_000 / perS - time.nowMs, send);
  };
  time.after(FIRST_REQUEST_MS, send);
  await time.advance(day.lengthMs);
  return fleet;
}

/**
 * The worst window of the day. Requests are counted in the window, half a
 * window before it or a window before it, whichever has most.
 */
export function worstWindow({ arrivals, outcomes }: TestFleet): WorstWindow {
  const sentAtMs = outcomes.map((outcome) => outcome.sentAtMs);
  const arrived = new Set<string>();
  const repeatAtMs: number[] = [];
  for (const { requestId, atMs } of arrivals) {
    if (arrived.has(requestId)) repeatAtMs.push(atMs);
    arrived.add(requestId);
  }
  let worst: WorstWindow = { endMs: 0, repeats: 0, allowed: SLACK };
  for (const endMs of repeatAtMs) {
    const requests = Math.max(
      ...[0, WINDOW_MS / 2, WINDOW_MS].map((agoMs) =>
        countWithin(sentAtMs, endMs - agoMs)
      ),
    );
    const allowed = requests * RATIO + SLACK;
    const repeats = countWithin(repeatAtMs, endMs);
    const isWorse = repeats / allowed > worst.repeats / worst.allowed;
    if (isWorse) worst = { endMs, repeats, allowed };
  }
  return worst;
}

/** Times, in order, that lie within the window that ends then. */
function countWithin(timesMs: readonly number[], endMs: number): number {
  return countUntil(timesMs, endMs) - countUntil(timesMs, endMs - WINDOW_MS);
}

function countUntil(timesMs: readonly number[], untilMs: number): number {
  let low = 0;
  let high = timesMs.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (timesMs[middle]! <= untilMs) low = middle + 1;
    else high = middle;
  }
  return low;
}
