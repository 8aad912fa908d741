/**
 * A bounded load of short requests, timed one by one.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";
import { Pool } from "undici";

/** What to send. */
export interface LoadOptions {
  readonly address: string;
  readonly key: string;
  readonly requests: number;
  /** Requests in flight at once. */
  readonly concurrency: number;
}

/** What came out. */
export interface LoadResult {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly requestsPerSecond: number;
  readonly failures: number;
}

const MICROSECONDS_PER_MS = 1000;

async function sendOne(
  pool: Pool,
  options: { readonly key: string; readonly number: number },
): Promise<boolean> {
  const { statusCode, body } = await pool.request({
    path: "/v1/completions",
    method: "POST",
    headers: {
      authorization: `Bearer ${options.key}`,
      "content-type": "application/json",
    },
    body: JSON.stringify({
      model: "chime-llm",
      prompt: `Which bells ring at ${options.number}?`,
      max_tokens: 1,
    }),
  });
  await body.dump();
  return statusCode === 200;
}

function percentileMs(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
}

/** Sends the load and reports its latencies and throughput. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const { address, key, requests, concurrency } = options;
  const pool = new Pool(`http://${address}`, { connections: concurrency });
  const histogram = build();
  let next = 0;
  let failures = 0;
  const startMs = performance.now();
  const workers = Array.from({ length: concurrency }, async () => {
    while (next < requests) {
      const number = next++;
      const sentMs = performance.now();
      if (!await sendOne(pool, { key, number })) failures++;
      const tookMs = performance.now() - sentMs;
      histogram.recordValue(Math.round(tookMs * MICROSECONDS_PER_MS));
    }
  });
  await Promise.all(workers);
  const elapsedMs = performance.now() - startMs;
  await pool.close();
  return {
    p50Ms: percentileMs(histogram, 50),
    p99Ms: percentileMs(histogram, 99),
    requestsPerSecond: requests / (elapsedMs / 1000),
    failures,
  };
}
