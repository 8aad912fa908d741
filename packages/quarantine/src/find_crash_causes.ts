/**
 * Decides which prompt segments crash engines. Each crash ends the answers of
 * all requests at its engine, so it names the guilty segment together with some
 * innocent ones; what they have in common over several crashes tells them apart.
 *
 * @module
 */

import type { SuspectKey } from "./suspect_key.ts";

/** What may have ended an engine: a request that ran there, or its segments. */
export interface Suspect {
  readonly key: SuspectKey;
  /**
   * Position in the prompt, from 0. A whole request whose answer had begun comes
   * after its segments.
   */
  readonly depth: number;
}

/** The end of one engine process. */
export interface Crash {
  readonly atMs: number;
  /** Whether one of the suspects was found to be the cause. */
  readonly isExplained: boolean;
  readonly suspects: readonly Suspect[];
}

/** What is known of crashes and of answers. */
export interface CrashHistory {
  readonly crashes: readonly Crash[];
  /** When the newest answer to a prompt with the segment began and went on. */
  readonly answeredAtMs: (key: SuspectKey) => number | undefined;
  /** Segments that are known to crash engines; they explain their crashes. */
  readonly isKnownCause: (key: SuspectKey) => boolean;
  /**
   * Up to when all daemons have told of crashes, and of answers that began
   * between them. Suspects that were answered before are not convicted by later
   * crashes yet.
   */
  readonly settledUntilMs: number;
}

/**
 * Crashes that convict a segment. Two happen to innocent segments: a request
 * that shares an engine with a deadly one is retried beside it.
 */
export const MIN_INCIDENTS = 3;
/**
 * Engines that end within this time count once: a rack, a failure domain or a
 * service may end at once with whatever it was running.
 */
const SIMULTANEOUS_MS = 100;

/** The crashes at which a segment was a suspect since it was last answered. */
interface Appearances {
  readonly suspect: Suspect;
  /** Those that no known cause explains. */
  readonly openAtMs: number[];
  readonly explainedAtMs: number[];
}

interface Candidate extends Suspect {
  readonly incidents: number;
  readonly wasAnswered: boolean;
}

/**
 * The segments that the crashes convict beyond the known causes. A segment is
 * convicted when it was at several crashes that no known cause explains, with
 * no answer after the first of them. For one that was never answered a single
 * crash without an explanation is enough. Of segments with the same
 * crashes, the one that was never answered is convicted, else the one deepest
 * in its prompts, as fewer requests share it; the whole request comes last, so
 * that sound requests with the same segments go on.
 *
 * @example
 * ```ts
 * for (const key of findCrashCauses(history)) quarantine(key);
 * ```
 */
export function findCrashCauses(history: CrashHistory): SuspectKey[] {
  const causes: SuspectKey[] = [];
  for (;;) {
    const [worst] = listCandidates({
      ...history,
      isKnownCause: (key) => causes.includes(key) || history.isKnownCause(key),
    }).sort(compareCandidates);
    if (worst === undefined) return causes;
    causes.push(worst.key);
  }
}

/**
 * Number of crashes with the segment since it was last answered; engines that
 * ended at once count as one.
 */
export function countIncidents(
  key: SuspectKey,
  { crashes, answeredAtMs }: Pick<CrashHistory, "crashes" | "answeredAtMs">,
): number {
  const sinceMs = answeredAtMs(key) ?? Number.NEGATIVE_INFINITY;
  const times = crashes
    .filter(({ atMs, suspects }) =>
      atMs > sinceMs && suspects.some((suspect) => suspect.key === key)
    )
    .map(({ atMs }) => atMs);
  return countApart(times);
}

function countApart(times: readonly number[]): number {
  let incidents = 0;
  let incidentAtMs = Number.NEGATIVE_INFINITY;
  for (const atMs of times.toSorted((a, b) => a - b)) {
    if (atMs - incidentAtMs < SIMULTANEOUS_MS) continue;
    incidents += 1;
    incidentAtMs = atMs;
  }
  return incidents;
}

function listCandidates(history: CrashHistory): Candidate[] {
  const { crashes, answeredAtMs, isKnownCause, settledUntilMs } = history;
  const found = new Map<SuspectKey, Appearances>();
  for (const { atMs, isExplained, suspects } of crashes) {
    const isOpen = !isExplained &&
      !suspects.some(({ key }) => isKnownCause(key));
    for (const suspect of suspects) {
      if (atMs <= (answeredAtMs(suspect.key) ?? -Infinity)) continue;
      const entry = found.get(suspect.key) ??
        { suspect, openAtMs: [], explainedAtMs: [] };
      found.set(suspect.key, entry);
      (isOpen ? entry.openAtMs : entry.explainedAtMs).push(atMs);
    }
  }
  return [...found.values()]
    .filter(({ openAtMs }) => openAtMs.length > 0)
    .map(({ suspect, openAtMs, explainedAtMs }) => {
      const wasAnswered = answeredAtMs(suspect.key) !== undefined;
      // Beside a known cause anything may have been at its crashes; only what
      // was never answered may be a cause that was mistaken for another.
      const times = wasAnswered
        ? openAtMs.filter((atMs) => atMs <= settledUntilMs)
        : [...openAtMs, ...explainedAtMs];
      return { ...suspect, incidents: countApart(times), wasAnswered };
    })
    .filter(({ incidents }) => incidents >= MIN_INCIDENTS);
}

function compareCandidates(a: Candidate, b: Candidate): number {
  return b.incidents - a.incidents ||
    Number(a.wasAnswered) - Number(b.wasAnswered) || b.depth - a.depth;
}
