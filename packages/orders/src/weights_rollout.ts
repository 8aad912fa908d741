/**
 * Decisions of the weights rollout, which brings engines to the newest weights
 * that the operator has named. The holder of the rollout lease carries them out.
 *
 * @module
 */

import type { BackendServerId, ModelName, VmId } from "@endivebend/types";

/** State that an engine reports. */
export interface EngineReport {
  /** Weights version of each model that the engine serves. */
  readonly weights: ReadonlyMap<ModelName, number>;
  /** Whether an order is in progress. */
  readonly isBusy: boolean;
  /** Orders accepted since the engine started. */
  readonly acceptedOrders: number;
  /** When it started, in Unix milliseconds; undefined when it does not say. */
  readonly startedAtMs: number | undefined;
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

/** Reads the state of engines and sends them orders. */
export interface RolloutOrderClient {
  report(
    engine: Pick<RolloutEngine, "id" | "address">,
  ): Promise<EngineReport | undefined>;
  order(engine: RolloutEngine, order: WeightsOrder): Promise<OrderAnswer>;
}

/** An order to load new weights once the running requests have ended. */
export interface WeightsOrder {
  readonly model: ModelName;
  readonly weights: number;
  readonly epoch: number;
  readonly holder: VmId;
  /**
   * Number of orders that the engine must have accepted before; with any other
   * number it rejects this one.
   */
  readonly acceptedOrders: number;
  /**
   * Whether the lease still permits the order. Checked again when the order's
   * connection is ready, as the process may have been paused meanwhile.
   */
  readonly maySend: () => boolean;
}

/** An engine of a model whose weights are rolled out. */
export interface RolloutEngine {
  readonly id: BackendServerId;
  readonly address: string;
  readonly model: ModelName;
  readonly weights: number;
  /** The newest weights that the operator has named. */
  readonly namedWeights: number;
  /**
   * When requests may no longer begin on the engine's weights, in milliseconds
   * on the steady clock; undefined while they have not been replaced.
   */
  readonly weightsDeadlineMs: number | undefined;
  /** Running requests, which have to end before the engine loads weights. */
  readonly running: number;
}

/**
 * Share of a model's engines that may have an order in progress. For most of
 * that time, up to 6 s, an engine waits for its running requests to end; the
 * load itself is short.
 */
const MAX_IN_PROGRESS_SHARE = 1 / 3;
const MIN_IN_PROGRESS_LIMIT = 2;

/**
 * Time before the deadline at which an engine no longer waits for others to
 * load: enough for two attempts, 400 ms apart, to read its state and order it.
 */
const LAST_ORDER_LEAD_MS = 700;

/** Share of the engines that are asked at once though they were silent. */
const MAX_SILENT_SHARE = 1 / 8;

/** What a plan of orders depends on besides the engines. */
export interface RolloutPlanContext {
  /** Engines that get no order yet, as their latest one failed. */
  readonly postponed: ReadonlySet<BackendServerId>;
  /** Engines that did not answer, or refused, the latest order or report. */
  readonly silent: ReadonlySet<BackendServerId>;
  /** On the steady clock. */
  readonly nowMs: number;
}

/** Used where nothing is known yet of earlier orders. */
const UNKNOWN_CONTEXT: RolloutPlanContext = {
  postponed: new Set(),
  silent: new Set(),
  nowMs: -Infinity,
};

/**
 * Engines to send an order next: those with older weights, the least busy
 * first. The others serve meanwhile. Engines don't wait for others once the
 * deadline of their weights is near: after an order is accepted, the requests
 * that are queued there can't begin on older weights. Engines that were silent
 * are asked besides them, a few at a time.
 *
 * @example
 * ```ts
 * const next = planRolloutOrders(engines, new Set(inProgress), context);
 * ```
 */
export function planRolloutOrders(
  engines: readonly RolloutEngine[],
  inProgress: ReadonlySet<BackendServerId>,
  { postponed, silent, nowMs }: RolloutPlanContext = UNKNOWN_CONTEXT,
): RolloutEngine[] {
  const answering = engines.filter(({ id }) => !silent.has(id));
  const maxInProgress = Math.max(
    MIN_IN_PROGRESS_LIMIT,
    Math.floor(answering.length * MAX_IN_PROGRESS_SHARE),
  );
  const maxSilent = Math.ceil(engines.length * MAX_SILENT_SHARE);
  const waitingOf = (group: readonly RolloutEngine[]) =>
    group
      .filter(({ id, weights, namedWeights }) =>
        weights < namedWeights && !inProgress.has(id) && !postponed.has(id)
      )
      .sort((a, b) => a.running - b.running);
  const freeOf = (group: readonly RolloutEngine[], limit: number) =>
    limit - group.filter(({ id }) => inProgress.has(id)).length;
  const free = freeOf(answering, maxInProgress);
  const silentEngines = engines.filter(({ id }) => silent.has(id));
  const freeSilent = freeOf(silentEngines, maxSilent);
  return [
    ...waitingOf(answering).filter(({ weightsDeadlineMs = Infinity }, index) =>
      index < free || nowMs >= weightsDeadlineMs - LAST_ORDER_LEAD_MS
    ),
    ...waitingOf(silentEngines).slice(0, Math.max(0, freeSilent)),
  ];
}
