/**
 * What one request needs to know of weights: since when those of an engine have
 * been replaced, until when it may begin there, and when newer ones are ready.
 *
 * @module
 */

import { beginByMs, isTooLate } from "./begin_bound.ts";
import type { PlacementContext } from "./placement.ts";
import type { RoutedRequest, WeightsVersion } from "./types.ts";
import { replacedForMs, summarizeWeights } from "./weights_belief.ts";
import type { WeightsProbes } from "./weights_probes.ts";

/** An engine takes 390 ms to load weights. */
const MIN_STALE_RETRY_MS = 400;

/** What a daemon knows of weights. */
export interface WeightsKnowledge
  extends Pick<PlacementContext, "registry" | "namedWeights"> {
  /** Time after naming newer weights when requests may not start on older. */
  readonly weightsBoundMs: number;
  readonly weightsProbes: Pick<WeightsProbes, "nextInMs">;
}

/** The weights that matter to one request. */
export class RequestWeights {
  readonly #known: WeightsKnowledge;
  readonly #request: Pick<RoutedRequest, "work" | "service">;

  constructor(
    known: WeightsKnowledge,
    request: Pick<RoutedRequest, "work" | "service">,
  ) {
    this.#known = known;
    this.#request = request;
  }

  /** For how long the weights have been replaced; undefined when current. */
  replacedMs(
    weights: WeightsVersion | undefined,
    nowMs: number,
  ): number | undefined {
    const model = this.#request.work?.model;
    if (model === undefined || weights === undefined) return undefined;
    const named = this.#known.namedWeights(model);
    const replacedMs = replacedForMs(weights, { named, nowMs });
    return replacedMs && Math.round(replacedMs);
  }

  /**
   * When an attempt at an engine with the weights must have begun, on the steady
   * clock; undefined while they are current.
   */
  beginByMs(weights: WeightsVersion | undefined): number | undefined {
    const model = this.#request.work?.model;
    if (model === undefined || weights === undefined) return undefined;
    const { namedWeights, weightsBoundMs } = this.#known;
    return beginByMs(weights, { named: namedWeights(model), weightsBoundMs });
  }

  /**
   * Whether the attempt may begin too late.
   *
   * @example
   * ```ts
   * if (weights.isTooLate(attempt, nowMs)) attempt.handle?.abort();
   * ```
   */
  isTooLate(
    { expectedWeights, headAtMs }: {
      readonly expectedWeights: WeightsVersion | undefined;
      readonly headAtMs: number | undefined;
    },
    nowMs: number,
  ): boolean {
    const untilMs = this.beginByMs(expectedWeights);
    return isTooLate({ headAtMs }, { beginByMs: untilMs, nowMs });
  }

  /**
   * Time until an engine is expected to have new weights: the first of those
   * that load has, or else a probe may find one.
   */
  renewedInMs(nowMs: number): number {
    const { registry, weightsProbes } = this.#known;
    const loadedInMs = registry.usable(this.#request.service, nowMs)
      .map(({ loadingUntilMs }) => loadingUntilMs - nowMs)
      .filter((inMs) => inMs > 0);
    return Math.max(
      MIN_STALE_RETRY_MS,
      loadedInMs.length > 0
        ? Math.min(...loadedInMs)
        : weightsProbes.nextInMs(nowMs),
    );
  }

  /** What tells engines with old weights from a daemon that is mistaken. */
  summary(nowMs: number): Readonly<Record<string, unknown>> {
    const { work, service } = this.#request;
    if (work === undefined) return {};
    const { registry, namedWeights } = this.#known;
    const servers = registry.usable(service, nowMs);
    const named = namedWeights(work.model);
    return { ...summarizeWeights(servers, work.model, { named, nowMs }) };
  }
}
