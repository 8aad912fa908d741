/**
 * Keeps requests that crash servers away from them. Collects which requests ran
 * at a server that ended, which of their answers had just begun, and which
 * requests were answered.
 *
 * @module
 */

import {
  type CrashEvidence,
  type PromptAdmission,
  type PromptQuarantine,
  segmentOfModel,
  type SuspectKey,
  wholeRequest,
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

/** What of a request may crash engines. */
export interface RequestSuspects {
  /** The segments of its prompt that other requests may share. */
  readonly segments: readonly SuspectKey[];
  /** The whole request, which clients may send again at any VM. */
  readonly request: SuspectKey;
}

/** Decides whether requests are sent to servers. */
export class CrashGuard {
  readonly #options: CrashGuardOptions;

  constructor(options: CrashGuardOptions) {
    this.#options = options;
  }

  suspectsOf(
    { work, digest }: Pick<RoutedRequest, "work" | "digest">,
  ): RequestSuspects {
    const prompt = work?.prompt.slice(0, -1) ?? [];
    return {
      segments: prompt.map(({ id }) => segmentOfModel(work!.model, id)),
      request: wholeRequest(digest),
    };
  }

  /** Decides whether a request may be sent now; may begin a trial. */
  admit(suspects: RequestSuspects): PromptAdmission {
    const { quarantine, nowMs } = this.#options;
    return quarantine.admit(allOf(suspects), nowMs());
  }

  /** The quarantine that the request falls under, if there is one. */
  findBlocked(suspects: RequestSuspects) {
    const { quarantine, nowMs } = this.#options;
    return quarantine.findBlocked(allOf(suspects), nowMs());
  }

  /** Whether a request may be tried again after its engine ended. */
  mayRetry(suspects: RequestSuspects): boolean {
    return !this.#options.quarantine.isSuspected(allOf(suspects));
  }

  /**
   * Records that an answer that began at `beganAtMs` goes on, or is complete.
   * Returns whether that shows that its request is sound.
   */
  recordProgress(
    suspects: RequestSuspects,
    answer: { readonly beganAtMs: number; readonly isComplete: boolean },
  ): boolean {
    const { evidence, quarantine, nowMs } = this.#options;
    const isStarted = nowMs() - answer.beganAtMs >= ANSWER_START_MS;
    if (!isStarted && !answer.isComplete) return false;
    const keys = allOf(suspects);
    evidence.recordAnswered(keys, answer.beganAtMs);
    if (quarantine.findBlocked(keys, nowMs()) !== undefined) {
      quarantine.evaluate(nowMs());
    }
    return true;
  }

  /**
   * Records that the connection of an attempt was lost. When the engine itself
   * has ended, the request may be the cause, unless its answer had gone on for
   * some time; its segments may be if the answer had just begun.
   */
  async recordLoss(
    suspects: RequestSuspects,
    answer: {
      readonly server: ListedServer;
      /** When its head came; undefined when none had come. */
      readonly headAtMs: number | undefined;
      readonly hasEvents: boolean;
      /** Whether {@link CrashGuard.recordProgress} has found it sound. */
      readonly isKnownSound: boolean;
    },
  ): Promise<void> {
    const { endCheck, evidence, quarantine, nowMs, crashSeen } = this.#options;
    const { server, headAtMs, hasEvents, isKnownSound } = answer;
    const atMs = nowMs();
    if (!await endCheck.hasEnded(server) || isKnownSound) return;
    const hasBegun = headAtMs !== undefined;
    if (hasBegun && hasEvents && atMs - headAtMs >= ANSWER_START_MS) return;
    const { segments, request } = suspects;
    const seen = hasBegun
      ? [...segments, request].map((key, depth) => ({ key, depth }))
      : [{ key: request, depth: 0 }];
    evidence.recordCrash(server, seen, atMs);
    quarantine.evaluate(nowMs());
    crashSeen();
  }
}

function allOf({ segments, request }: RequestSuspects): SuspectKey[] {
  return [...segments, request];
}
