/**
 * Charges a caller's request, and stops waiting when the caller disconnects or
 * its key is withdrawn.
 *
 * @module
 */

import { writeRefusal } from "../http/respond.ts";
import type { ActiveRequest } from "./active_requests.ts";
import { type Caller, checkDigest } from "./authenticate.ts";
import { chargeRequest } from "./charge.ts";
import {
  type CallerContext,
  type Exchange,
  recordAbandoned,
} from "./context.ts";

/** A request to charge, with its caller and cost. */
export interface CallerCharge {
  readonly exchange: Exchange;
  readonly caller: Caller;
  readonly costTokens: number;
}

/**
 * Returns the rate-limit headers of the answer, or undefined when the request
 * was refused or its caller disconnected. Throws `key_withdrawn` or
 * `unknown_key` when the key becomes invalid, also while the request is waiting
 * for tokens.
 *
 * @example
 * ```ts
 * const headers = await chargeCaller(context, { exchange, caller, costTokens });
 * if (headers === undefined) return;
 * ```
 */
export async function chargeCaller(
  context: CallerContext,
  charge: CallerCharge,
): Promise<Readonly<Record<string, string>> | undefined> {
  const { active, configuration } = context;
  const { digest } = charge.caller;
  checkDigest(digest, configuration);
  const controller = new AbortController();
  charge.exchange.openRequest.onAbandoned(() => controller.abort());
  let withdrawalError: Error | undefined;
  const waitingCharge: ActiveRequest = {
    digest,
    stop(error) {
      withdrawalError = error;
      controller.abort();
    },
  };
  active.add(waitingCharge);
  try {
    const headers = await chargeUntilAborted(context, {
      ...charge,
      signal: controller.signal,
    });
    if (withdrawalError !== undefined) throw withdrawalError;
    if (headers !== undefined) checkDigest(digest, configuration);
    return headers;
  } finally {
    active.remove(waitingCharge);
  }
}

async function chargeUntilAborted(
  context: CallerContext,
  options: CallerCharge & { readonly signal: AbortSignal },
): Promise<Readonly<Record<string, string>> | undefined> {
  const { exchange, caller, costTokens, signal } = options;
  const { requestId, response } = exchange;
  const { headers, refusal, isCallerGone } = await chargeRequest(
    context,
    {
      team: caller.team.team,
      costTokens,
      requestId,
      deadlineElapsedMs: exchange.receivedAtMs + context.limits.queueWaitMs,
      signal,
    },
  );
  if (isCallerGone) {
    if (exchange.openRequest.isAbandoned) recordAbandoned(context, exchange);
    return undefined;
  }
  if (refusal === undefined) return headers;
  context.metrics.increment("requests.refused", { reason: "charge" });
  writeRefusal(response, { caught: refusal, requestId, headers });
  return undefined;
}
