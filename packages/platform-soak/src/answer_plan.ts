/**
 * Decides how a server answers, and what it does wrong.
 *
 * @module
 */

import type { Draws } from "./random.ts";

/** How often a server does what. Shares are of the requests that it takes. */
export interface ServerFaults {
  /** Answers that are sent a second time. */
  readonly stutterShare: number;
  /** Answers that end with a reset after a few bytes. */
  readonly cutShare: number;
  /** Requests that are refused as not run. */
  readonly refuseShare: number;
  /** Plain answers without a length. */
  readonly unframedShare: number;
  /** Forms of second copies of answers without a length. */
  readonly unframedCopies: readonly CopyForm[];
  /** Streams that break off, often in the middle of an event. */
  readonly breakOffShare: number;
}

/** A server that does everything right. */
export const NO_FAULTS: ServerFaults = {
  stutterShare: 0,
  cutShare: 0,
  refuseShare: 0,
  unframedShare: 0,
  unframedCopies: [],
  breakOffShare: 0,
};

/** When and how the second copy of an answer is sent. */
export type CopyForm =
  | "same_segment"
  | "soon"
  | "late"
  | "before_next"
  | "two_pieces"
  | "tail"
  | "part";

const COPY_FORMS: readonly CopyForm[] = [
  "same_segment",
  "soon",
  "late",
  "before_next",
  "two_pieces",
  "tail",
  "part",
];

/** How one request is answered. */
export interface AnswerPlan {
  readonly isRefused: boolean;
  /** Whether a refusal names its request. */
  readonly namesRequest: boolean;
  readonly isCut: boolean;
  readonly isFramed: boolean;
  readonly copy: CopyForm | undefined;
  /** Delay of the copy, or between its pieces. */
  readonly copyDelayMs: number;
  /** Where a copy is split or begins, as a share of its bytes. */
  readonly copySplit: number;
  /** Time until the answer begins. */
  readonly workMs: number;
  /** Event after which a stream breaks off; none if undefined. */
  readonly breaksOffAfter: number | undefined;
  /** Length of the body's filler, in bytes. */
  readonly fillerBytes: number;
}

/** Draws how a request is answered. */
export function planAnswer(faults: ServerFaults, draws: Draws): AnswerPlan {
  const isFramed = !draws.chance(faults.unframedShare);
  const forms = isFramed ? COPY_FORMS : faults.unframedCopies;
  const stutters = draws.chance(faults.stutterShare) && forms.length > 0;
  const form = stutters ? draws.pick(forms) : undefined;
  const delayMs = draws.int(5, 205);
  return {
    isRefused: draws.chance(faults.refuseShare),
    namesRequest: draws.chance(0.5),
    isCut: draws.chance(faults.cutShare),
    isFramed,
    copy: form,
    copyDelayMs: form === "late" ? delayMs : delayMs % 5,
    copySplit: draws.int(1, 99) / 100,
    workMs: draws.int(1, 40),
    breaksOffAfter: draws.chance(faults.breakOffShare)
      ? draws.int(1, 20)
      : undefined,
    fillerBytes: draws.int(0, 9) === 0 ? draws.int(1_000, 60_000) : 40,
  };
}
