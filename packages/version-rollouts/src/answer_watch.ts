/**
 * Counts the answers of a new version and of the others at one daemon, by
 * route. A version that is only slower shows while its answers are still open:
 * one that takes several times as long as the others' counts as soon as it is
 * late.
 *
 * @module
 */

import type { RouteName } from "@endivebend/request-path";
import type { BackendServerId } from "@endivebend/types";
import type {
  DoubtfulCounts,
  RouteCounts,
  VersionCounts,
} from "./version_order.ts";

/** Time to a first event without prompt tokens to read. */
const BASE_MS = 50;
/** Prompt tokens that an engine reads in a millisecond. */
const TOKENS_PER_MS = 38.4;
/** A slow answer takes this many times as long as those of other versions. */
const SLOW_FACTOR = 3;
/** The same once the others have not answered of late, as load changes. */
const STALE_SLOW_FACTOR = 4;
/** Short calls vary by as much on any version. */
const MIN_SLOW_MS = 30;
/** Sums of paces are told in hundredths. */
const PACE_UNITS = 100;

/** The mean time of the other versions' answers, as a multiple of expected. */
export interface OtherPace {
  readonly mean: number;
  /** Whether they still answer on the route. */
  readonly isFresh: boolean;
}

/** An attempt whose answer is watched. */
export interface WatchedAttempt {
  readonly route: RouteName;
  readonly server: BackendServerId;
  readonly isNew: boolean;
  /** Prompt tokens that its server has to read first. */
  readonly tokensToRead: number;
  readonly sentAtMs: number;
  /** Whether it does not count as slow, whatever time it takes. */
  readonly isSpared?: boolean;
}

interface OpenAttempt extends WatchedAttempt {
  hasBegun: boolean;
  /** Whether it is among the answers. */
  isCounted: boolean;
  /** Whether it is among the bad ones. */
  isBad: boolean;
}

/** What makes an answer bad. */
type Fault = "failed" | "lost" | "slow";

type Counts = [...RouteCounts];

const ANSWERS = 0;
const FAILED = 1;
const ENDED = 2;
const OTHER = { answers: 3, failed: 4, slow: 5 } as const;
const OTHER_BEGUN = 6;
const OTHER_PACE = 7;

/** The watch of one daemon for one order. */
export class AnswerWatch {
  readonly #paceOf: (route: RouteName, nowMs: number) => OtherPace | undefined;
  readonly #open = new Map<object, OpenAttempt>();
  readonly #routes = new Map<RouteName, Counts>();
  readonly #doubtful = new Map<
    BackendServerId,
    Record<RouteName, DoubtfulCounts>
  >();
  #bad = 0;
  #longestMs = 0;

  constructor(
    paceOf: (route: RouteName, nowMs: number) => OtherPace | undefined,
  ) {
    this.#paceOf = paceOf;
  }

  /** Bad answers of the new version so far. */
  get bad(): number {
    return this.#bad;
  }

  /** The longest complete answer of the other versions. */
  get longestMs(): number {
    return this.#longestMs;
  }

  /** An attempt was sent; `key` is the same object in all its calls. */
  sent(key: object, attempt: WatchedAttempt): void {
    this.#open.set(key, {
      ...attempt,
      hasBegun: false,
      isCounted: false,
      isBad: false,
    });
    this.#countsOf(attempt.route);
  }

  /** The first event of an attempt's answer came. */
  began(key: object, nowMs: number): void {
    const attempt = this.#open.get(key);
    if (attempt === undefined || attempt.hasBegun) return;
    attempt.hasBegun = true;
    const takenMs = nowMs - attempt.sentAtMs;
    if (!attempt.isNew) {
      const pace = takenMs / expectedMs(attempt);
      const counts = this.#countsOf(attempt.route);
      counts[OTHER_BEGUN] += 1;
      counts[OTHER_PACE] += Math.round(pace * PACE_UNITS);
    }
    if (takenMs >= this.#slowFromMs(attempt, nowMs)) {
      this.#count(attempt, "slow");
    }
    // Streams end seconds later, and slow ones are counted before.
    this.#count(attempt, undefined);
  }

  /** An answer is complete. */
  answered(key: object, nowMs: number): void {
    this.began(key, nowMs);
    const attempt = this.#open.get(key);
    if (attempt !== undefined && !attempt.isNew) {
      this.#longestMs = Math.max(this.#longestMs, nowMs - attempt.sentAtMs);
    }
    this.#end(key, undefined);
  }

  /** The server's answer is a failure. */
  failed(key: object): void {
    this.#end(key, "failed");
  }

  /** The connection of an attempt was lost; its server may have ended. */
  lost(key: object): void {
    const isNew = this.#open.get(key)?.isNew;
    this.#end(key, isNew ? "lost" : "failed");
  }

  /** Nothing is known of the attempt's end, as its caller has left. */
  dropped(key: object): void {
    this.#open.delete(key);
  }

  /** Forgets open attempts: after a pause of the process all look late. */
  notePause(): void {
    this.#open.clear();
  }

  /** Counts open attempts at the new version that are late by now. */
  check(nowMs: number): void {
    for (const attempt of this.#open.values()) {
      if (!attempt.isNew || attempt.hasBegun || attempt.isBad) continue;
      if (nowMs - attempt.sentAtMs < this.#slowFromMs(attempt, nowMs)) continue;
      this.#count(attempt, "slow");
    }
  }

  /** The counters, as they are told to peers. */
  counts(): Pick<VersionCounts, "routes" | "doubtful"> {
    const routes = Object.fromEntries(
      [...this.#routes].map(([route, counts]) => [route, [...counts]]),
    ) as unknown as VersionCounts["routes"];
    if (this.#doubtful.size === 0) return { routes };
    const doubtful = Object.fromEntries(
      [...this.#doubtful].map(([server, byRoute]) => [server, { ...byRoute }]),
    ) as VersionCounts["doubtful"] & object;
    return { routes, doubtful };
  }

  #end(key: object, fault: Fault | undefined): void {
    const attempt = this.#open.get(key);
    if (attempt === undefined) return;
    this.#open.delete(key);
    this.#count(attempt, fault);
    if (attempt.isNew) this.#countsOf(attempt.route)[ENDED] += 1;
  }

  #count(attempt: OpenAttempt, fault: Fault | undefined): void {
    if (attempt.isBad) return;
    attempt.isBad = fault !== undefined;
    const isDoubtful = attempt.isNew && (fault === "slow" || fault === "lost");
    const counts = this.#countsOf(attempt.route);
    if (!attempt.isCounted && !isDoubtful) {
      counts[attempt.isNew ? ANSWERS : OTHER.answers] += 1;
    }
    attempt.isCounted = true;
    if (fault === undefined) return;
    if (attempt.isNew) this.#bad += 1;
    if (isDoubtful) this.#countDoubtful(attempt, fault);
    else if (attempt.isNew) counts[FAILED] += 1;
    else counts[fault === "slow" ? OTHER.slow : OTHER.failed] += 1;
  }

  #countDoubtful(
    { server, route }: OpenAttempt,
    fault: Fault,
  ): void {
    const byRoute = this.#doubtful.get(server) ??
      {} as Record<RouteName, DoubtfulCounts>;
    const [lost, slow] = byRoute[route] ?? [0, 0];
    byRoute[route] = fault === "lost" ? [lost + 1, slow] : [lost, slow + 1];
    this.#doubtful.set(server, byRoute);
  }

  #slowFromMs(attempt: OpenAttempt, nowMs: number): number {
    const pace = this.#paceOf(attempt.route, nowMs);
    if (pace === undefined || attempt.isSpared) return Number.POSITIVE_INFINITY;
    const usualMs = pace.mean * expectedMs(attempt);
    const factor = pace.isFresh ? SLOW_FACTOR : STALE_SLOW_FACTOR;
    return Math.max(usualMs * factor, usualMs + MIN_SLOW_MS);
  }

  #countsOf(route: RouteName): Counts {
    const known = this.#routes.get(route);
    if (known !== undefined) return known;
    const counts: Counts = [0, 0, 0, 0, 0, 0, 0, 0];
    this.#routes.set(route, counts);
    return counts;
  }
}

/**
 * The time to the first event that the number of tokens to read explains: a new
 * server has nothing in its prefix cache and reads more.
 */
function expectedMs({ tokensToRead }: WatchedAttempt): number {
  return BASE_MS + tokensToRead / TOKENS_PER_MS;
}
