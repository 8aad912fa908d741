/**
 * Runs a play over real processes and judges it.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { Callers } from "./callers.ts";
import { inject } from "./faults.ts";
import { Fleet } from "./fleet.ts";
import { Ledger } from "./ledger.ts";
import type { Play } from "./scenarios.ts";
import { judge, type Verdict } from "./verdict.ts";

/** How a play is run. */
export interface RunOptions {
  readonly seed: number;
  readonly durationMs: number;
  /** Directory for settings and output of the daemons. */
  readonly directory: string;
}

/** Time in which the last faults end before the processes do. */
const SETTLE_MS = 2_000;

/**
 * Runs a play; rejects when the fleet does not start.
 *
 * @example
 * ```ts
 * const { breaches } = await runPlay(play, { seed, durationMs, directory });
 * ```
 */
export async function runPlay(
  play: Play,
  { seed, durationMs, directory }: RunOptions,
): Promise<Verdict> {
  const fleet = new Fleet(new Ledger(), play.shape, { seed, directory });
  const timers: NodeJS.Timeout[] = [];
  const open: Promise<void>[] = [];
  try {
    await fleet.start();
    const { ledger, daemons } = fleet;
    ledger.restartClock();
    const { ratePerS, kinds, retries } = play;
    const callers = new Callers({ seed, ratePerS, kinds, retries }, {
      ledger,
      daemons,
      servedVersions: () => fleet.servedVersions(),
    });
    const at = (atMs: number, work: () => void) => {
      if (atMs <= durationMs) timers.push(setTimeout(work, atMs));
    };
    for (const { atMs, faults } of play.serverFaults) {
      at(atMs, () => {
        for (const server of fleet.servers) server.faults = faults;
      });
    }
    for (const fault of play.faults) {
      at(fault.atMs, () => open.push(inject(fleet, fault)));
    }
    callers.start();
    await sleep(durationMs);
    await callers.stop();
    await Promise.race([Promise.all(open), sleep(SETTLE_MS)]);
    return judge(ledger);
  } finally {
    for (const timer of timers) clearTimeout(timer);
    await fleet.close();
  }
}
