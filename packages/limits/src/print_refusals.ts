/**
 * Prints the table of wrongful refusals in docs/limits.md.
 *
 * Usage: `tsx packages/limits/src/print_refusals.ts [SEEDS] [WAIT_MS] [LOAD]`
 *
 * @module
 */

import { measureRefusals, type RefusalScenario } from "./measure_refusals.ts";

const SCENARIOS: readonly RefusalScenario[] = [
  "skewed",
  "restart_log_up",
  "restart_log_down",
];
const FLOORS = [0, 0.25, 0.5];
const LEASES_MS = [500, 1000, 2000, 5000];

function percentile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) * fraction)] ?? 0;
}

const [seeds = "8", waitMs = "10000", load = "0.9"] = process.argv.slice(2);
console.log(
  `seeds 1 to ${seeds}, wait ${waitMs} ms, load ${load} of each team's rate`,
);
console.log(
  "| scenario | floor | lease | requests | wrongful per 1,000 | " +
    "worst seed | p50 / p99 wait | excess |",
);
console.log("| --- | --- | --- | --- | --- | --- | --- | --- |");
for (const scenario of SCENARIOS) {
  for (const floorFraction of FLOORS) {
    for (const loanLeaseMs of LEASES_MS) {
      const runs = Array.from({ length: Number(seeds) }, (_, index) => {
        const seed = index + 1;
        const counts = measureRefusals({
          scenario,
          seed,
          floorFraction,
          loanLeaseMs,
          waitMs: Number(waitMs),
          load: Number(load),
        });
        const perThousand = counts.wronglyRefused * 1000 / counts.requests;
        return { seed, perThousand, ...counts };
      });
      const requests = runs.reduce((sum, run) => sum + run.requests, 0);
      const wrongful = runs.reduce((sum, run) => sum + run.wronglyRefused, 0);
      const worst = runs.reduce((a, b) =>
        b.perThousand > a.perThousand ? b : a
      );
      const waits = runs.flatMap((run) => run.waitsMs);
      const p50 = Math.round(percentile(waits, 0.5));
      const p99 = Math.round(percentile(waits, 0.99));
      const excess = Math.max(...runs.map((run) => run.excessTokens));
      console.log(
        `| ${scenario} | ${floorFraction} | ${loanLeaseMs / 1000} s | ` +
          `${requests} | ${(wrongful * 1000 / requests).toFixed(2)} | ` +
          `${worst.seed}: ${worst.perThousand.toFixed(2)} | ` +
          `${p50} / ${p99} ms | ${excess} |`,
      );
    }
  }
}
