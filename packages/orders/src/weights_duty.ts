/**
 * The duty to bring engines to newly named weights. One daemon holds it at a
 * time, under an epoch that the store's log gave it.
 *
 * @module
 */

import type { BackendServerId, ModelName, VmId } from "@endivebend/types";

/** What claiming the duty came to. */
export type LeaseClaimResult =
  | {
    readonly kind: "held";
    readonly epoch: number;
    /** Undefined when nobody held the duty before. */
    readonly previousHolder: VmId | undefined;
  }
  | { readonly kind: "taken"; readonly holder: VmId; readonly epoch: number };

/** The record of holders in the store. */
export interface RolloutLeaseLog {
  /** Claims the duty after whoever holds it now. */
  claim(holder: VmId): Promise<LeaseClaimResult>;
  /** Whether nobody has claimed the duty since the epoch. */
  confirm(epoch: number): Promise<boolean>;
}

/** What an engine says of itself. */
export interface EngineReport {
  readonly weights: ReadonlyMap<ModelName, number>;
  /** Whether an order is in progress. */
  readonly isBusy: boolean;
  /** Orders accepted since the engine started. */
  readonly acceptedOrders: number;
}

/** An engine's answer to an order; `unknown` when none came. */
export type OrderAnswer =
  | "accepted"
  | "already_holds"
  | "conflict"
  | "fenced"
  | "misdirected"
  | "refused"
  | "unknown";

/** Speaks to engines. */
export interface RolloutOrderClient {
  report(engine: RolloutEngine): Promise<EngineReport | undefined>;
  order(engine: RolloutEngine, order: WeightsOrder): Promise<OrderAnswer>;
}

/** An order to take new weights once the running requests have ended. */
export interface WeightsOrder {
  readonly model: ModelName;
  readonly weights: number;
  readonly epoch: number;
  readonly holder: VmId;
  /** The order counts only if the engine accepted just so many before. */
  readonly acceptedOrders: number;
}

/** An engine that may need an order. */
export interface RolloutEngine {
  readonly id: BackendServerId;
  readonly address: string;
  readonly model: ModelName;
  readonly weights: number;
  /** The newest weights that the operator has named. */
  readonly namedWeights: number;
  /** Requests that have to end before the engine takes new weights. */
  readonly running: number;
}

/**
 * Share of a model's engines that may have an order in progress. Most of that
 * time they wait for runs to end, up to 6 s, and only the short rest loads.
 */
const MAX_IN_PROGRESS_SHARE = 1 / 3;
const MIN_IN_PROGRESS_LIMIT = 2;

/**
 * Engines to order next: those behind, the least busy first. The others serve
 * meanwhile.
 *
 * @example
 * ```ts
 * const next = planWeightsOrders(engines, new Set(inProgress));
 * ```
 */
export function planRolloutOrders(
  engines: readonly RolloutEngine[],
  inProgress: ReadonlySet<BackendServerId>,
): RolloutEngine[] {
  const maxInProgress = Math.max(
    MIN_IN_PROGRESS_LIMIT,
    Math.floor(engines.length * MAX_IN_PROGRESS_SHARE),
  );
  return engines
    .filter(({ id, weights, namedWeights }) =>
      weights < namedWeights && !inProgress.has(id)
    )
    .sort((a, b) => a.running - b.running)
    .slice(0, Math.max(0, maxInProgress - inProgress.size));
}

/** What a daemon knows when it considers claiming the duty. */
export interface LeaseClaimInput {
  readonly self: VmId;
  /** Whether this daemon reaches the store. */
  readonly reachesStore: boolean;
  /** Daemons in reach that reach the store, this one left out. */
  readonly candidates: readonly VmId[];
  /** Whether one of them, or this daemon, holds the duty. */
  readonly hasHolder: boolean;
  /** How long there has been no holder. */
  readonly vacantForMs: number;
  /** Daemons in the order in which they should take the duty. */
  readonly rank: (members: readonly VmId[]) => readonly VmId[];
}

/** A holder that pauses for collection of garbage is no reason to replace it. */
const VACANCY_TIMEOUT_MS = 600;
/** The next candidate waits for the one before it. */
const RANK_DELAY_MS = 400;

/**
 * Whether this daemon should claim the duty now.
 *
 * @example
 * ```ts
 * if (shouldClaim({ self, candidates, ...rest })) await log.claim(self);
 * ```
 */
export function shouldClaimLease(input: LeaseClaimInput): boolean {
  if (!input.reachesStore || input.hasHolder) return false;
  const rankedDaemons = input.rank([...input.candidates, input.self]);
  const ownRank = rankedDaemons.indexOf(input.self);
  return input.vacantForMs >= VACANCY_TIMEOUT_MS + ownRank * RANK_DELAY_MS;
}
