/**
 * Keys that are blocked on this VM before their withdrawal is in the log.
 *
 * @module
 */

import type { Sha256Digest } from "@endivebend/types";

/** More digests than this are not taken from peers. */
export const MAX_BLOCKED_KEYS = 10_000;

/** One blocked key. */
export interface BlockedKey {
  readonly digest: Sha256Digest;
  readonly sinceElapsedMs: number;
  /** True where the operator asked; peers append only if the origin does not. */
  readonly isOrigin: boolean;
}

/** The local block list. Blocking is always safe, so it never needs the log. */
export class BlockedKeys {
  readonly #keys = new Map<Sha256Digest, BlockedKey>();

  has(digest: Sha256Digest): boolean {
    return this.#keys.has(digest);
  }

  digests(): readonly Sha256Digest[] {
    return [...this.#keys.keys()];
  }

  entries(): readonly BlockedKey[] {
    return [...this.#keys.values()];
  }

  /** Blocks a key; tells whether it was not blocked before. */
  block(key: BlockedKey): boolean {
    const known = this.#keys.get(key.digest);
    if (known !== undefined && (known.isOrigin || !key.isOrigin)) return false;
    this.#keys.set(key.digest, key);
    return known === undefined;
  }

  /** Takes a digest from a peer; gives false when it is known or over the bound. */
  merge(digest: Sha256Digest, sinceElapsedMs: number): boolean {
    if (this.#keys.size >= MAX_BLOCKED_KEYS) return false;
    return this.block({ digest, sinceElapsedMs, isOrigin: false });
  }

  /** Drops the keys whose withdrawal the log has decided. */
  prune(isDecided: (digest: Sha256Digest) => boolean): void {
    for (const digest of this.#keys.keys()) {
      if (isDecided(digest)) this.#keys.delete(digest);
    }
  }
}
