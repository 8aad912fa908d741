/**
 * Measures what the router adds to a direct call of an engine, and how many
 * short requests one daemon serves on one core.
 *
 * Usage: `npm run bench:sockets`
 *
 * @module
 */

import { startSocketDeployment } from "./deployment.ts";
import { type LoadResult, runLoad } from "./load.ts";

const WARM_UP_REQUESTS = 2000;
const LATENCY_REQUESTS = 3000;
const THROUGHPUT_REQUESTS = 20_000;
const THROUGHPUT_CONCURRENCY = 32;
const ENGINES = 3;
const ROUNDS = 3;

function format(name: string, result: LoadResult): string {
  const { p50Ms, p99Ms, requestsPerSecond, failures } = result;
  return `${name.padEnd(22)} median ${p50Ms.toFixed(3)} ms  ` +
    `p99 ${p99Ms.toFixed(3)} ms  ` +
    `${requestsPerSecond.toFixed(0).padStart(6)} requests/s  ` +
    `${failures} failures`;
}

const deployment = await startSocketDeployment({
  engines: ENGINES,
  routerNodeOptions: process.argv.slice(2),
});
try {
  const { key, router } = deployment;
  const direct = deployment.engines[0]!;
  const load = (address: string, requests: number, concurrency = 1) =>
    runLoad({ address, key, requests, concurrency });
  await load(direct, WARM_UP_REQUESTS);
  await load(router, WARM_UP_REQUESTS);
  for (let round = 1; round <= ROUNDS; round++) {
    const engine = await load(direct, LATENCY_REQUESTS);
    const routed = await load(router, LATENCY_REQUESTS);
    const addedMs = routed.p50Ms - engine.p50Ms;
    console.log(format("direct, one at a time", engine));
    console.log(format("routed, one at a time", routed));
    console.log(
      `  added at the median ${addedMs.toFixed(3)} ms (target under 1 ms), ` +
        `ratio ${(routed.p50Ms / engine.p50Ms).toFixed(2)}; ` +
        `p99 ratio ${(routed.p99Ms / engine.p99Ms).toFixed(2)}`,
    );
    const flood = await load(
      router,
      THROUGHPUT_REQUESTS,
      THROUGHPUT_CONCURRENCY,
    );
    console.log(format("routed, 32 at a time", flood));
  }
} finally {
  await deployment.close();
}
