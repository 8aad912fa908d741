/**
 * Judges version rollouts: a good version succeeds and a bad one is rolled back
 * in time, a bad one gets few requests, and none is lost as old servers stop.
 *
 * @module
 */

import { BOUNDS } from "./daemon_process.ts";
import type { Ledger, RolloutEntry } from "./ledger.ts";
import type { Breach } from "./verdict.ts";

/** Figures of one order. */
export interface RolloutFigures {
  readonly to: string;
  readonly isBad: boolean;
  readonly phase: string;
  /** Time from the order to its end; undefined when it did not end. */
  readonly endedAfterMs: number | undefined;
  /** Requests of the service until the time limit, and those at new servers. */
  readonly requests: number;
  readonly exposed: number;
}

const FINAL_PHASES: ReadonlySet<string> = new Set(["succeeded", "rolled_back"]);

/**
 * Judges the orders of a play.
 *
 * @example
 * ```ts
 * const { breaches, figures } = judgeRollouts(ledger);
 * ```
 */
export function judgeRollouts(
  ledger: Ledger,
): { readonly breaches: Breach[]; readonly figures: RolloutFigures[] } {
  const figures = ledger.rollouts.map((entry) => measure(ledger, entry));
  const breaches = ledger.rollouts.flatMap((entry, index) =>
    findBreaches(entry, figures[index]!)
  );
  return { breaches, figures };
}

function measure(ledger: Ledger, entry: RolloutEntry): RolloutFigures {
  const { to, isBad, orderedAtMs, service, newServers, phases } = entry;
  const untilMs = orderedAtMs + entry.durationMs;
  const end = phases.find(({ phase }) => FINAL_PHASES.has(phase));
  const requests = [...ledger.requests.values()].filter((sent) =>
    sent.service === service && sent.sentAtMs >= orderedAtMs &&
    sent.sentAtMs < untilMs
  );
  const exposed = ledger.arrivals.filter(({ server, atMs }) =>
    newServers.has(server) && atMs < untilMs
  );
  return {
    to,
    isBad,
    phase: phases.at(-1)?.phase ?? "none",
    endedAfterMs: end === undefined
      ? undefined
      : Math.round(end.atMs - orderedAtMs),
    requests: requests.length,
    exposed: exposed.length,
  };
}

function findBreaches(entry: RolloutEntry, figures: RolloutFigures): Breach[] {
  const { isBad, phase, endedAfterMs, requests, exposed } = figures;
  const expected = isBad ? "rolled_back" : "succeeded";
  const breaches: Breach[] = [];
  const breach = (what: string) =>
    breaches.push({ rule: "ROLLOUT", atMs: entry.orderedAtMs, what });
  if (phase !== expected) breach(`${phase} where ${expected} is right`);
  else if (endedAfterMs === undefined || endedAfterMs > entry.durationMs) {
    breach(`ended after ${endedAfterMs} ms of ${entry.durationMs}`);
  }
  const bound = BOUNDS.expose_share * requests + BOUNDS.expose_slack;
  if (isBad && exposed > bound) {
    breach(`${exposed} of ${requests} requests reached the bad version`);
  }
  return breaches;
}

/** One line about an order. */
export function formatRollout(figures: RolloutFigures): string {
  const { to, isBad, phase, endedAfterMs, requests, exposed } = figures;
  return `rollout of ${isBad ? "bad" : "good"} ${to}: ${phase} after ` +
    `${endedAfterMs ?? "-"} ms, ${exposed} of ${requests} requests there`;
}
