/**
 * How a call ended for its caller.
 *
 * @module
 */

import type { ExecutionStatus } from "@endivebend/types";

/**
 * - `answered`: the whole, right answer.
 * - `refused`: an answer that says that there is none, before any of it came.
 * - `incomplete`: a stream that ended with an error event.
 * - `cut`: a connection that broke, or a stream that ended without its end.
 * - `broken`: a cut whose daemon the harness had killed or stopped.
 * - `corrupt`: an answer that looks whole and is wrong.
 * - `lost`: no end within the caller's time limit.
 */
export type OutcomeKind =
  | "answered"
  | "refused"
  | "incomplete"
  | "cut"
  | "broken"
  | "corrupt"
  | "lost";

/** One call. */
export interface Outcome {
  readonly kind: OutcomeKind;
  readonly call: "stream" | "booking" | "lookup";
  readonly vmId: string;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  readonly firstTokenMs?: number;
  readonly requestId?: string | undefined;
  readonly code?: string | undefined;
  readonly ran?: ExecutionStatus | undefined;
  readonly detail?: string | undefined;
}

/** The part of an outcome that the reading of an answer decides. */
export type Ending = Omit<
  Outcome,
  "call" | "vmId" | "startedAtMs" | "endedAtMs"
>;

/** Reads a refusal's body. */
export function readRefusal(
  text: string,
): Pick<Outcome, "code" | "ran" | "requestId" | "detail"> {
  try {
    const { error } = JSON.parse(text);
    return {
      code: error.code,
      ran: error.ran,
      requestId: error.request_id,
      detail: error.message,
    };
  } catch {
    return { detail: text.slice(0, 200) };
  }
}
