/**
 * Reads the cache events of engines and cache stores by long polls.
 *
 * @module
 */

import { Agent } from "node:http";
import type { MemoryBudget } from "@endivebend/byte-buffers";
import {
  type CacheChange,
  type CacheEventBatch,
  type CacheEventClient,
  type CacheScope,
  type PromptSegmentId,
  segmentKey,
  type WatchedCache,
} from "@endivebend/request-path";
import { brandId } from "@endivebend/types";
import { callEngine } from "./engine_call.ts";
import { boundedName } from "./bounded_names.ts";
import { HEADERS, PATHS } from "./wire_names.ts";

/**
 * How long the server may hold a call without events. Shorter waits would cost
 * as much as probes.
 */
const LONG_POLL_MS = 1_000;
const CALL_TIMEOUT_MS = LONG_POLL_MS + 700;
/** Daemons tell segments to each other under names of 256 bytes at most. */
const MAX_SALT_LENGTH = 128;

/** Event number, `+` or `-`, cache salt, segment id, stored tokens, model. */
type WireCacheEvent = readonly [number, string, string, string, number, string];

/**
 * Creates the client with which the cache watch reads events; answers take
 * their memory from the budget.
 */
export function createCacheEventClient(memory: MemoryBudget): CacheEventClient {
  const agent = new Agent({ keepAlive: true, timeout: CALL_TIMEOUT_MS });
  return {
    async fetchEvents(server, after) {
      const answer = await callEngine(agent, {
        address: server.address,
        method: "GET",
        path: `${PATHS.cacheEvents}?since=${after}`,
        headers: { "wait-ms": LONG_POLL_MS, ...expectedServer(server) },
        timeoutMs: CALL_TIMEOUT_MS,
        memory,
      });
      return answer?.status === 200 ? parseCacheEvents(answer.body) : undefined;
    },
  };
}

/**
 * Names the server that is asked, as another one may have its address by now. A
 * cache store has no id beside its address.
 */
function expectedServer({ id, address }: WatchedCache): Record<string, string> {
  return id === address ? {} : { [HEADERS.expectedServer]: id };
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
    if (!isCount(next) || !Array.isArray(events)) return undefined;
    return {
      bootId: String(fields.boot_epoch),
      next,
      hasGap: fields.lost === true,
      changes: (events as readonly WireCacheEvent[]).flatMap(decodeCacheEvent),
    };
  } catch {
    return undefined;
  }
}

/**
 * A segment that lost some of its tokens counts as evicted: the rest is of use
 * to the next request only. Events of another form are left out.
 */
function decodeCacheEvent(event: WireCacheEvent): CacheChange[] {
  if (!Array.isArray(event)) return [];
  const [, sign, salt, id, tokens] = event as WireCacheEvent;
  const isEvent = typeof salt === "string" && salt.length <= MAX_SALT_LENGTH &&
    typeof id === "string" && isCount(tokens);
  if (!isEvent) return [];
  const segment = brandId<PromptSegmentId>(boundedName(id));
  return [[
    segmentKey(salt as CacheScope, segment),
    sign === "+" ? tokens : 0,
  ]];
}

function isCount(value: unknown): value is number {
  return typeof value === "number" && value >= 0 &&
    value <= Number.MAX_SAFE_INTEGER;
}
