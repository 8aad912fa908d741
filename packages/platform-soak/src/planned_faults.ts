/**
 * Builds lists of planned faults.
 *
 * @module
 */

import type { FaultName, PlannedFault } from "./faults.ts";
import type { Draws } from "./random.ts";

const RESTART_MS = 100;

/** A fault; what is not given is 0, and a process starts again at once. */
export function fault(
  name: FaultName,
  atMs: number,
  fields: Partial<PlannedFault> = {},
): PlannedFault {
  return { name, atMs, forMs: RESTART_MS, daemon: 0, server: 0, ...fields };
}

/** Faults from the seed, in series with gaps that let them overlap. */
export function drawFaults(
  draws: Draws,
  { names, durationMs, longestGapMs }: {
    readonly names: readonly FaultName[];
    readonly durationMs: number;
    readonly longestGapMs: number;
  },
): PlannedFault[] {
  const faults: PlannedFault[] = [];
  let atMs = draws.int(500, 2_000);
  while (atMs < durationMs) {
    const forMs = draws.chance(0.3)
      ? draws.int(1_000, 4_500)
      : draws.int(20, 1_000);
    const daemon = draws.int(0, 999);
    const server = draws.int(0, 999);
    faults.push({ atMs, name: draws.pick(names), forMs, daemon, server });
    atMs += draws.int(20, longestGapMs);
  }
  return faults;
}
