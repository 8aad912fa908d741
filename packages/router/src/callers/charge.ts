/**
 * Charges a request and gives the rate-limit headers of its answer.
 *
 * @module
 */

import { createError } from "@endivebend/errors";
import type {
  ChargeInput,
  Charger,
  ChargeResult,
  Clock,
  Scheduler,
} from "../ports.ts";

const CHARGE_MESSAGES = {
  rate_limited: "The team has spent its rate and burst",
  cost_exceeds_burst: "The request costs more than the team's burst",
  not_ready: "The holder of the team's limits is not known here yet",
} as const;

const NOT_READY_RETRY_MS = 1000;
/** How often a charge is tried again while no holder is known. */
const HOLDER_POLL_MS = 50;

/** A refused charge with the headers that its answer carries. */
export interface ChargeOutcome {
  readonly headers: Readonly<Record<string, string>>;
  readonly refusal: Error | undefined;
  /** The caller has left while the charge waited; nobody reads an answer. */
  readonly isCallerGone: boolean;
}

const CALLER_GONE: ChargeOutcome = {
  headers: {},
  refusal: undefined,
  isCallerGone: true,
};

function rateLimitHeaders(result: ChargeResult): Record<string, string> {
  return {
    "x-ratelimit-limit-tokens": String(Math.floor(result.limitTokens)),
    "x-ratelimit-remaining-tokens": String(
      Math.max(0, Math.floor(result.remainingTokens)),
    ),
    "x-ratelimit-reset-tokens": `${Math.ceil(result.resetMs)}ms`,
  };
}

/** What a charge needs of its neighbours. */
export interface ChargeContext {
  readonly charger: Charger;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
}

/**
 * A daemon that has just started learns of the holders within a moment, so the
 * request waits for that instead of being refused.
 */
async function chargeWhenReady(
  context: ChargeContext,
  input: ChargeInput & { readonly signal: AbortSignal },
): Promise<ChargeResult> {
  const { charger, clock, scheduler } = context;
  while (true) {
    const result = await charger.charge(input);
    const remainingMs = input.deadlineElapsedMs - clock.elapsedMs();
    const shouldStop = remainingMs < HOLDER_POLL_MS || input.signal.aborted;
    if (result.code !== "not_ready" || shouldStop) return result;
    await new Promise<void>((resolve) => {
      scheduler.after(HOLDER_POLL_MS, resolve);
    });
  }
}

function whenAborted(signal: AbortSignal): Promise<undefined> {
  return new Promise((resolve) => {
    signal.addEventListener("abort", () => resolve(undefined), { once: true });
  });
}

/**
 * Charges; never throws for a refusal, which comes back with its headers. A
 * charge that waits ends when the caller leaves.
 */
export async function chargeRequest(
  context: ChargeContext,
  input: ChargeInput & { readonly signal: AbortSignal },
): Promise<ChargeOutcome> {
  const { signal } = input;
  if (signal.aborted) return CALLER_GONE;
  const charging = chargeWhenReady(context, input);
  const result = await Promise.race([charging, whenAborted(signal)]);
  if (result === undefined || signal.aborted) return CALLER_GONE;
  const headers = rateLimitHeaders(result);
  if (result.granted) {
    return { headers, refusal: undefined, isCallerGone: false };
  }
  const code = result.code ?? "rate_limited";
  const retryAfterMs = result.retryAfterMs ??
    (code === "not_ready" ? NOT_READY_RETRY_MS : undefined);
  const retryOptions = retryAfterMs === undefined ? {} : { retryAfterMs };
  const refusal = createError(code, CHARGE_MESSAGES[code], retryOptions);
  return { headers, refusal, isCallerGone: false };
}
