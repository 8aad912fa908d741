/**
 * Asks engines and stores of prompt parts what they have stored and dropped.
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

/** The memory holds a call this long; shorter waits cost as much as probes. */
const LONG_POLL_MS = 1_000;
const CALL_TIMEOUT_MS = LONG_POLL_MS + 700;

/** Number, sign, salt, id, tokens stored now, model. */
type WireCacheEvent = readonly [number, string, string, string, number, string];

/** Makes the client. */
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
 * Reads an answer; undefined when it has another form.
 *
 * @example
 * ```ts
 * const news = parseNews(body);
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
 * A part of which some tokens were dropped counts as dropped: the rest is of
 * use to the next request only.
 */
function decodeCacheEvent(
  [, sign, salt, id, tokens]: WireCacheEvent,
): CacheChange {
  const key = segmentKey(salt as CacheScope, id as PromptSegmentId);
  return [key, sign === "+" ? tokens : 0];
}
