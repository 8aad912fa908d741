/**
 * Chooses a backend server for a request, by the lowest expected cost. Prompts
 * that share long segments go to the same engine, until its queue takes longer
 * than prefilling the segments elsewhere. Requests to a plain service go to the
 * server with the shortest queue.
 *
 * @module
 */

import { rendezvousWeight } from "@endivebend/routing";
import type { BackendServerId } from "@endivebend/types";
import { assignPools, poolOf, type PromptPool } from "./prompt_pools.ts";

/** The properties of a request that the choice depends on. */
export interface ChoiceRequest {
  /** Tokens of the whole prompt; undefined for a plain service. */
  readonly promptTokens: number | undefined;
  /** Prompt tokens in segments that other requests share. */
  readonly sharedTokens: number;
  /** Shared tokens that an engine can fetch instead of prefilling them. */
  readonly fetchableTokens: number;
  /** Requests with the same key prefer the same server. */
  readonly affinityKey: string;
  /** The failure domain of this daemon. */
  readonly failureDomain: string;
  /** Whether long and short prompts use separate pools of engines. */
  readonly usesPools: boolean;
}

/** The state of one server at the time of the choice. */
export interface Candidate {
  readonly id: BackendServerId;
  readonly failureDomain: string;
  /** Requests that all daemons together have at the server. */
  readonly running: number;
  readonly slots: number;
  /** Prompt tokens to prefill before a new request. */
  readonly prefillTokens: number;
  /** Tokens of the prompt's shared segments expected in its prefix cache. */
  readonly cachedTokens: number;
  /** Share of recent requests that failed, 0 to 1. */
  readonly failureRate: number;
  /** Whether the server is avoided after its latest failures. */
  readonly isAvoided: boolean;
  /** Whether it is loading weights and refuses requests not yet started. */
  readonly isLoading: boolean;
  /** Extra cost of weights older than the named ones, in milliseconds. */
  readonly staleWeightsCostMs: number;
  /**
   * How scarce further requests to servers with a limit are, from 0, when this
   * daemon may send one to each, to 1; 0 for a server without a limit.
   */
  readonly scarcity: number;
  /** Cost of its failure domain in the balance between domains. */
  readonly balanceMs?: number;
}

/** The chosen server with its score, for the log. */
export interface Choice {
  readonly id: BackendServerId;
  readonly scoreMs: number;
  /** Time that the prompts queued at the server take. */
  readonly waitMs: number;
  readonly cachedTokens: number;
  /** Part of the score for its failure domain; absent where there is none. */
  readonly balanceMs?: number;
  readonly candidateCount: number;
}

/** Told of the expected cost of each candidate. */
export type ScoreListener = (candidate: Candidate, scoreMs: number) => void;

/** Prompt tokens an engine prefills per ms, from the users' data sheets. */
export const PREFILL_TOKENS_PER_MS = 38.4;
/** Weight of engine time taken from others, as in the product's routing. */
const ENGINE_TIME_WEIGHT = 2;
/** Fetching takes about 10 ms, and space in the engine's prefix cache. */
const FETCH_COST_MS = 30;
/**
 * Share of the shared tokens that the owner, the first engine in rendezvous
 * order, is presumed to have cached, as other daemons send the same segments
 * there.
 */
const PRESUMED_CACHED_SHARE = 0.8;
/** A running request slows each step of the others by 0.0138 ms of 4.73 ms. */
const RUNNING_COST_MS = 0.5;
/** Mean service time of a plain request, from the users' data sheets. */
const PLAIN_CALL_MS = 86;
/** A round trip to another failure domain takes about 2 ms. */
const OTHER_DOMAIN_MS = 3;
/** A server that fails every request costs the silence timeout and a retry. */
const FAILURE_COST_MS = 1_500;
/** An engine loads new weights in 390 ms once its requests have ended. */
const LOADING_COST_MS = 1_000;
/** Below the 490 ms that prefilling a long prompt's shared segments costs. */
const OTHER_POOL_COST_MS = 400;
/**
 * Cost of the last request that servers with a limit take, for a short prompt:
 * a long one moves more work away from the servers without a limit. An urgent
 * prompt is shed when it would wait for as long.
 */
const SCARCITY_COST_MS = 1_500;
/** High enough that avoided servers are used only when no other is left. */
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
  { scored }: { readonly scored?: ScoreListener | undefined } = {},
): Choice | undefined {
  const pools = request.usesPools
    ? assignPools(candidates.map(({ id }) => id))
    : new Map<BackendServerId, PromptPool>();
  const ownPool = poolOf(request.promptTokens ?? 0);
  const isOutsidePool = ({ id }: Candidate) =>
    (pools.get(id) ?? ownPool) !== ownPool;
  const inPool = candidates.filter((candidate) => !isOutsidePool(candidate));
  const usable = inPool.filter(({ isAvoided }) => !isAvoided);
  // While the owner is dark, the next in order owns its segments; otherwise each
  // daemon would have them prefilled wherever it finds a short queue.
  const owner = ownerOf(
    request.affinityKey,
    usable.length > 0 ? usable : inPool,
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
    const limitedMs = ownPool === "short"
      ? candidate.scarcity * SCARCITY_COST_MS
      : 0;
    const balanceMs = candidate.balanceMs ?? 0;
    const scoreMs = request.promptTokens === undefined
      ? plainScoreMs(request, candidate) + balanceMs
      : modelScoreMs(request, { candidate, cachedTokens }) + poolMs +
        limitedMs + balanceMs;
    scored?.(candidate, scoreMs);
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
      ...(balanceMs > 0 ? { balanceMs } : {}),
      candidateCount: candidates.length,
    };
  }
  return best;
}

/** The owner of the key: all daemons agree on it, whatever its load. */
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
