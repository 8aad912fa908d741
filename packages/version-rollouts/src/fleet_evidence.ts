/**
 * Sums what all daemons have counted of a new version, and decides whether it is
 * bad: some of its answers are failures or several times slower, on all routes
 * or on one only, while the other versions fail a few requests too.
 *
 * @module
 */

import type { RouteName } from "@endivebend/request-path";
import type { BackendServerId } from "@endivebend/types";
import type { OtherPace } from "./answer_watch.ts";
import type { RouteCounts, VersionCounts } from "./version_order.ts";

/** A server that crashes or pauses spoils all its requests; so many count. */
const MAX_DOUBTFUL_PER_WINDOW = 3;
const DOUBTFUL_WINDOW_MS = 500;
/** Paces lose half of their weight in this time. */
const PACE_HALF_LIFE_MS = 1_500;
/** Fewer answers of late than these show no pace of the present. */
const MIN_FRESH_ANSWERS = 1;
/** Fewer answers than these show no pace at all. */
const MIN_PACED_ANSWERS = 5;
const PACE_UNITS = 100;

/** A few failures are usual on any route. */
const MIN_USUAL_SHARE = 0.02;
/** More of them would hide every fault of the new version. */
const MAX_USUAL_SHARE = 0.5;
/** Answers that are added to the others', as few of them say little. */
const PRIOR_ANSWERS = 20;
/** Standard deviations by which bad answers have to exceed the expected. */
const DEVIATIONS = 3;
/** Bad answers beyond these deviations; one server in trouble has as many. */
const MIN_EXCESS = 3;

/**
 * Slow answers beyond the others' share. Servers differ in speed, and the first
 * few new ones may all be slow ones.
 */
const SLOW_MARGIN = 0.08;

/** Sums of one route over the fleet. */
export interface RouteSums {
  readonly answers: number;
  /** Failures and lost connections. */
  readonly failed: number;
  readonly slow: number;
  /** Answers that have ended, well or not; others may still break off. */
  readonly ended: number;
  readonly otherAnswers: number;
  readonly otherFailed: number;
  readonly otherSlow: number;
}

/** Why a version is bad. */
export interface VersionFault {
  readonly kind: "failed" | "slow";
  /** Undefined when all routes together show it. */
  readonly route: RouteName | undefined;
  readonly answers: number;
  readonly bad: number;
  /** Bad answers that would be usual. */
  readonly expected: number;
}

interface RecentPace {
  answers: number;
  sum: number;
  atMs: number;
  /** Answers since the order, without loss of weight. */
  allAnswers: number;
  /** The newest mean of sufficiently many answers. */
  mean: number | undefined;
}

type Sums = [...RouteCounts];

/** The evidence about one order, as one daemon knows it. */
export class FleetEvidence {
  readonly #byProcess = new Map<string, VersionCounts>();
  readonly #routes = new Map<RouteName, Sums>();
  readonly #doubtful = new Map<
    RouteName,
    { readonly lost: number; readonly slow: number }
  >();
  readonly #windows = new Map<
    BackendServerId,
    { index: number; counted: number }
  >();
  readonly #paces = new Map<RouteName, RecentPace>();
  #requests = 0;
  #exposed = 0;

  /** Requests of the service since the order, and those at the new version. */
  get exposure(): { readonly requests: number; readonly exposed: number } {
    return { requests: this.#requests, exposed: this.#exposed };
  }

  /** Applies the counters of a process; they replace its earlier ones. */
  apply(process: string, counts: VersionCounts, nowMs: number): void {
    const previous = this.#byProcess.get(process);
    if (previous !== undefined && counts.requests < previous.requests) return;
    this.#byProcess.set(process, counts);
    this.#requests += counts.requests - (previous?.requests ?? 0);
    this.#exposed += counts.exposed - (previous?.exposed ?? 0);
    for (const [name, routeCounts] of Object.entries(counts.routes)) {
      const route = name as RouteName;
      this.#addRoute(route, routeCounts, previous?.routes[route], nowMs);
    }
    for (const [id, byRoute] of Object.entries(counts.doubtful ?? {})) {
      const server = id as BackendServerId;
      const before = previous?.doubtful?.[server];
      for (const [name, [lost, slow]] of Object.entries(byRoute)) {
        const route = name as RouteName;
        const [lostBefore, slowBefore] = before?.[route] ?? [0, 0];
        const added = { lost: lost - lostBefore, slow: slow - slowBefore };
        this.#addDoubtful({ server, route }, added, nowMs);
      }
    }
  }

  /** The sums by route. */
  routes(): Map<RouteName, RouteSums> {
    const sums = new Map<RouteName, RouteSums>();
    for (const [route, counts] of this.#routes) {
      const { lost, slow } = this.#doubtful.get(route) ?? { lost: 0, slow: 0 };
      sums.set(route, {
        answers: counts[0] + lost + slow,
        failed: counts[1] + lost,
        slow,
        ended: counts[2],
        otherAnswers: counts[3],
        otherFailed: counts[4],
        otherSlow: counts[5],
      });
    }
    return sums;
  }

  /** The present pace of the other versions on a route. */
  paceOf(route: RouteName, nowMs: number): OtherPace | undefined {
    const pace = this.#paces.get(route);
    if (pace?.mean === undefined) return undefined;
    const weight = decay(nowMs - pace.atMs);
    const isFresh = pace.answers * weight >= MIN_FRESH_ANSWERS;
    return { mean: pace.mean, isFresh };
  }

  #addRoute(
    route: RouteName,
    counts: RouteCounts,
    previous: RouteCounts | undefined,
    nowMs: number,
  ): void {
    const sums = this.#routes.get(route) ?? [0, 0, 0, 0, 0, 0, 0, 0];
    this.#routes.set(route, sums);
    const added = counts.map((count, index) =>
      count - (previous?.[index] ?? 0)
    );
    added.forEach((count, index) => {
      sums[index]! += count;
    });
    const answers = added[6]!;
    if (answers > 0) this.#addPace(route, { answers, sum: added[7]! }, nowMs);
  }

  #addPace(
    route: RouteName,
    added: { readonly answers: number; readonly sum: number },
    nowMs: number,
  ): void {
    const pace = this.#paces.get(route) ??
      { answers: 0, sum: 0, atMs: nowMs, allAnswers: 0, mean: undefined };
    this.#paces.set(route, pace);
    const weight = decay(nowMs - pace.atMs);
    pace.answers = pace.answers * weight + added.answers;
    pace.sum = pace.sum * weight + added.sum / PACE_UNITS;
    pace.allAnswers += added.answers;
    pace.atMs = nowMs;
    if (pace.allAnswers < MIN_PACED_ANSWERS) return;
    pace.mean = pace.sum / pace.answers;
  }

  #addDoubtful(
    { server, route }: {
      readonly server: BackendServerId;
      readonly route: RouteName;
    },
    added: { readonly lost: number; readonly slow: number },
    nowMs: number,
  ): void {
    const known = this.#doubtful.get(route) ?? { lost: 0, slow: 0 };
    const lost = this.#take(server, added.lost, nowMs);
    const slow = this.#take(server, added.slow, nowMs);
    this.#doubtful.set(route, {
      lost: known.lost + lost,
      slow: known.slow + slow,
    });
  }

  /** How many of a server's doubtful answers count now. */
  #take(server: BackendServerId, added: number, nowMs: number): number {
    const index = Math.floor(nowMs / DOUBTFUL_WINDOW_MS);
    const known = this.#windows.get(server);
    const window = known?.index === index ? known : { index, counted: 0 };
    this.#windows.set(server, window);
    const left = MAX_DOUBTFUL_PER_WINDOW - window.counted;
    const counted = Math.max(0, Math.min(added, left));
    window.counted += counted;
    return counted;
  }
}

function decay(ageMs: number): number {
  return 2 ** (-Math.max(0, ageMs) / PACE_HALF_LIFE_MS);
}

/** What counts as bad, and what is usual of it beside the others' share. */
interface FaultTest {
  readonly kind: VersionFault["kind"];
  badOf(sums: RouteSums): number;
  otherBadOf(sums: RouteSums): number;
  readonly margin: number;
}

const TESTS: readonly FaultTest[] = [
  {
    kind: "failed",
    badOf: ({ failed }) => failed,
    otherBadOf: ({ otherFailed }) => otherFailed,
    margin: 0,
  },
  {
    kind: "slow",
    badOf: ({ failed, slow }) => failed + slow,
    otherBadOf: ({ otherFailed, otherSlow }) => otherFailed + otherSlow,
    margin: SLOW_MARGIN,
  },
];

/**
 * Finds out whether the new version is bad, on one route or over all.
 *
 * @example
 * ```ts
 * const fault = findFault(evidence.routes());
 * ```
 */
export function findFault(
  routes: ReadonlyMap<RouteName, RouteSums>,
): VersionFault | undefined {
  for (const test of TESTS) {
    const fault = findFaultOf(test, routes);
    if (fault !== undefined) return fault;
  }
  return undefined;
}

function findFaultOf(
  test: FaultTest,
  routes: ReadonlyMap<RouteName, RouteSums>,
): VersionFault | undefined {
  const { kind } = test;
  const total = { answers: 0, bad: 0, expected: 0, variance: 0 };
  for (const [route, sums] of routes) {
    const { answers } = sums;
    const bad = test.badOf(sums);
    const usual = usualShare(test, sums);
    const expected = answers * usual;
    const variance = expected * (1 - usual);
    if (exceeds({ bad, expected, variance })) {
      return { kind, route, answers, bad, expected };
    }
    total.answers += answers;
    total.bad += bad;
    total.expected += expected;
    total.variance += variance;
  }
  if (!exceeds(total)) return undefined;
  const { answers, bad, expected } = total;
  return { kind, route: undefined, answers, bad, expected };
}

function usualShare(test: FaultTest, sums: RouteSums): number {
  const share = (test.otherBadOf(sums) + PRIOR_ANSWERS * MIN_USUAL_SHARE) /
    (sums.otherAnswers + PRIOR_ANSWERS);
  const bounded = Math.max(MIN_USUAL_SHARE, share) + test.margin;
  return Math.min(MAX_USUAL_SHARE, bounded);
}

function exceeds(
  { bad, expected, variance }: {
    readonly bad: number;
    readonly expected: number;
    readonly variance: number;
  },
): boolean {
  return bad > expected + DEVIATIONS * Math.sqrt(variance) + MIN_EXCESS;
}
