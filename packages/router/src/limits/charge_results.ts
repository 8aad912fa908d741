/**
 * Converts the outcome of a charge at the holder into a charge result.
 *
 * @module
 */

import { levelTokens } from "@endivebend/limits";
import type { ChargeResult } from "../ports.ts";
import type { LocalOutcome, TeamEntry } from "./local_holder.ts";

/** Maximum of the peer protocol's 32-bit field. */
const MAX_RESET_MS = 0xffffffff;

/**
 * Returns the outcome with the values of the rate-limit headers, or undefined
 * when this VM no longer holds the team's group.
 */
export function toChargeResult(
  entry: TeamEntry,
  outcome: LocalOutcome,
): ChargeResult | undefined {
  if (outcome.kind === "not_holder") return undefined;
  const { limit, share } = entry.state.terms;
  const remainingTokens = levelTokens(entry.state);
  const missingTokens = Math.max(0, share.capacityTokens - remainingTokens);
  const resetMs = share.rateMilli === 0
    ? 0
    : Math.ceil(missingTokens * 1_000_000 / share.rateMilli);
  const rateLimitFields = {
    limitTokens: limit.capacityTokens,
    remainingTokens,
    resetMs: Math.min(resetMs, MAX_RESET_MS),
  };
  if (outcome.kind === "granted") return { granted: true, ...rateLimitFields };
  const { code, retryAfterMs } = outcome;
  return { granted: false, code, retryAfterMs, ...rateLimitFields };
}
