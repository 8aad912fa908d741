/**
 * Plays the bundle as real processes under faults that a seed draws. Exits
 * with 1 when a rule was broken.
 *
 * @module
 */

import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { formatLinkCut } from "./link_cut_rules.ts";
import { parseKnownPlays, playName } from "./known_plays.ts";
import { type PlayResult, runPlay } from "./run_play.ts";
import { formatRollout } from "./rollout_rules.ts";
import { planPlay, SCENARIO_NAMES } from "./scenarios.ts";
import { formatBudget } from "./verdict.ts";

const USAGE = `usage: npm run soak:platform -- [options]
  --scenario NAME  ${SCENARIO_NAMES.join(", ")} (default drawn)
  --seed N         first seed (default: drawn from the clock and printed)
  --seeds N        number of seeds, one after another (default 1)
  --seconds S      length of each (default 22)
  --daemons D, --servers N, --rate R
                   number of daemons, servers of a service, and requests a
                   second for each daemon (default: the scenario's)
  --breaches N     breaches to print of each rule (default 5)
  --known FILE     list of known failures; those plays fail no run
  --logs DIR       keep the daemons' output`;
/** Daemons at a time, at most; each is a process. */
const MAX_DAEMONS = 100;

const { values } = parseArgs({
  options: {
    scenario: { type: "string", default: "drawn" },
    seed: { type: "string" },
    seeds: { type: "string", default: "1" },
    seconds: { type: "string", default: "22" },
    daemons: { type: "string" },
    servers: { type: "string" },
    rate: { type: "string" },
    breaches: { type: "string", default: "5" },
    known: { type: "string" },
    logs: { type: "string" },
    help: { type: "boolean", default: false },
  },
});

function optionalNumber(text: string | undefined): number | undefined {
  return text === undefined ? undefined : Number(text);
}

function printVerdict(verdict: PlayResult): void {
  const { breaches, budgets, outcomes, joinedStreams, takeUps } = verdict;
  const { linkCuts, forwardedAttempts } = verdict;
  const shown = Object.entries(outcomes).sort();
  console.log(
    `  ${shown.map(([name, count]) => `${name}: ${count}`).join(", ")}`,
  );
  for (const worst of budgets) console.log(`  ${formatBudget(worst)}`);
  console.log(
    `  streams joined from two versions: ${joinedStreams}; take-ups in ` +
      `touch: ${takeUps.wentOn} of ${takeUps.asked} go on, ` +
      `${takeUps.newBegun} of ${takeUps.newAsked} new streams begin`,
  );
  for (const figures of linkCuts) console.log(`  ${formatLinkCut(figures)}`);
  console.log(`  attempts through another daemon: ${forwardedAttempts}`);
  for (const figures of verdict.rollouts) {
    console.log(`  ${formatRollout(figures)}`);
  }
  console.log(
    `  servers and callers stood still for ${verdict.longestStallMs} ms at most`,
  );
  for (const rule of new Set(breaches.map((breach) => breach.rule))) {
    const cases = breaches.filter((breach) => breach.rule === rule);
    console.log(`  ${rule}: ${cases.length}`);
    for (const { atMs, what } of cases.slice(0, Number(values.breaches))) {
      console.log(`    ${atMs} ms  ${what}`);
    }
  }
}

async function playSeed(seed: number): Promise<boolean> {
  const { scenario } = values;
  const durationMs = Number(values.seconds) * 1_000;
  const daemons = optionalNumber(values.daemons);
  const play = planPlay(scenario, {
    seed,
    durationMs,
    daemons: daemons && Math.min(MAX_DAEMONS, daemons),
    servers: optionalNumber(values.servers),
    ratePerS: optionalNumber(values.rate),
  });
  const directory = values.logs === undefined
    ? mkdtempSync(join(tmpdir(), "platform-soak-"))
    : join(values.logs, String(seed));
  const { shape } = play;
  console.log(
    `seed ${seed} (${scenario}): ${shape.daemons} daemons, ${shape.servers} ` +
      `servers a service, ${play.ratePerS} requests a second a daemon, ` +
      `${play.faults.length} faults`,
  );
  try {
    const verdict = await runPlay(play, { seed, durationMs, directory });
    printVerdict(verdict);
    return verdict.breaches.length === 0;
  } finally {
    if (values.logs === undefined) rmSync(directory, { recursive: true });
  }
}

async function main(): Promise<number> {
  const first = Number(values.seed ?? Date.now() % 1_000_000);
  const known = parseKnownPlays(
    values.known === undefined ? "" : readFileSync(values.known, "utf8"),
  );
  const broken: number[] = [];
  for (let index = 0; index < Number(values.seeds); index++) {
    const seed = first + index;
    const isKnown = known.has(playName(values.scenario, seed));
    if (isKnown) console.log(`known failure: seed ${seed}`);
    if (!await playSeed(seed) && !isKnown) broken.push(seed);
  }
  console.log(
    `${values.seeds} seeds, ${broken.length} broke a rule` +
      (broken.length > 0 ? `: ${broken.join(", ")}` : ""),
  );
  return broken.length > 0 ? 1 : 0;
}

if (values.help) console.log(USAGE);
// Held reads and waits of the faults would keep it running.
else process.exit(await main());
