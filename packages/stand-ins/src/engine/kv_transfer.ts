/**
 * Export and import of cached blocks between engines and cache stores.
 *
 * @module
 */

import { request } from "undici";
import type { BlockCache } from "./block_cache.ts";
import type { KvImport } from "./completion_request.ts";

/** The bytes of an exported block: its hash and salt, padded with spaces. */
export function encodeBlock(
  block: string,
  options: { readonly salt: string; readonly bytes: number },
): Buffer {
  const text = JSON.stringify({ block, salt: options.salt });
  return Buffer.from(text.padEnd(options.bytes));
}

/** Reads an exported block, or undefined when the bytes are not one. */
export function decodeBlock(
  bytes: Buffer,
): { readonly block: string; readonly salt: string } | undefined {
  try {
    const { block, salt } = JSON.parse(bytes.toString());
    if (typeof block !== "string" || typeof salt !== "string") return undefined;
    return { block, salt };
  } catch {
    return undefined;
  }
}

/**
 * Fetches the leading blocks that the cache lacks. Stops at the first block
 * that cannot be had, or that was stored under another salt.
 */
export async function fetchBlocks(
  source: KvImport,
  options: { readonly cache: BlockCache; readonly salt: string },
): Promise<string[]> {
  const fetched: string[] = [];
  const depth = options.cache.useDepth(source.blocks, options.salt);
  for (const block of source.blocks.slice(depth)) {
    const found = await fetchBlock(source.from, block);
    if (found?.block !== block || found.salt !== options.salt) break;
    fetched.push(block);
  }
  return fetched;
}

/** Writes a block to a cache store; a store that fails costs speed only. */
export async function putBlock(
  to: string,
  options: { readonly block: string; readonly bytes: Buffer },
): Promise<void> {
  try {
    const url = `http://${to}/v1/kv/${encodeURIComponent(options.block)}`;
    const { body } = await request(url, { method: "PUT", body: options.bytes });
    await body.dump();
  } catch {
    // The block stays in the engine's own cache.
  }
}

async function fetchBlock(from: string, block: string) {
  try {
    const url = `http://${from}/v1/kv/${encodeURIComponent(block)}`;
    const { statusCode, body } = await request(url, { headersTimeout: 2000 });
    const bytes = Buffer.from(await body.arrayBuffer());
    return statusCode === 200 ? decodeBlock(bytes) : undefined;
  } catch {
    return undefined;
  }
}
