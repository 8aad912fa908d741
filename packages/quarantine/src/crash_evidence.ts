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
import type { SegmentOfModel } from "./segment_of_model.ts";

/** What one daemon has seen of a crash, for its peers. */
export interface CrashReport {
  readonly server: BackendServerId;
  /** Tells incarnations of the server apart. */
  readonly startedAtMs: number;
  /** Time since the crash. */
  readonly ageMs: number;
  /** Segment and its position, for each request that may be the cause. */
  readonly suspects: readonly (readonly [
    key: SegmentOfModel,
    depth: number,
  ])[];
}

/** Milliseconds since an answer to a prompt with the segment began. */
export type AnswerAges = Readonly<Record<SegmentOfModel, number>>;

/** Crashes further apart than this are not seen as related. */
const EVIDENCE_TTL_MS = 600_000;
/**
 * Peers are told of a crash for this long: many gossip rounds, and long enough
 * for a daemon that starts again while the store is away.
 */
const REPORT_TTL_MS = 30_000;
/** Bounds on what a gossip message tells, newest first. */
const MAX_REPORTS = 16;
const MAX_REPORTED_SUSPECTS = 12;
const MAX_ANSWER_AGES = 64;
/** Segments whose newest answer is remembered; 20 a second for a few minutes. */
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
  recordAnswered(keys: readonly SegmentOfModel[], beganAtMs: number): void {
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
      const key = name as SegmentOfModel;
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
    return suspects
      .toSorted((a, b) => wasAnswered(a) - wasAnswered(b) || b.depth - a.depth)
      .slice(0, MAX_REPORTED_SUSPECTS);
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

  answeredAtMs(key: SegmentOfModel): number | undefined {
    return this.#answers.get(key);
  }

  /** Segments that the crashes convict; see {@link findCrashCauses}. */
  findCauses(
    isKnownCause: CrashHistory["isKnownCause"],
    nowMs: number,
  ): SegmentOfModel[] {
    this.#dropOld(nowMs);
    const causes = findCrashCauses(this.#history(isKnownCause));
    // Stays so when the cause is released, as others were not at fault.
    for (const crash of this.#crashes) {
      crash.isExplained ||= crash.suspects.some(({ key }) =>
        isKnownCause(key) || causes.includes(key)
      );
    }
    return causes;
  }

  /** Crashes with the segment after the time and since its newest answer. */
  incidentsSince(key: SegmentOfModel, sinceMs: number): number {
    const history = this.#history(() => false);
    const crashes = history.crashes.filter(({ atMs }) => atMs > sinceMs);
    return countIncidents(key, { ...history, crashes });
  }

  #history(isKnownCause: CrashHistory["isKnownCause"]): CrashHistory {
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

/** When segments were last answered, least recently answered first. */
class AnswerTimes {
  readonly #atMs = new Map<SegmentOfModel, number>();

  get(key: SegmentOfModel): number | undefined {
    return this.#atMs.get(key);
  }

  set(key: SegmentOfModel, atMs: number): void {
    const known = this.#atMs.get(key) ?? Number.NEGATIVE_INFINITY;
    this.#atMs.delete(key);
    this.#atMs.set(key, Math.max(known, atMs));
    if (this.#atMs.size <= MAX_ANSWERED) return;
    const [oldest] = this.#atMs.keys();
    this.#atMs.delete(oldest!);
  }
}

function addSuspects(known: Suspect[], added: readonly Suspect[]): void {
  for (const suspect of added) {
    if (!known.some(({ key }) => key === suspect.key)) known.push(suspect);
  }
}
