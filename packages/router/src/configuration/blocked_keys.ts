/**
 * Keys that are blocked on this VM before their withdrawal is in the log.
 *
 * @module
 */

import { brandId, type Sha256Digest } from "@endivebend/types";

/** More digests than this are not taken from peers. */
export const MAX_BLOCKED_KEYS = 10_000;

const DIGEST_PATTERN = /^[0-9a-f]{64}$/;

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

  /**
   * Blocks the digests that a peer blocks, and gives those that are new. What
   * is no digest, or is decided in the log, is left out.
   */
  merge(
    texts: readonly string[],
    options: {
      readonly sinceElapsedMs: number;
      readonly isWithdrawn: (digest: Sha256Digest) => boolean;
    },
  ): readonly Sha256Digest[] {
    const { sinceElapsedMs, isDecided: isWithdrawn } = options;
    return texts
      .filter((text) => DIGEST_PATTERN.test(text))
      .map((text) => brandId<Sha256Digest>(text))
      .filter((digest) => {
        if (this.#keys.size >= MAX_BLOCKED_KEYS) return false;
        if (isWithdrawn(digest)) return false;
        return this.block({ digest, sinceElapsedMs, isOrigin: false });
      });
  }

  /** Drops the keys whose withdrawal the log has decided. */
  prune(isWithdrawn: (digest: Sha256Digest) => boolean): void {
    for (const digest of this.#keys.keys()) {
      if (isWithdrawn(digest)) this.#keys.delete(digest);
    }
  }
}
