/**
 * Which weights a server has, from three sources: its entry in the list, what
 * it said in a report or an answer, and what its refusals show.
 *
 * @module
 */

import type { ModelName } from "@endivebend/types";
import { firstNewer, type WeightsHistory } from "./named_weights.ts";
import type { WeightsVersion } from "./types.ts";

/**
 * What an entry of the server does not confirm lapses after this time. Servers
 * report every 1,200 ms, and daemons read a report within some 2,000 ms.
 */
const MAX_UNCONFIRMED_MS = 5_000;

/** A refusal of a request because the server has other weights. */
export interface WeightsRefusal {
  /** The weights that the request expected when it was sent. */
  readonly expected: WeightsVersion;
  /** The versions that the operator has named. */
  readonly named: WeightsHistory;
  readonly nowMs: number;
}

/** What an entry changed of the weights to expect. */
export interface WeightsUpdate {
  readonly model: ModelName;
  readonly before: WeightsVersion | undefined;
  readonly after: WeightsVersion | undefined;
  /** Whether something learned earlier lapsed, as no entry confirmed it. */
  readonly isLapse: boolean;
}

interface LearnedWeights {
  readonly weights: WeightsVersion;
  readonly learnedAtMs: number;
}

/** The weights of one server's process, by model. */
export class ServerWeights {
  #listed: ReadonlyMap<ModelName, WeightsVersion>;
  /** What the server has said of itself after its entry. */
  readonly #reported = new Map<ModelName, LearnedWeights>();
  /** Lower bounds that follow from refusals. */
  readonly #presumed = new Map<ModelName, LearnedWeights>();

  constructor(listed: ReadonlyMap<ModelName, WeightsVersion>) {
    this.#listed = listed;
  }

  /** The weights to expect of the server. */
  of(model: ModelName): WeightsVersion | undefined {
    return newest(this.confirmedOf(model), this.#presumed.get(model)?.weights);
  }

  /** The weights that the server itself has stated. */
  confirmedOf(model: ModelName): WeightsVersion | undefined {
    return newest(
      this.#listed.get(model),
      this.#reported.get(model)?.weights,
    );
  }

  /**
   * Takes a newer entry; what no entry has confirmed for long lapses. Returns
   * what that changed.
   */
  list(
    listed: ReadonlyMap<ModelName, WeightsVersion>,
    nowMs: number,
  ): WeightsUpdate[] {
    const models = new Set([...this.#listed.keys(), ...listed.keys()]);
    const earlier = [...models].map((model) =>
      [model, this.of(model)] as const
    );
    const lapsed = new Set<ModelName>();
    this.#listed = listed;
    for (const learned of [this.#reported, this.#presumed]) {
      for (const [model, { learnedAtMs }] of learned) {
        if (nowMs - learnedAtMs <= MAX_UNCONFIRMED_MS) continue;
        learned.delete(model);
        lapsed.add(model);
      }
    }
    return earlier.flatMap(([model, before]) => {
      const after = this.of(model);
      if (after === before) return [];
      return [{ model, before, after, isLapse: lapsed.has(model) }];
    });
  }

  /** Records weights that the server states in an answer to this daemon. */
  state(model: ModelName, weights: WeightsVersion, nowMs: number): void {
    this.#presumed.delete(model);
    this.#reported.set(model, { weights, learnedAtMs: nowMs });
  }

  /**
   * Records weights that the server has stated to a daemon, which tells so for
   * some seconds. They may be older than what is known.
   */
  report(model: ModelName, weights: WeightsVersion, nowMs: number): void {
    const reported = this.#reported.get(model)?.weights;
    if (reported !== undefined && reported > weights) return;
    // Only news ends a presumption.
    if (reported !== weights) this.#presumed.delete(model);
    this.#reported.set(model, { weights, learnedAtMs: nowMs });
  }

  /**
   * Records a refusal. Weights only rise, so the server has at least the
   * version that was named next after the expected one; which one it has, it
   * does not say. Returns false when there is no such version: then what was
   * expected of the server is wrong.
   */
  refuse(model: ModelName, refusal: WeightsRefusal): boolean {
    const { expected, named, nowMs } = refusal;
    const believed = this.of(model);
    // The request asked for newer weights than the server was believed to have.
    if (believed !== undefined && expected > believed) return true;
    const next = firstNewer(named, expected)?.weights;
    if (next === undefined) {
      this.#reported.delete(model);
      this.#presumed.delete(model);
      return false;
    }
    if (believed === undefined || believed < next) {
      this.#presumed.set(model, { weights: next, learnedAtMs: nowMs });
    }
    return true;
  }
}

function newest(
  one: WeightsVersion | undefined,
  other: WeightsVersion | undefined,
): WeightsVersion | undefined {
  if (one === undefined || other === undefined) return one ?? other;
  return one > other ? one : other;
}
