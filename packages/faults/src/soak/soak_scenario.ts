/**
 * A scenario that is drawn from a seed: faults in series that also overlap,
 * while callers keep using their open connections.
 *
 * @module
 */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { Scenario, ScenarioContext } from "../scenario.ts";
import { planFault, type SoakFault, type Undo } from "./soak_faults.ts";

/** Faults that last at the same time, at most. */
const MAX_OVERLAP = 3;
const MIN_GAP_MS = 100;
const MAX_GAP_MS = 1_200;
const MIN_FAULT_MS = 200;
const MAX_FAULT_MS = 3_000;
/** Everything is mended and calls settle before the verdict. */
const SETTLE_MS = 3_000;

/** Faults that last, by their target. */
class OpenFaults {
  readonly #open = new Map<string, Promise<void>>();

  isFree(target: string): boolean {
    return this.#open.size < MAX_OVERLAP && !this.#open.has(target);
  }

  add(fault: SoakFault, lasting: Promise<void>): void {
    const { target } = fault;
    const ended = lasting.finally(() => this.#open.delete(target));
    this.#open.set(target, ended);
  }

  /** Resolves when all have been undone; rejects with the first failure. */
  async settled(): Promise<void> {
    await Promise.all(this.#open.values());
  }
}

/**
 * Makes the scenario.
 *
 * @example
 * ```ts
 * await runScenario(soakScenario(60_000), { seed: 7 });
 * ```
 */
export function soakScenario(durationMs: number): Scenario {
  return {
    name: "soak",
    summary: "Faults drawn from the seed, in series and overlapping",
    run: (context) => injectFaults(context, durationMs),
  };
}

async function injectFaults(
  context: ScenarioContext,
  durationMs: number,
): Promise<void> {
  const { random, pass, faultBegins } = context;
  const endsAtMs = performance.now() + durationMs;
  const open = new OpenFaults();
  faultBegins();
  while (performance.now() < endsAtMs) {
    const fault = planFault(context);
    const lastsMs = uniformInt(random, MIN_FAULT_MS, MAX_FAULT_MS);
    const gapMs = uniformInt(random, MIN_GAP_MS, MAX_GAP_MS);
    if (open.isFree(fault.target)) {
      console.log(`  ${fault.name} at ${fault.target} for ${lastsMs} ms`);
      const undo: Undo = await fault.begin();
      open.add(fault, pass(lastsMs).then(undo));
    }
    await pass(gapMs);
  }
  await open.settled();
  await pass(SETTLE_MS);
}
