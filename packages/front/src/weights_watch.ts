/**
 * Shows what this daemon believes of engines' weights, and what corrected it.
 *
 * @module
 */

import {
  type NamedWeightsRegistry,
  type ServerRegistry,
  summarizeWeights,
  type WeightsChange,
} from "@endivebend/request-path";
import type { RateLimitedLog, TextMetrics } from "@endivebend/telemetry";
import type { ModelName } from "@endivebend/types";

/** What a `WeightsWatch` reads and writes. */
export interface WeightsWatchOptions {
  readonly registry: () => ServerRegistry;
  readonly named: NamedWeightsRegistry;
  readonly log: Pick<RateLimitedLog, "decision">;
  readonly metrics: Pick<TextMetrics, "count" | "gauge">;
  nowMs(): number;
}

/** Metrics and log lines of the believed weights. */
export class WeightsWatch {
  readonly #options: WeightsWatchOptions;

  constructor(options: WeightsWatchOptions) {
    this.#options = options;
    const { metrics } = options;
    metrics.gauge("engines_behind", () => this.summary().enginesBehind);
    metrics.gauge("oldest_weights_ms", () => this.summary().oldestWeightsMs);
  }

  /** Counts a changed belief, and logs it unless it is the ordinary news. */
  note(change: WeightsChange): void {
    const { log, metrics } = this.#options;
    const { by, before, after } = change;
    const direction = isNewer(after, before) ? "newer" : "older";
    metrics.count("weights_beliefs", { by, direction });
    // Each daemon hears of each load from entries and peers.
    const isNews = by === "entry" || by === "peer";
    if (isNews && direction === "newer") return;
    log.decision("weights_corrected", { ...change, direction });
  }

  /** Over all models, with the engines that this daemon may use. */
  summary(): {
    readonly enginesBehind: number;
    readonly oldestWeightsMs: number;
  } {
    const { registry, named, nowMs } = this.#options;
    const servers = [...registry().all()].filter((server) =>
      server.removedAtMs === undefined && !registry().isLeaving(server)
    );
    const models = new Set<ModelName>(
      servers.flatMap(({ listed }) => [...listed.weights.keys()]),
    );
    let enginesBehind = 0;
    let oldestWeightsMs = 0;
    for (const model of models) {
      const belief = summarizeWeights(servers, model, {
        named: named.history(model),
        nowMs: nowMs(),
      });
      enginesBehind += belief.enginesBehind;
      oldestWeightsMs = Math.max(oldestWeightsMs, belief.oldestReplacedMs);
    }
    return { enginesBehind, oldestWeightsMs };
  }
}

function isNewer(after: number | undefined, before: number | undefined) {
  return (after ?? 0) > (before ?? 0);
}
