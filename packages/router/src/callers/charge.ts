/**
 * Charges a request and gives the rate-limit headers of its answer.
 *
 * @module
 */

import { fail } from "@endivebend/errors";
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
}

function rateHeaders(result: ChargeResult): Record<string, string> {
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
  input: ChargeInput,
): Promise<ChargeResult> {
  const { charger, clock, scheduler } = context;
  while (true) {
    const result = await charger.charge(input);
    const leftMs = input.deadlineElapsedMs - clock.elapsedMs();
    if (result.code !== "not_ready" || leftMs < HOLDER_POLL_MS) return result;
    await new Promise<void>((resolve) => {
      scheduler.after(HOLDER_POLL_MS, resolve);
    });
  }
}

/** Charges; never throws for a refusal, which comes back with its headers. */
export async function chargeRequest(
  context: ChargeContext,
  input: ChargeInput,
): Promise<ChargeOutcome> {
  const result = await chargeWhenReady(context, input);
  const headers = rateHeaders(result);
  if (result.granted) return { headers, refusal: undefined };
  const code = result.code ?? "rate_limited";
  const retryAfterMs = result.retryAfterMs ??
    (code === "not_ready" ? NOT_READY_RETRY_MS : undefined);
  const hint = retryAfterMs === undefined ? {} : { retryAfterMs };
  return { headers, refusal: fail(code, CHARGE_MESSAGES[code], hint) };
}
