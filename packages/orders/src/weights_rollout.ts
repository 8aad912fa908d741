/**
 * Decisions of the weights rollout, which brings engines to the newest weights
 * that the operator has named. The holder of the rollout lease carries them out.
 *
 * @module
 */

import type {
  BackendServerId,
  FailureDomainId,
  ModelName,
  VmId,
} from "@endivebend/types";
import { maxEnginesOut, weightsDueAtMs } from "./rollout_schedule.ts";

/** State that an engine reports. */
export interface EngineReport {
  /** Weights version of each model that the engine serves. */
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

/** Reads the state of engines and sends them orders. */
export interface RolloutOrderClient {
  report(engine: RolloutEngine): Promise<EngineReport | undefined>;
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
  /** Running requests, which have to end before the engine loads weights. */
  readonly running: number;
  /** Requests that the engine runs at the same time, where it is known. */
  readonly slots?: number | undefined;
  readonly failureDomain?: FailureDomainId | undefined;
  /**
   * When newer weights than the engine's were first named, on the steady clock;
   * undefined when there are none or their age is unknown.
   */
  readonly replacedAtMs?: number | undefined;
}

/** What a plan of orders depends on besides the engines. */
export interface RolloutPlanContext {
  /** On the steady clock. */
  readonly nowMs: number;
  /** Time after naming newer weights when requests may not start on older. */
  readonly weightsBoundMs: number;
  /** How long an engine has been out of service for a load lately. */
  readonly outageMs: number;
  /** Engines that get no order yet, as their latest one failed. */
  readonly postponed: ReadonlySet<BackendServerId>;
  /** Engines that did not answer, or refused, the latest order or report. */
  readonly silent: ReadonlySet<BackendServerId>;
}

/** Used where nothing is known yet of deadlines and of earlier loads. */
const UNKNOWN_CONTEXT: RolloutPlanContext = {
  nowMs: 0,
  weightsBoundMs: Number.POSITIVE_INFINITY,
  outageMs: 1_500,
  postponed: new Set(),
  silent: new Set(),
};

/**
 * Share of the engines that may be ordered at once though they get no requests
 * any more. Loads slow each other down when more than 28 % of them load.
 */
const MAX_OVERDUE_SHARE = 1 / 2;
const MIN_OVERDUE_LIMIT = 2;
/** Share of the engines that are asked at once though they were silent. */
const MAX_SILENT_SHARE = 1 / 8;

/**
 * Engines to send an order next: those whose weights are oldest, the least busy
 * first. The others serve meanwhile.
 *
 * @example
 * ```ts
 * const next = planRolloutOrders(engines, new Set(inProgress), context);
 * ```
 */
export function planRolloutOrders(
  engines: readonly RolloutEngine[],
  inProgress: ReadonlySet<BackendServerId>,
  context: RolloutPlanContext = UNKNOWN_CONTEXT,
): RolloutEngine[] {
  const models = new Set(engines.map(({ model }) => model));
  const planned = new Map<BackendServerId, RolloutEngine>();
  for (const model of models) {
    const ofModel = engines.filter((engine) => engine.model === model);
    const started = new Set([...inProgress, ...planned.keys()]);
    for (const engine of planModelOrders(ofModel, started, context)) {
      planned.set(engine.id, engine);
    }
  }
  return [...planned.values()];
}

function planModelOrders(
  engines: readonly RolloutEngine[],
  inProgress: ReadonlySet<BackendServerId>,
  context: RolloutPlanContext,
): RolloutEngine[] {
  const { postponed, silent } = context;
  const answering = engines.filter(({ id }) => !silent.has(id));
  const hasNewest = answering.some((engine) => !isBehind(engine));
  const overdue = answering.filter((engine) =>
    isOverdue(engine, hasNewest, context)
  );
  const serving = answering.filter((engine) => !overdue.includes(engine));
  const isWaiting = (engine: RolloutEngine) =>
    isBehind(engine) && !inProgress.has(engine.id) && !postponed.has(engine.id);
  const countStarted = (group: readonly RolloutEngine[]) =>
    group.filter(({ id }) => inProgress.has(id)).length;

  const maxOverdue = Math.max(
    MIN_OVERDUE_LIMIT,
    Math.ceil(answering.length * MAX_OVERDUE_SHARE),
  );
  const nextOverdue = overdue.filter(isWaiting).sort(compareUrgency)
    .slice(0, Math.max(0, maxOverdue - countStarted(overdue)));
  const maxSilent = Math.ceil(engines.length * MAX_SILENT_SHARE);
  const silentEngines = engines.filter(({ id }) => silent.has(id));
  const nextSilent = silentEngines.filter(isWaiting).sort(compareUrgency)
    .slice(0, Math.max(0, maxSilent - countStarted(silentEngines)));

  const isAnyStarted = nextOverdue.length > 0 ||
    countStarted(answering) > 0;
  const limit = maxEnginesOut({
    serving: serving.length,
    freeShare: freeShareOf(answering),
    dueAtMs: serving.filter(isBehind).map((engine) => dueAtMs(engine, context)),
    outageMs: context.outageMs,
    nowMs: context.nowMs,
  });
  // A single engine has no other to wait for.
  const maxOut = isAnyStarted ? limit : Math.max(1, limit);
  const nextServing = spreadOverDomains(serving, {
    waiting: serving.filter(isWaiting).sort(compareUrgency),
    inProgress,
    maxOut,
  });
  return [...nextOverdue, ...nextServing, ...nextSilent];
}

function isBehind({ weights, namedWeights }: RolloutEngine): boolean {
  return weights < namedWeights;
}

function dueAtMs(
  { replacedAtMs }: RolloutEngine,
  { weightsBoundMs }: RolloutPlanContext,
): number | undefined {
  return weightsDueAtMs(replacedAtMs, weightsBoundMs);
}

/**
 * Whether an engine gets no requests until it has newer weights. One whose
 * weights were replaced at an unknown time gets some while no other is newer.
 */
function isOverdue(
  engine: RolloutEngine,
  hasNewest: boolean,
  context: RolloutPlanContext,
): boolean {
  if (!isBehind(engine)) return false;
  const atMs = dueAtMs(engine, context);
  return atMs === undefined ? hasNewest : context.nowMs >= atMs;
}

function compareUrgency(a: RolloutEngine, b: RolloutEngine): number {
  return a.weights - b.weights || a.running - b.running;
}

/** Engines that don't tell their slots count as free. */
function freeShareOf(engines: readonly RolloutEngine[]): number {
  const known = engines.filter(({ slots }) => slots !== undefined);
  const slots = known.reduce((sum, engine) => sum + engine.slots!, 0);
  const running = known.reduce((sum, engine) => sum + engine.running, 0);
  return slots === 0 ? 1 : Math.max(0, 1 - running / slots);
}

/**
 * Picks engines in order, of equally old ones those first whose failure domain
 * has the smallest share out of service. One of each domain goes on serving.
 */
function spreadOverDomains(
  serving: readonly RolloutEngine[],
  { waiting, inProgress, maxOut }: {
    readonly waiting: readonly RolloutEngine[];
    readonly inProgress: ReadonlySet<BackendServerId>;
    readonly maxOut: number;
  },
): RolloutEngine[] {
  const sizes = new Map<FailureDomainId | undefined, number>();
  const outs = new Map<FailureDomainId | undefined, number>();
  let out = 0;
  for (const { id, failureDomain } of serving) {
    sizes.set(failureDomain, (sizes.get(failureDomain) ?? 0) + 1);
    if (!inProgress.has(id)) continue;
    outs.set(failureDomain, (outs.get(failureDomain) ?? 0) + 1);
    out++;
  }
  const outOf = ({ failureDomain }: RolloutEngine) =>
    outs.get(failureDomain) ?? 0;
  const sizeOf = ({ failureDomain }: RolloutEngine) =>
    sizes.get(failureDomain) ?? 1;
  const isAllowed = (engine: RolloutEngine) =>
    sizeOf(engine) === 1 || outOf(engine) + 1 < sizeOf(engine);
  const picked: RolloutEngine[] = [];
  while (out + picked.length < maxOut) {
    const oldest = waiting.filter((engine) =>
      !picked.includes(engine) && isAllowed(engine)
    ).filter((engine, _, [first]) => engine.weights === first!.weights);
    const next = oldest.sort((a, b) =>
      outOf(a) / sizeOf(a) - outOf(b) / sizeOf(b) || a.running - b.running
    )[0];
    if (next === undefined) {
      break;
    }
    picked.push(next);
    outs.set(next.failureDomain, outOf(next) + 1);
  }
  return picked;
}
