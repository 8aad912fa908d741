/**
 * Asks engines and stores of prompt parts what they have stored and dropped.
 *
 * @module
 */

import { Agent, get } from "node:http";
import {
  type CacheScope,
  type KeptChange,
  type MemoryClient,
  type MemoryNews,
  partKey,
  type PromptPartId,
  type WatchedMemory,
} from "@endivebend/request-path";
import { PATHS } from "./wire_names.ts";

/** The memory holds a call this long; shorter waits cost as much as probes. */
const WAIT_MS = 1_000;
const CALL_TIMEOUT_MS = WAIT_MS + 700;

/** Number, sign, salt, id, tokens stored now, model. */
type WireEvent = readonly [number, string, string, string, number, string];

/** Makes the client. */
export function createMemoryClient(): MemoryClient {
  const agent = new Agent({ keepAlive: true, timeout: CALL_TIMEOUT_MS });
  return {
    async news(memory, after) {
      const body = await fetchEvents(agent, memory, after);
      return body === undefined ? undefined : parseNews(body);
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
export function parseNews(body: string): MemoryNews | undefined {
  try {
    const fields = JSON.parse(body) as {
      readonly boot_epoch?: number;
      readonly next?: number;
      readonly lost?: boolean;
      readonly events?: readonly WireEvent[];
    };
    const { next, events } = fields;
    if (typeof next !== "number" || !Array.isArray(events)) return undefined;
    return {
      run: String(fields.boot_epoch),
      next,
      hasGap: fields.lost === true,
      changes: (events as readonly WireEvent[]).map(decodeEvent),
    };
  } catch {
    return undefined;
  }
}

/**
 * A part of which some tokens were dropped counts as dropped: the rest is of
 * use to the next request only.
 */
function decodeEvent([, sign, salt, id, tokens]: WireEvent): KeptChange {
  const key = partKey(salt as CacheScope, id as PromptPartId);
  return [key, sign === "+" ? tokens : 0];
}

function fetchEvents(
  agent: Agent,
  memory: WatchedMemory,
  after: number,
): Promise<string | undefined> {
  return new Promise((resolve) => {
    const [host, port] = memory.address.split(":");
    const outgoing = get({
      agent,
      host,
      port,
      path: `${PATHS.memoryEvents}?since=${after}`,
      headers: { "wait-ms": WAIT_MS },
    }, (answer) => {
      const chunks: Buffer[] = [];
      answer.on("data", (chunk: Buffer) => chunks.push(chunk));
      answer.on("error", () => settle(undefined));
      answer.on("end", () => {
        const body = Buffer.concat(chunks).toString("utf8");
        settle(answer.statusCode === 200 ? body : undefined);
      });
    });
    const settle = (body: string | undefined) => {
      clearTimeout(timer);
      resolve(body);
    };
    const timer = setTimeout(() => {
      settle(undefined);
      outgoing.destroy();
    }, CALL_TIMEOUT_MS);
    outgoing.on("error", () => settle(undefined));
    outgoing.end();
  });
}
