/**
 * Retries a repeatable call until it is answered.
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
const OPEN_ROUTE_TEAM = "";

/** Dependencies of {@link dispatchWithRetry}. */
export interface RetryOptions {
  readonly dispatcher: ServiceDispatcher;
  readonly retryBudget: RetryBudget;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

function retryBudgetUse(call: ServiceCall, clock: Clock) {
  return {
    team: call.team ?? brandId<TeamId>(OPEN_ROUTE_TEAM),
    // The budget is one of the service: any of its servers may get the retry.
    server: brandId<BackendServerId>(call.route.service),
    nowMs: clock.elapsedMs(),
  };
}

/** A connection that has gone silent must leave time for another attempt. */
function withAttemptDeadline(
  call: ServiceCall,
  options: { readonly clock: Clock; readonly remainingAttempts: number },
): ServiceCall {
  const nowMs = options.clock.elapsedMs();
  const remainingMs = call.deadlineElapsedMs - nowMs;
  const deadlineElapsedMs = nowMs + remainingMs / options.remainingAttempts;
  return { ...call, deadlineElapsedMs };
}

/** Once a byte went to any server, no later failure may say "not run". */
function combineFailures(earlier: unknown, latest: unknown): unknown {
  const mayHaveRun = isEndivebendError(earlier) && earlier.ran !== "not_run";
  return mayHaveRun ? earlier : latest;
}

/**
 * Dispatches a call up to three times, within the retry budget of its team and
 * service and before its deadline. Throws the last failure, or the first one of
 * an attempt that may have run the call.
 *
 * @example
 * ```ts
 * const answer = await dispatchWithRetry(call, options);
 * ```
 */
export async function dispatchWithRetry(
  call: ServiceCall,
  options: RetryOptions,
): Promise<ServiceAnswer> {
  const { dispatcher, retryBudget, clock, metrics } = options;
  let lastFailure: unknown = createError(
    "deadline_exceeded",
    "The deadline passed before the call was sent; retry it",
    { retryAfterMs: RETRY_AFTER_MS },
  );
  retryBudget.recordRequest(retryBudgetUse(call, clock));
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
    if (call.deadlineElapsedMs <= clock.elapsedMs()) break;
    if (attempt > 1 && !retryBudget.tryRetry(retryBudgetUse(call, clock))) {
      break;
    }
    if (attempt > 1) metrics.increment("services.repeated");
    try {
      return await dispatcher.dispatchOnce(
        withAttemptDeadline(call, {
          clock,
          remainingAttempts: MAX_ATTEMPTS - attempt + 1,
        }),
      );
    } catch (caught) {
      lastFailure = combineFailures(lastFailure, caught);
    }
  }
  throw lastFailure;
}
