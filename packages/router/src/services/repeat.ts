/**
 * Repeats a repeatable call until it is answered.
 *
 * @module
 */

import { createError, isEndivebendError } from "@endivebend/errors";
import type { RetryBudget } from "@endivebend/routing";
import { type BackendServerId, brandId, type TeamId } from "@endivebend/types";
import type {
  Clock,
  Metrics,
  ServiceAnswer,
  ServiceCall,
  ServiceDispatcher,
} from "../ports.ts";

const MAX_ATTEMPTS = 3;
const RETRY_AFTER_MS = 1000;
/** Calls of open routes share one budget. */
const NO_TEAM = "";

/** What the repetition needs of its neighbours. */
export interface RepeatOptions {
  readonly dispatcher: ServiceDispatcher;
  readonly retries: RetryBudget;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

function budgetUse(call: ServiceCall, clock: Clock) {
  return {
    team: call.team ?? brandId<TeamId>(NO_TEAM),
    // Any server of the service may take the repetition.
    server: brandId<BackendServerId>(call.route.service),
    nowMs: clock.elapsedMs(),
  };
}

/** A connection that has gone silent must leave time for another attempt. */
function withAttemptDeadline(
  call: ServiceCall,
  options: { readonly clock: Clock; readonly attemptsLeft: number },
): ServiceCall {
  const nowMs = options.clock.elapsedMs();
  const leftMs = call.deadlineElapsedMs - nowMs;
  const deadlineElapsedMs = nowMs + leftMs / options.attemptsLeft;
  return { ...call, deadlineElapsedMs };
}

/** Once a byte went to any server, no later failure may say "not run". */
function combineFailures(earlier: unknown, latest: unknown): unknown {
  const mayHaveRun = isEndivebendError(earlier) && earlier.ran !== "not_run";
  return mayHaveRun ? earlier : latest;
}

/**
 * Dispatches a call up to three times, within the retry budget of its team and
 * service and before its deadline. Throws the failure that is true for all
 * attempts together.
 *
 * @example
 * ```ts
 * const answer = await dispatchRepeatable(call, options);
 * ```
 */
export async function dispatchRepeatable(
  call: ServiceCall,
  options: RepeatOptions,
): Promise<ServiceAnswer> {
  const { dispatcher, retries, clock, metrics } = options;
  let failure: unknown = createError(
    "deadline_exceeded",
    "The time for the request has passed before it was sent",
    { retryAfterMs: RETRY_AFTER_MS },
  );
  retries.recordRequest(budgetUse(call, clock));
  for (let count = 1; count <= MAX_ATTEMPTS; count++) {
    if (call.deadlineElapsedMs <= clock.elapsedMs()) break;
    if (count > 1 && !retries.tryRetry(budgetUse(call, clock))) break;
    if (count > 1) metrics.increment("services.repeated");
    try {
      return await dispatcher.dispatchOnce(
        withAttemptDeadline(call, {
          clock,
          attemptsLeft: MAX_ATTEMPTS - count + 1,
        }),
      );
    } catch (caught) {
      failure = combineFailures(failure, caught);
    }
  }
  throw failure;
}
