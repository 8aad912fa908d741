/**
 * Runs a play over real processes and judges it.
 *
 * @module
 */

import { monitorEventLoopDelay } from "node:perf_hooks";
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

/** What came of a play. */
export interface PlayResult extends Verdict {
  /** Longest time in which servers and callers themselves stood still. */
  readonly longestStallMs: number;
}

const NS_PER_MS = 1_000_000;
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
): Promise<PlayResult> {
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
    const stalls = monitorEventLoopDelay({ resolution: 10 });
    stalls.enable();
    callers.start();
    await sleep(durationMs);
    await callers.stop();
    await Promise.race([Promise.all(open), sleep(SETTLE_MS)]);
    for (const daemon of daemons) {
      const count = await daemon.readCounter("forwarded_attempts");
      if (count !== undefined) {
        ledger.forwardedAttempts.set(daemon.options.index, count);
      }
    }
    const longestStallMs = Math.round(stalls.max / NS_PER_MS);
    return { ...judge(ledger), longestStallMs };
  } finally {
    for (const timer of timers) clearTimeout(timer);
    await fleet.close();
  }
}
