/**
 * Keeps prompts that crash engines away from them. Collects which answers had
 * just begun when an engine ended, and which prompts were answered.
 *
 * @module
 */

import {
  type CrashEvidence,
  type PromptAdmission,
  type PromptQuarantine,
  type SegmentOfModel,
  segmentOfModel,
} from "@endivebend/quarantine";
import type { ServerEndCheck } from "./server_end_check.ts";
import type { ListedServer, RoutedRequest } from "./types.ts";

/** Dependencies of the guard. */
export interface CrashGuardOptions {
  readonly endCheck: Pick<ServerEndCheck, "hasEnded">;
  readonly evidence: CrashEvidence;
  readonly quarantine: PromptQuarantine;
  nowMs(): number;
  /** Called when this daemon has seen a crash. */
  crashSeen(): void;
}

/**
 * An engine ends while it writes the first bytes of the answer that crashes it.
 * An answer that goes on for longer is not the cause.
 */
const ANSWER_START_MS = 250;

/** The segments of a request's prompt that other requests may share. */
export type SharedSegments = readonly SegmentOfModel[];

/** Decides whether prompts are sent to engines. */
export class CrashGuard {
  readonly #options: CrashGuardOptions;

  constructor(options: CrashGuardOptions) {
    this.#options = options;
  }

  /** The request's shared segments; none for a plain service. */
  segmentsOf({ work }: Pick<RoutedRequest, "work">): SharedSegments {
    if (work === undefined) return [];
    return work.prompt.slice(0, -1).map(({ id }) =>
      segmentOfModel(work.model, id)
    );
  }

  /** Decides whether a prompt may be sent now; may begin a trial. */
  admit(segments: SharedSegments): PromptAdmission {
    const { quarantine, nowMs } = this.#options;
    return quarantine.admit(segments, nowMs());
  }

  /** The quarantine that the prompt falls under, if there is one. */
  findBlocked(segments: SharedSegments) {
    const { quarantine, nowMs } = this.#options;
    return quarantine.findBlocked(segments, nowMs());
  }

  /** Whether a prompt may be tried again after its engine ended. */
  mayRetry(segments: SharedSegments): boolean {
    return !this.#options.quarantine.isSuspected(segments);
  }

  /**
   * Records that an answer that began at `beganAtMs` goes on, or is complete.
   * Returns whether that shows that its prompt is sound.
   */
  recordProgress(
    segments: SharedSegments,
    answer: { readonly beganAtMs: number; readonly isComplete: boolean },
  ): boolean {
    const { evidence, quarantine, nowMs } = this.#options;
    const isStarted = nowMs() - answer.beganAtMs >= ANSWER_START_MS;
    if (!isStarted && !answer.isComplete) return false;
    evidence.recordAnswered(segments, answer.beganAtMs);
    if (quarantine.findBlocked(segments, nowMs()) !== undefined) {
      quarantine.evaluate(nowMs());
    }
    return true;
  }

  /**
   * Records that the connection of an attempt was lost. It counts as a crash by
   * the prompt when the engine itself has ended and the answer had just begun;
   * `beganAtMs` is undefined when it had not begun, or had gone on for long.
   */
  async recordLoss(
    segments: SharedSegments,
    answer: {
      readonly server: ListedServer;
      readonly beganAtMs: number | undefined;
      readonly hasEvents: boolean;
    },
  ): Promise<void> {
    if (segments.length === 0) return;
    const { endCheck, evidence, quarantine, nowMs, crashSeen } = this.#options;
    const { server, beganAtMs, hasEvents } = answer;
    const atMs = nowMs();
    if (!await endCheck.hasEnded(server) || beganAtMs === undefined) return;
    if (hasEvents && atMs - beganAtMs >= ANSWER_START_MS) return;
    const suspects = segments.map((key, depth) => ({ key, depth }));
    evidence.recordCrash(server, suspects, atMs);
    quarantine.evaluate(nowMs());
    crashSeen();
  }
}
