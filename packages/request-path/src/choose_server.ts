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
import { PLAIN_CALL_MS, PREFILL_TOKENS_PER_MS } from "./server_pace.ts";

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
  /**
   * Set where servers have different paces: requests with different keys then
   * prefer different ones of about the same cost.
   */
  readonly spreadKey?: string | undefined;
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
  /** Its pace at this moment; undefined for the usual one. */
  readonly pace?: CandidatePace;
}

/** What of a server's pace matters to one request. */
export interface CandidatePace {
  /** Prompt tokens that the server reads per millisecond. */
  readonly tokensPerMs: number;
  /** Time of a plain call of the request's route, without a wait. */
  readonly callMs: number;
  /** Requests beyond its places in a slow start, this one included. */
  readonly startingExcess: number;
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
/**
 * Cost of each request beyond the places of a server that has just started: the
 * queues of others are shorter unless prompts there are already late.
 */
const STARTING_COST_MS = 400;
/**
 * Servers that a request chooses among, besides the owner. With all of them, the
 * daemons, which know each other's work by gossip only, all choose the fastest
 * idle server: of 61 (simulated), 76% of the long prompts came late, and with 3
 * servers each 2%. With 2 or 4 they were about as many, with 6 three times more.
 */
const CONSIDERED = 3;
/** High enough that avoided servers are used only when no other is left. */
const AVOIDED_COST_MS = 100_000;

const USUAL_PACE: CandidatePace = {
  tokensPerMs: PREFILL_TOKENS_PER_MS,
  callMs: PLAIN_CALL_MS,
  startingExcess: 0,
};

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
  const preferred = usable.length > 0 ? usable : inPool;
  const owner = ownerOf(request.affinityKey, preferred);
  const considered = request.spreadKey === undefined || preferred.length === 0
    ? candidates
    : sampleOf(request.spreadKey, { preferred, owner });
  let best: Choice | undefined;
  let bestWeight = -1;
  for (const candidate of considered) {
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
      waitMs: candidate.prefillTokens / paceOf(candidate).tokensPerMs,
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
  const { tokensPerMs, callMs } = paceOf(candidate);
  const fetchedTokens = Math.max(0, request.fetchableTokens - cachedTokens);
  const fetchMs = fetchedTokens > 0 ? FETCH_COST_MS : 0;
  const availableTokens = cachedTokens + fetchedTokens;
  const uncachedTokens = Math.max(
    0,
    (request.promptTokens ?? 0) - availableTokens,
  );
  const prefillMs = uncachedTokens / tokensPerMs;
  const waitMs = candidate.prefillTokens / tokensPerMs;
  const excessRequests = Math.max(0, candidate.running + 1 - candidate.slots);
  // Tokens cost others the same on any engine: on a fast one they take less
  // time, but its time is worth more.
  const othersMs = uncachedTokens / PREFILL_TOKENS_PER_MS * ENGINE_TIME_WEIGHT;
  return waitMs + prefillMs + othersMs + fetchMs +
    candidate.running * RUNNING_COST_MS + excessRequests * callMs +
    penaltyMs(candidate);
}

function plainScoreMs(request: ChoiceRequest, candidate: Candidate): number {
  const slots = Math.max(1, candidate.slots);
  const { callMs } = paceOf(candidate);
  const excessRequests = Math.max(0, candidate.running + 1 - slots);
  const domainMs = candidate.failureDomain === request.failureDomain
    ? 0
    : OTHER_DOMAIN_MS;
  return excessRequests * callMs / slots + candidate.running * 2 +
    domainMs + callMs - PLAIN_CALL_MS +
    penaltyMs(candidate);
}

/**
 * The owner and a few others, which differ by request; faster ones are among
 * them more often.
 */
function sampleOf(
  key: string,
  { preferred, owner }: {
    readonly preferred: readonly Candidate[];
    readonly owner: BackendServerId | undefined;
  },
): readonly Candidate[] {
  const loaded = preferred.filter(({ isLoading }) => !isLoading);
  const ready = loaded.length > 0 ? loaded : preferred;
  const domainCostMs = ({ balanceMs = 0 }: Candidate) => balanceMs;
  const leastMs = Math.min(...ready.map(domainCostMs));
  const isNear = (candidate: Candidate) => domainCostMs(candidate) === leastMs;
  // A domain that should be spared is asked, but not instead of the others.
  const sample = [
    ...firstOf(key, ready.filter(isNear)),
    ...firstOf(key, ready.filter((candidate) => !isNear(candidate))),
  ];
  return preferred.filter((candidate) =>
    candidate.id === owner || sample.includes(candidate)
  );
}

function firstOf(key: string, candidates: readonly Candidate[]): Candidate[] {
  return candidates
    .map((candidate) => ({ candidate, order: sampleOrder(key, candidate) }))
    .toSorted((a, b) => a.order - b.order)
    .slice(0, CONSIDERED)
    .map(({ candidate }) => candidate);
}

/** Lower for a faster server, at random: its odds to be first are its speed. */
function sampleOrder(key: string, candidate: Candidate): number {
  const share = (rendezvousWeight(key, candidate.id) + 0.5) / 2 ** 32;
  return -Math.log(share) / paceOf(candidate).tokensPerMs;
}

function paceOf({ pace = USUAL_PACE }: Candidate): CandidatePace {
  return pace;
}

function penaltyMs(candidate: Candidate): number {
  return candidate.failureRate * FAILURE_COST_MS +
    (candidate.isAvoided ? AVOIDED_COST_MS : 0) +
    (candidate.isLoading ? LOADING_COST_MS : 0) + candidate.staleWeightsCostMs +
    paceOf(candidate).startingExcess * STARTING_COST_MS;
}
