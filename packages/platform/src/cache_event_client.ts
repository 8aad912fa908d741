/**
 * Reads the cache events of engines and cache stores by long polls.
 *
 * @module
 */

import { Agent } from "node:http";
import {
  type CacheChange,
  type CacheEventBatch,
  type CacheEventClient,
  type CacheScope,
  type PromptSegmentId,
  segmentKey,
} from "@endivebend/request-path";
import { callEngine } from "./engine_call.ts";
import { PATHS } from "./wire_names.ts";

/**
 * How long the server may hold a call without events. Shorter waits would cost
 * as much as probes.
 */
const LONG_POLL_MS = 1_000;
const CALL_TIMEOUT_MS = LONG_POLL_MS + 700;

/** Event number, `+` or `-`, cache salt, segment id, stored tokens, model. */
type WireCacheEvent = readonly [number, string, string, string, number, string];

/** Creates the client with which the cache watch reads events. */
export function createCacheEventClient(): CacheEventClient {
  const agent = new Agent({ keepAlive: true, timeout: CALL_TIMEOUT_MS });
  return {
    async fetchEvents(server, after) {
      const answer = await callEngine(agent, {
        address: server.address,
        method: "GET",
        path: `${PATHS.cacheEvents}?since=${after}`,
        headers: { "wait-ms": LONG_POLL_MS },
        timeoutMs: CALL_TIMEOUT_MS,
      });
      return answer?.status === 200 ? parseCacheEvents(answer.body) : undefined;
    },
  };
}

/**
 * Parses an answer with cache events; returns undefined when it is not JSON or
 * lacks `next` or `events`.
 *
 * @example
 * ```ts
 * const batch = parseCacheEvents(body);
 * ```
 */
export function parseCacheEvents(body: string): CacheEventBatch | undefined {
  try {
    const fields = JSON.parse(body) as {
      readonly boot_epoch?: number;
      readonly next?: number;
      readonly lost?: boolean;
      readonly events?: readonly WireCacheEvent[];
    };
    const { next, events } = fields;
    if (typeof next !== "number" || !Array.isArray(events)) return undefined;
    return {
      bootId: String(fields.boot_epoch),
      next,
      hasGap: fields.lost === true,
      changes: (events as readonly WireCacheEvent[]).map(decodeCacheEvent),
    };
  } catch {
    return undefined;
  }
}

/**
 * A segment that lost some of its tokens counts as evicted: the rest is of use
 * to the next request only.
 */
function decodeCacheEvent(
  [, sign, salt, id, tokens]: WireCacheEvent,
): CacheChange {
  const key = segmentKey(salt as CacheScope, id as PromptSegmentId);
  return [key, sign === "+" ? tokens : 0];
}
