/**
 * Charges a request to its team's limits and builds the rate-limit headers of
 * the answer.
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
  rate_limited: "The team has used up its token rate and burst",
  cost_exceeds_burst: "The request costs more tokens than the team's burst",
  not_ready: "This VM does not know the holder of the team's limits yet",
} as const;

const NOT_READY_RETRY_MS = 1000;
/** Time between tries of a charge while the holder is unknown. */
const HOLDER_POLL_MS = 50;

/** Result of a charge. */
export interface ChargeOutcome {
  /** Rate-limit headers of the answer. */
  readonly headers: Readonly<Record<string, string>>;
  /** Undefined when the charge was granted. */
  readonly refusal: Error | undefined;
  /** The caller disconnected while the charge was waiting. */
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

/** Dependencies of {@link chargeRequest}. */
export interface ChargeContext {
  readonly charger: Charger;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
}

/**
 * Charges, and retries while the holder of the team's limits is unknown. A
 * daemon that has just started learns the holders shortly afterwards, so the
 * request waits instead of being refused.
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
 * Charges a request. Returns a refusal together with its headers instead of
 * throwing it. Stops waiting when the signal is aborted.
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
