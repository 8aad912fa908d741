/**
 * Chooses a backend server for a call. Answers two loads: many prompts that
 * share long parts, which belong together until their engine queues for longer
 * than reading the parts again takes; and short calls to a plain service with
 * few places, which go to the server with the shortest line.
 *
 * @module
 */

import { rendezvousWeight } from "@endivebend/routing";
import type { BackendServerId } from "@endivebend/types";
import { assignPools, poolOf, type PromptPool } from "./prompt_pools.ts";

/** What the choice needs to know of a call. */
export interface ChoiceRequest {
  /** Tokens of the whole prompt; undefined for a call of a plain service. */
  readonly promptTokens: number | undefined;
  /** Tokens that other requests share. */
  readonly sharedTokens: number;
  /** Shared tokens that an engine can fetch instead of reading them again. */
  readonly fetchableTokens: number;
  /** Calls with the same key belong at the same server. */
  readonly affinityKey: string;
  /** Where this daemon runs. */
  readonly failureDomain: string;
  /** Whether long prompts must be kept apart from short ones. */
  readonly usesPools: boolean;
}

/** What is known of one server at the time of the choice. */
export interface Candidate {
  readonly id: BackendServerId;
  readonly failureDomain: string;
  /** Requests of all daemons that are there. */
  readonly running: number;
  readonly slots: number;
  /** Prompt tokens that lie ahead. */
  readonly prefillTokens: number;
  /** Tokens of the prompt's shared parts known to be in its memory. */
  readonly cachedTokens: number;
  /** Share of recent calls that failed, 0 to 1. */
  readonly failureRate: number;
  /** Whether the last calls failed. */
  readonly isAvoided: boolean;
  /** Whether it is taking new weights and refuses what has not started. */
  readonly isLoading: boolean;
  /** Extra cost of weights older than named, in milliseconds. */
  readonly staleWeightsCostMs: number;
}

/** The chosen server with its score, for the log. */
export interface Choice {
  readonly id: BackendServerId;
  readonly scoreMs: number;
  /** Time that the prompts ahead of it take at the server. */
  readonly waitMs: number;
  readonly cachedTokens: number;
  readonly candidateCount: number;
}

/** Prompt tokens that an engine reads in a millisecond, from the users' sheets. */
export const PREFILL_TOKENS_PER_MS = 38.4;
/** Weight of the engine time taken from others, as in the product's routing. */
const ENGINE_TIME_WEIGHT = 2;
/** Fetching takes some 10 ms and memory from what the engine keeps. */
const FETCH_COST_MS = 30;
/**
 * Share of the shared parts that the first engine in rendezvous order is
 * presumed to hold, as the other daemons send the same parts there.
 */
const PRESUMED_CACHED_SHARE = 0.8;
/** A running request slows each step of the others by 0.0138 ms of 4.73 ms. */
const RUNNING_COST_MS = 0.5;
/** Mean service time of a plain call, from the users' sheets. */
const PLAIN_CALL_MS = 86;
/** A hop to another failure domain and back costs some 2 ms. */
const OTHER_DOMAIN_MS = 3;
/** A server that fails every call costs a repetition and its silence. */
const FAILURE_COST_MS = 1_500;
/** An engine takes new weights in 390 ms once its runs have ended. */
const LOADING_COST_MS = 1_000;
/** Less than reading a long prompt's shared parts costs, 490 ms. */
const OTHER_POOL_COST_MS = 400;
/** Avoided servers are used when no other is left. */
const AVOIDED_COST_MS = 100_000;

/**
 * Picks the candidate with the lowest expected cost; undefined when there is
 * none.
 *
 * @example
 * ```ts
 * const choice = chooseServer(request, candidates);
 * ```
 */
export function chooseServer(
  request: ChoiceRequest,
  candidates: readonly Candidate[],
): Choice | undefined {
  const pools = request.usesPools
    ? assignPools(candidates.map(({ id }) => id))
    : new Map<BackendServerId, PromptPool>();
  const ownPool = poolOf(request.promptTokens ?? 0);
  const isOutsidePool = ({ id }: Candidate) =>
    (pools.get(id) ?? ownPool) !== ownPool;
  const owner = ownerOf(
    request.affinityKey,
    candidates.filter((candidate) => !isOutsidePool(candidate)),
  );
  let best: Choice | undefined;
  let bestWeight = -1;
  for (const candidate of candidates) {
    const cachedTokens = candidate.id === owner
      ? Math.max(
        candidate.cachedTokens,
        request.sharedTokens * PRESUMED_CACHED_SHARE,
      )
      : candidate.cachedTokens;
    const poolMs = isOutsidePool(candidate) ? OTHER_POOL_COST_MS : 0;
    const scoreMs = request.promptTokens === undefined
      ? plainScoreMs(request, candidate)
      : modelScoreMs(request, { candidate, cachedTokens }) + poolMs;
    const weight = rendezvousWeight(request.affinityKey, candidate.id);
    const isBetter = best === undefined || scoreMs < best.scoreMs ||
      (scoreMs === best.scoreMs && weight > bestWeight);
    if (!isBetter) continue;
    bestWeight = weight;
    best = {
      id: candidate.id,
      scoreMs,
      waitMs: candidate.prefillTokens / PREFILL_TOKENS_PER_MS,
      cachedTokens,
      candidateCount: candidates.length,
    };
  }
  return best;
}

/** The server that all daemons prefer for the key, whatever its load. */
function ownerOf(
  key: string,
  candidates: readonly { readonly id: BackendServerId }[],
): BackendServerId | undefined {
  let owner: BackendServerId | undefined;
  let ownerWeight = -1;
  for (const { id } of candidates) {
    const weight = rendezvousWeight(key, id);
    if (weight <= ownerWeight) continue;
    ownerWeight = weight;
    owner = id;
  }
  return owner;
}

function modelScoreMs(
  request: ChoiceRequest,
  option: { readonly candidate: Candidate; readonly cachedTokens: number },
): number {
  const { candidate, cachedTokens } = option;
  const fetchedTokens = Math.max(0, request.fetchableTokens - cachedTokens);
  const fetchMs = fetchedTokens > 0 ? FETCH_COST_MS : 0;
  const availableTokens = cachedTokens + fetchedTokens;
  const uncachedTokens = Math.max(
    0,
    (request.promptTokens ?? 0) - availableTokens,
  );
  const prefillMs = uncachedTokens / PREFILL_TOKENS_PER_MS;
  const waitMs = candidate.prefillTokens / PREFILL_TOKENS_PER_MS;
  const excessRequests = Math.max(0, candidate.running + 1 - candidate.slots);
  return waitMs + prefillMs * (1 + ENGINE_TIME_WEIGHT) + fetchMs +
    candidate.running * RUNNING_COST_MS + excessRequests * PLAIN_CALL_MS +
    penaltyMs(candidate);
}

function plainScoreMs(request: ChoiceRequest, candidate: Candidate): number {
  const slots = Math.max(1, candidate.slots);
  const excessRequests = Math.max(0, candidate.running + 1 - slots);
  const domainMs = candidate.failureDomain === request.failureDomain
    ? 0
    : OTHER_DOMAIN_MS;
  return excessRequests * PLAIN_CALL_MS / slots + candidate.running * 2 +
    domainMs +
    penaltyMs(candidate);
}

function penaltyMs(candidate: Candidate): number {
  return candidate.failureRate * FAILURE_COST_MS +
    (candidate.isAvoided ? AVOIDED_COST_MS : 0) +
    (candidate.isLoading ? LOADING_COST_MS : 0) + candidate.staleWeightsCostMs;
}
