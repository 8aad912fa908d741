/**
 * Collects what this daemon and its peers have seen of crashes. A request is
 * seen by one daemon only, and requests with a deadly segment come at any of
 * them, so that each alone would learn too late.
 *
 * @module
 */

import type { BackendServerId } from "@endivebend/types";
import {
  countIncidents,
  type Crash,
  type CrashHistory,
  findCrashCauses,
  type Suspect,
} from "./find_crash_causes.ts";
import { isWholeRequest, type SuspectKey } from "./suspect_key.ts";

/** What one daemon has seen of a crash, for its peers. */
export interface CrashReport {
  readonly server: BackendServerId;
  /** Tells incarnations of the server apart. */
  readonly startedAtMs: number;
  /** Time since the crash. */
  readonly ageMs: number;
  /** Segment and its position, for each request that may be the cause. */
  readonly suspects: readonly (readonly [
    key: SuspectKey,
    depth: number,
  ])[];
}

/** Milliseconds since an answer to a prompt with the segment began. */
export type AnswerAges = Readonly<Record<SuspectKey, number>>;

/** Crashes further apart than this are not seen as related. */
const EVIDENCE_TTL_MS = 600_000;
/**
 * Peers are told of a crash for this long: many gossip rounds, and long enough
 * for a daemon that starts again while the store is away.
 */
const REPORT_TTL_MS = 30_000;
/** Bounds on what a gossip message tells, newest first. */
const MAX_REPORTS = 16;
const MAX_REPORTED_SEGMENTS = 12;
/** An engine of 128 slots has 16 requests of each of 8 daemons. */
const MAX_REPORTED_REQUESTS = 16;
const MAX_ANSWER_AGES = 64;
/**
 * Segments, and requests, whose newest answer is remembered; 20 a second for a
 * few minutes.
 */
const MAX_ANSWERED = 8_192;
/** Crashes that are remembered, newest first. */
const MAX_CRASHES = 256;
/**
 * Ends of one engine that are further apart are two crashes: its entry may still
 * be that of the former process.
 */
const SAME_CRASH_MS = 1_500;
/** Ages in messages vary by their time on the way. */
const MIN_NEWER_MS = 50;

/**
 * Time until an answer counts as sound, 250 ms, and until all daemons know, 800
 * ms through relays.
 */
const SETTLE_MS = 1_050;
/** Evidence is looked at again for this long after it has settled. */
const SETTLE_CHECK_MS = 2_000;

interface KnownCrash extends Crash {
  readonly server: BackendServerId;
  readonly startedAtMs: number;
  atMs: number;
  isExplained: boolean;
  readonly suspects: Suspect[];
  /** What this daemon itself has seen of it. */
  readonly own: Suspect[];
}

/** Crashes and answers, merged from all daemons. */
export class CrashEvidence {
  /** In the order in which they became known. */
  #crashes: KnownCrash[] = [];
  readonly #answers = new AnswerTimes();
  /** What this daemon itself has seen of answers. */
  readonly #ownAnswers = new AnswerTimes();

  /** Records what this daemon has seen of a crash. */
  recordCrash(
    server: { readonly id: BackendServerId; readonly startedAtMs: number },
    suspects: readonly Suspect[],
    atMs: number,
  ): void {
    const crash = this.#crashOf(server, atMs);
    addSuspects(crash.suspects, suspects);
    addSuspects(crash.own, suspects);
  }

  /** Records that an answer began at the time given and went on. */
  recordAnswered(keys: readonly SuspectKey[], beganAtMs: number): void {
    for (const key of keys) {
      this.#answers.set(key, beganAtMs);
      this.#ownAnswers.set(key, beganAtMs);
    }
  }

  /**
   * Applies what a peer has told. Returns whether a crash, a suspect or an
   * answer is new.
   */
  applyPeer(
    told: {
      readonly crashes: readonly CrashReport[];
      readonly answeredAgesMs: AnswerAges;
    },
    nowMs: number,
  ): boolean {
    let hasNew = false;
    for (const { server, startedAtMs, ageMs, suspects } of told.crashes) {
      if (ageMs > EVIDENCE_TTL_MS) continue;
      const crash = this.#crashOf({ id: server, startedAtMs }, nowMs - ageMs);
      const before = crash.suspects.length;
      addSuspects(
        crash.suspects,
        suspects.map(([key, depth]) => ({ key, depth })),
      );
      hasNew ||= crash.suspects.length > before;
    }
    for (const [name, ageMs] of Object.entries(told.answeredAgesMs)) {
      const key = name as SuspectKey;
      const knownAtMs = this.#answers.get(key) ?? Number.NEGATIVE_INFINITY;
      this.#answers.set(key, nowMs - ageMs);
      hasNew ||= nowMs - ageMs - knownAtMs > MIN_NEWER_MS;
    }
    return hasNew;
  }

  /** What this daemon has seen of recent crashes, newest first. */
  ownReports(nowMs: number): CrashReport[] {
    this.#dropOld(nowMs);
    return this.#crashes
      .filter(({ own, atMs }) => own.length > 0 && nowMs - atMs < REPORT_TTL_MS)
      .sort((a, b) => b.atMs - a.atMs)
      .slice(0, MAX_REPORTS)
      .map(({ server, startedAtMs, atMs, own }) => ({
        server,
        startedAtMs,
        ageMs: Math.round(nowMs - atMs),
        suspects: this.#mostSuspect(own)
          .map(({ key, depth }) => [key, depth] as const),
      }));
  }

  /** Those that are convicted first, should all be at the same crashes. */
  #mostSuspect(suspects: readonly Suspect[]): Suspect[] {
    const wasAnswered = ({ key }: Suspect) =>
      Number(this.#answers.get(key) !== undefined);
    const sorted = suspects.toSorted((a, b) =>
      wasAnswered(a) - wasAnswered(b) || b.depth - a.depth
    );
    const requests = sorted.filter(({ key }) => isWholeRequest(key));
    const segments = sorted.filter(({ key }) => !isWholeRequest(key));
    return [
      ...segments.slice(0, MAX_REPORTED_SEGMENTS),
      ...requests.slice(0, MAX_REPORTED_REQUESTS),
    ];
  }

  /**
   * When this daemon has answered suspects. Also answers before the crash count,
   * to tell segments with the same crashes apart.
   */
  ownAnswerAges(nowMs: number): AnswerAges {
    const suspects = this.#crashes
      .filter(({ atMs }) => nowMs - atMs < REPORT_TTL_MS)
      .flatMap((crash) => crash.suspects.map(({ key }) => key));
    const newest = [...new Set(suspects)]
      .flatMap((key) => {
        const atMs = this.#ownAnswers.get(key);
        return atMs === undefined ? [] : [[key, nowMs - atMs] as const];
      })
      .sort(([, a], [, b]) => a - b)
      .slice(0, MAX_ANSWER_AGES)
      .map(([key, ageMs]) => [key, Math.round(ageMs)]);
    return Object.fromEntries(newest);
  }

  answeredAtMs(key: SuspectKey): number | undefined {
    return this.#answers.get(key);
  }

  /** Segments that the crashes convict; see {@link findCrashCauses}. */
  findCauses(
    isKnownCause: CrashHistory["isKnownCause"],
    nowMs: number,
  ): SuspectKey[] {
    this.#dropOld(nowMs);
    const causes = findCrashCauses({
      ...this.#history(isKnownCause),
      settledUntilMs: nowMs - SETTLE_MS,
    });
    // Stays so when the cause is released, as others were not at fault.
    for (const crash of this.#crashes) {
      crash.isExplained ||= crash.suspects.some(({ key }) =>
        isKnownCause(key) || causes.includes(key)
      );
    }
    return causes;
  }

  /** Whether evidence may settle without a further event. */
  isSettling(nowMs: number): boolean {
    return this.#crashes.some(({ atMs }) =>
      nowMs - atMs < SETTLE_MS + SETTLE_CHECK_MS
    );
  }

  /** Crashes with the segment after the time and since its newest answer. */
  incidentsSince(key: SuspectKey, sinceMs: number): number {
    const history = this.#history(() => false);
    const crashes = history.crashes.filter(({ atMs }) => atMs > sinceMs);
    return countIncidents(key, { ...history, crashes });
  }

  #history(
    isKnownCause: CrashHistory["isKnownCause"],
  ): Omit<CrashHistory, "settledUntilMs"> {
    return {
      crashes: this.#crashes,
      answeredAtMs: (key) => this.#answers.get(key),
      isKnownCause,
    };
  }

  #crashOf(
    { id, startedAtMs }: {
      readonly id: BackendServerId;
      readonly startedAtMs: number;
    },
    atMs: number,
  ): KnownCrash {
    const known = this.#crashes.find((crash) =>
      crash.server === id && crash.startedAtMs === startedAtMs &&
      Math.abs(crash.atMs - atMs) < SAME_CRASH_MS
    );
    if (known !== undefined) {
      known.atMs = Math.min(known.atMs, atMs);
      return known;
    }
    const crash = {
      server: id,
      startedAtMs,
      atMs,
      isExplained: false,
      suspects: [],
      own: [],
    };
    this.#crashes.push(crash);
    return crash;
  }

  #dropOld(nowMs: number): void {
    this.#crashes = this.#crashes
      .filter(({ atMs }) => nowMs - atMs < EVIDENCE_TTL_MS)
      .slice(-MAX_CRASHES);
  }
}

/** When segments and requests were last answered. */
class AnswerTimes {
  /** Least recently answered first; requests don't displace segments. */
  readonly #segmentAtMs = new Map<SuspectKey, number>();
  readonly #requestAtMs = new Map<SuspectKey, number>();

  get(key: SuspectKey): number | undefined {
    return this.#timesFor(key).get(key);
  }

  set(key: SuspectKey, atMs: number): void {
    const times = this.#timesFor(key);
    const known = times.get(key) ?? Number.NEGATIVE_INFINITY;
    times.delete(key);
    times.set(key, Math.max(known, atMs));
    if (times.size <= MAX_ANSWERED) return;
    const [oldest] = times.keys();
    times.delete(oldest!);
  }

  #timesFor(key: SuspectKey): Map<SuspectKey, number> {
    return isWholeRequest(key) ? this.#requestAtMs : this.#segmentAtMs;
  }
}

function addSuspects(known: Suspect[], added: readonly Suspect[]): void {
  for (const suspect of added) {
    if (!known.some(({ key }) => key === suspect.key)) known.push(suspect);
  }
}
