/**
 * Compares what callers were told with what ran.
 *
 * @module
 */

import type { RanCall } from "@endivebend/stand-ins";
import type { Booking } from "./load/booking_call.ts";
import type { Outcome } from "./load/outcome.ts";

/** What a scenario is judged by. */
export interface Evidence {
  readonly outcomes: readonly Outcome[];
  readonly bookings: readonly Booking[];
  /** Every booking call that ran, over all services. */
  readonly ran: readonly RanCall[];
  /** When the first fault began. */
  readonly faultAtMs: number | undefined;
}

/** The figures of one scenario. */
export interface Figures {
  readonly calls: number;
  readonly answered: number;
  readonly refused: number;
  /** Bookings that ran more than once. */
  readonly doubled: number;
  /** Calls without an end in time, and answered bookings that never ran. */
  readonly lost: number;
  /** Refusals that said `not_run` for a booking that ran. */
  readonly falseNotRun: number;
  /** Streams and calls whose connection broke without the harness's doing. */
  readonly cut: number;
  /** Streams that ended with an error event. */
  readonly incomplete: number;
  /** Calls whose daemon the harness killed. */
  readonly broken: number;
  /** Answers that look whole and are wrong. */
  readonly corrupt: number;
  /** From the first fault to the end of the last call that it harmed. */
  readonly recoverSeconds: number;
}

/** Computes the figures. */
export function computeFigures(evidence: Evidence): Figures {
  const { outcomes, bookings, ran } = evidence;
  const runsByToken = groupRuns(ran);
  const count = (kind: Outcome["kind"]) =>
    outcomes.filter((outcome) => outcome.kind === kind).length;
  const neverRan = bookings.filter((booking) =>
    isAnswered(booking) && !runsByToken.has(booking.token)
  );
  return {
    calls: outcomes.length,
    answered: count("answered"),
    refused: count("refused"),
    doubled: [...runsByToken.values()].filter((runs) => runs.length > 1).length,
    lost: count("lost") + neverRan.length,
    falseNotRun: countFalseNotRun(bookings, runsByToken),
    cut: count("cut"),
    incomplete: count("incomplete"),
    broken: count("broken"),
    corrupt: count("corrupt"),
    recoverSeconds: recoverSeconds(evidence),
  };
}

function groupRuns(ran: readonly RanCall[]): Map<string, RanCall[]> {
  const runs = new Map<string, RanCall[]>();
  for (const run of ran) {
    const { token } = JSON.parse(run.body) as { readonly token: string };
    runs.set(token, [...(runs.get(token) ?? []), run]);
  }
  return runs;
}

function isAnswered(booking: Booking): boolean {
  return booking.attempts.some(({ kind }) => kind === "answered");
}

/**
 * A refusal is false when the very request that it answers ran, or when a
 * booking ran of which every attempt was refused as not run.
 */
function countFalseNotRun(
  bookings: readonly Booking[],
  runsByToken: ReadonlyMap<string, readonly RanCall[]>,
): number {
  let count = 0;
  for (const { token, attempts } of bookings) {
    const runs = runsByToken.get(token) ?? [];
    const notRun = attempts.filter(saysNotRun);
    const ranIds = new Set(runs.map((run) => run.requestId));
    const direct = notRun.filter(({ requestId }) => ranIds.has(requestId));
    const isAllNotRun = notRun.length > 0 && notRun.length === attempts.length;
    if (direct.length > 0) count += direct.length;
    else if (isAllNotRun && runs.length > 0) count++;
  }
  return count;
}

function saysNotRun(outcome: Outcome): boolean {
  return outcome.kind === "refused" && outcome.ran === "not_run";
}

function recoverSeconds({ outcomes, faultAtMs }: Evidence): number {
  if (faultAtMs === undefined) return 0;
  const harmedEnds = outcomes
    .filter(({ kind, endedAtMs }) =>
      kind !== "answered" && endedAtMs > faultAtMs
    )
    .map(({ endedAtMs }) => endedAtMs);
  const lastMs = Math.max(faultAtMs, ...harmedEnds);
  return (lastMs - faultAtMs) / 1000;
}
