/**
 * The engine's routes for cache events, cached blocks and their transfer.
 *
 * @module
 */

import {
  HttpFailure,
  queryNumber,
  readBody,
  sendJson,
} from "../http_messages.ts";
import { type Call, delay, type RouteTable } from "../stand_in_server.ts";
import type { EngineTuning } from "./engine_options.ts";
import type { Incarnation } from "./incarnation.ts";
import { decodeBlock, encodeBlock } from "./kv_transfer.ts";

/** What the routes need from their engine. */
export interface CacheRouteHost {
  readonly tuning: EngineTuning;
  /** The present incarnation; a crash replaces it. */
  readonly present: Incarnation;
}

/** The routes of one engine. */
export function cacheRoutes(host: CacheRouteHost): RouteTable {
  return {
    "GET /v1/cache/events": (call) => readEvents(host, call),
    "GET /v1/cache/blocks": (call) => readBlocks(host, call),
    "GET /v1/kv/:block": (call) => exportBlock(host, call),
    "PUT /v1/kv/:block": (call) => importBlock(host, call),
  };
}

async function readEvents(host: CacheRouteHost, call: Call): Promise<void> {
  const after = queryNumber(call.query, "after", { fallback: 0 });
  const waitMs = queryNumber(call.query, "waitMs", { fallback: 0 });
  const { present } = host;
  if (waitMs > 0) await present.events.waitFor(after, waitMs);
  const { id: incarnation, weightsVersion } = present;
  const body = { incarnation, weightsVersion, ...present.events.read(after) };
  sendJson(call.response, 200, { body });
}

function readBlocks({ present }: CacheRouteHost, { response }: Call): void {
  const { id: incarnation, weightsVersion, cache, events } = present;
  const seq = events.lastSeq;
  const body = { incarnation, weightsVersion, seq, blocks: cache.blocks() };
  sendJson(response, 200, { body });
}

function exportBlock(host: CacheRouteHost, { params, response }: Call): void {
  const block = params.block ?? "";
  const salt = host.present.cache.saltOf(block);
  if (salt === undefined) throw new HttpFailure(404, "No such block");
  const bytes = host.tuning.kvBytesPerBlock;
  response.end(encodeBlock(block, { salt, bytes }));
}

async function importBlock(
  host: CacheRouteHost,
  { request, params, response }: Call,
): Promise<void> {
  const decoded = decodeBlock(await readBody(request));
  if (decoded === undefined || decoded.block !== params.block) {
    throw new HttpFailure(400, "Send the bytes of an exported block");
  }
  await delay(host.tuning.importMsPerBlock);
  host.present.storePrefix([decoded.block], decoded.salt);
  sendJson(response, 200, { body: { stored: true } });
}
