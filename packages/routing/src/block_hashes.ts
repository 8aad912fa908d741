/**
 * Chained hashes of prompt blocks.
 *
 * @module
 */

import { createHash } from "node:crypto";
import xxhash from "xxhash-wasm";
import type { XXHashAPI } from "xxhash-wasm";
import { BLOCK_TOKENS, brandId, BYTES_PER_TOKEN } from "@endivebend/types";
import type {
  BlockHash,
  ModelName,
  TeamId,
  WeightsVersion,
} from "@endivebend/types";

/** Bytes of UTF-8 text in one full block. */
export const BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN;

/**
 * Hexadecimal digits at the front of every hash of a chain that are those of
 * its root block, so the prefix home follows from any block's own hash.
 */
export const OWNER_KEY_DIGITS = 3;

const HASH_DIGITS = 16;
const SALT_BYTES = 32;
const PREVIOUS_HASH_BYTES = 8;
const HEADER_BYTES = SALT_BYTES + PREVIOUS_HASH_BYTES;
const SUFFIX_DIGITS = HASH_DIGITS - OWNER_KEY_DIGITS;
const SUFFIX_MASK = (1n << BigInt(4 * SUFFIX_DIGITS)) - 1n;

/** What a cached block must agree with besides the text. */
export interface SaltInput {
  readonly team: TeamId;
  readonly model: ModelName;
  readonly weightsVersion: WeightsVersion;
  /** Secret of the fleet; keeps a team from computing another team's salt. */
  readonly secret?: string;
}

let loadedHasher: XXHashAPI | undefined;
const hashInput = new Uint8Array(HEADER_BYTES + BLOCK_BYTES);
const hashInputView = new DataView(hashInput.buffer);

/**
 * Loads the WebAssembly hasher; await it once before `hashBlocks`.
 *
 * @example
 * ```ts
 * await loadHasher();
 * ```
 */
export async function loadHasher(): Promise<void> {
  loadedHasher ??= await xxhash();
}

/**
 * The salt of a team, model and weights version: 64 hexadecimal digits.
 *
 * @example
 * ```ts
 * const salt = cacheSalt({ team, model, weightsVersion });
 * ```
 */
export function cacheSalt(input: SaltInput): string {
  const { team, model, weightsVersion, secret = "" } = input;
  return createHash("sha256")
    .update(JSON.stringify([secret, team, model, weightsVersion]))
    .digest("hex");
}

/**
 * Hashes the full blocks of a prompt. The text after the last full block has
 * no hash. Throws when `loadHasher` has not finished.
 *
 * @example
 * ```ts
 * const blocks = hashBlocks(promptText, { team, model, weightsVersion });
 * ```
 */
export function hashBlocks(
  promptText: string,
  input: SaltInput,
): BlockHash[] {
  return hashBlocksWithSalt(promptText, cacheSalt(input));
}

/**
 * As `hashBlocks`, with a salt that was computed before.
 *
 * @example
 * ```ts
 * const blocks = hashBlocksWithSalt(promptText, salt);
 * ```
 */
export function hashBlocksWithSalt(
  promptText: string,
  salt: string,
): BlockHash[] {
  const hasher = requireHasher();
  const bytes = Buffer.from(promptText, "utf8");
  const count = Math.floor(bytes.length / BLOCK_BYTES);
  const hashes: BlockHash[] = [];
  hashInput.set(Buffer.from(salt, "hex"), 0);
  hashInputView.setBigUint64(SALT_BYTES, 0n);
  let ownerKey = "";
  for (let index = 0; index < count; index++) {
    const start = index * BLOCK_BYTES;
    hashInput.set(bytes.subarray(start, start + BLOCK_BYTES), HEADER_BYTES);
    const hash = hasher.h64Raw(hashInput);
    hashInputView.setBigUint64(SALT_BYTES, hash);
    if (index === 0) {
      ownerKey = hexOf(hash, HASH_DIGITS).slice(0, OWNER_KEY_DIGITS);
    }
    const suffix = hexOf(hash & SUFFIX_MASK, SUFFIX_DIGITS);
    hashes.push(brandId<BlockHash>(ownerKey + suffix));
  }
  return hashes;
}

/**
 * The key by which the VMs of a region are ranked for the home of a block's
 * chain. It is the same for all blocks of a chain.
 *
 * @example
 * ```ts
 * const [home] = rankByRendezvous(homeKeyOf(block), vmIds);
 * ```
 */
export function ownerKeyOf(block: BlockHash): string {
  return block.slice(0, OWNER_KEY_DIGITS);
}

function hexOf(value: bigint, digits: number): string {
  return value.toString(16).padStart(digits, "0");
}

function requireHasher(): XXHashAPI {
  if (loadedHasher === undefined) {
    throw new Error("The block hasher is not loaded; await loadHasher first");
  }
  return loadedHasher;
}
