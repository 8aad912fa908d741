/**
 * One attempt of a request at one server.
 *
 * @module
 */

import type { AnswerOrigin } from "./answer_origin.ts";
import type { AnswerHead, AttemptHandle, Forwarder } from "./ports.ts";
import type { PaceSample } from "./pace_sample.ts";
import type { KnownServer } from "./server_registry.ts";
import type { WeightsVersion } from "./types.ts";

/** The state of an attempt. */
export interface Attempt {
  readonly server: KnownServer;
  readonly origin: AnswerOrigin;
  /** The VM that it goes through; undefined when it goes to the server. */
  readonly forwarder: Forwarder | undefined;
  /** Ends the count of the forwarder's requests. */
  readonly leaveForwarder: () => void;
  /** The weights that its server must have to run it. */
  readonly expectedWeights: WeightsVersion | undefined;
  /** Whether it checks the belief that no engine has weights that may serve. */
  readonly isProbe: boolean;
  readonly startedAtMs: number;
  handle: AttemptHandle | undefined;
  /** What it tells of its server's pace, once it is sent. */
  pace: PaceSample | undefined;
  wasSent: boolean;
  /** When its own connection was opened; undefined on one that was kept. */
  connectedAtMs: number | undefined;
  /** Whether it is known to have arrived, or to arrive no more. */
  isSettled: boolean;
  /** When the head of its answer came. */
  headAtMs: number | undefined;
  /** The head of its answer, until the relay has it. */
  pendingHead: AnswerHead | undefined;
  hasEvents: boolean;
  /** Whether its answer shows that the prompt is sound. */
  isKnownSound: boolean;
  /** Whether it was silent for so long that its server may have ended. */
  isSuspect: boolean;
  /** Why a replacement was sought, if one was. */
  silence: "silent" | "cut_off";
  /** When a replacement may be sought again. */
  replaceFromMs: number;
  lastProgressMs: number;
}

/** An attempt that is about to be sent. */
export function newAttempt(
  fields: Pick<
    Attempt,
    | "server"
    | "origin"
    | "forwarder"
    | "leaveForwarder"
    | "expectedWeights"
    | "isProbe"
    | "startedAtMs"
  >,
): Attempt {
  return {
    ...fields,
    handle: undefined,
    pace: undefined,
    wasSent: false,
    connectedAtMs: undefined,
    isSettled: false,
    headAtMs: undefined,
    pendingHead: undefined,
    hasEvents: false,
    isKnownSound: false,
    isSuspect: false,
    silence: "silent",
    replaceFromMs: 0,
    lastProgressMs: fields.startedAtMs,
  };
}
