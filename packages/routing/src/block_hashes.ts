/**
 * Chained hashes of prompt blocks: each hash covers its block and all blocks
 * before it.
 *
 * @module
 */

import { createHash } from "node:crypto";
import xxhash from "xxhash-wasm";
import type { XXHashAPI } from "xxhash-wasm";
import { brandId, BYTES_PER_TOKEN, TOKENS_PER_BLOCK } from "@endivebend/types";
import type {
  BlockHash,
  ModelName,
  TeamId,
  WeightsVersion,
} from "@endivebend/types";

/** Bytes of UTF-8 text in one full block. */
export const BLOCK_BYTES = TOKENS_PER_BLOCK * BYTES_PER_TOKEN;

/**
 * Number of leading hexadecimal digits that every hash of a chain takes from
 * its first block, so that the owner of the prefix follows from any block's
 * hash.
 */
export const OWNER_KEY_DIGITS = 3;

const HASH_DIGITS = 16;
const SALT_BYTES = 32;
const PREVIOUS_HASH_BYTES = 8;
const HEADER_BYTES = SALT_BYTES + PREVIOUS_HASH_BYTES;
const SUFFIX_DIGITS = HASH_DIGITS - OWNER_KEY_DIGITS;
const SUFFIX_MASK = (1n << BigInt(4 * SUFFIX_DIGITS)) - 1n;

/** What must match, besides the text, for a cached block to be reused. */
export interface SaltInput {
  readonly team: TeamId;
  readonly model: ModelName;
  readonly weightsVersion: WeightsVersion;
  /** Fleet-wide secret that keeps a team from computing another team's salt. */
  readonly secret?: string;
}

let loadedHasher: XXHashAPI | undefined;
const hashInput = new Uint8Array(HEADER_BYTES + BLOCK_BYTES);
const hashInputView = new DataView(hashInput.buffer);

/**
 * Loads the WebAssembly hasher. Await it once before calling `hashBlocks`.
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
 * Returns the salt of a team, model and weights version as 64 hexadecimal
 * digits.
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
 * Hashes the full blocks of a prompt. The text after the last full block is
 * not hashed. Throws when `loadHasher` has not finished.
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
 * Like `hashBlocks`, with a salt from `cacheSalt`.
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
 * Returns the rendezvous key that selects the VM that owns a block's chain. All
 * blocks of a chain have the same key.
 *
 * @example
 * ```ts
 * const [owner] = rankByRendezvous(ownerKeyOf(block), vmIds);
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
