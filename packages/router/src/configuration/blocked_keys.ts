/**
 * API keys that are blocked on this VM before the log holds their withdrawal.
 *
 * @module
 */

import { brandId, type Sha256Digest } from "@endivebend/types";

/** Maximum number of blocked keys; digests from peers beyond it are ignored. */
export const MAX_BLOCKED_KEYS = 10_000;

const DIGEST_PATTERN = /^[0-9a-f]{64}$/;

/** A blocked key. */
export interface BlockedKey {
  readonly digest: Sha256Digest;
  readonly sinceElapsedMs: number;
  /**
   * True on the VM that received the operator's withdrawal. Other VMs append
   * the withdrawal only if this one does not.
   */
  readonly isOrigin: boolean;
}

/** The local block list. Blocking a key is always safe and needs no log. */
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

  /** Blocks a key; returns true when it was not blocked before. */
  block(key: BlockedKey): boolean {
    const known = this.#keys.get(key.digest);
    if (known !== undefined && (known.isOrigin || !key.isOrigin)) return false;
    this.#keys.set(key.digest, key);
    return known === undefined;
  }

  /**
   * Blocks the digests that a peer blocks, and returns those that are new.
   * Ignores texts that are not digests, and keys that the log has withdrawn.
   */
  merge(
    texts: readonly string[],
    options: {
      readonly sinceElapsedMs: number;
      readonly isWithdrawn: (digest: Sha256Digest) => boolean;
    },
  ): readonly Sha256Digest[] {
    const { sinceElapsedMs, isWithdrawn } = options;
    return texts
      .filter((text) => DIGEST_PATTERN.test(text))
      .map((text) => brandId<Sha256Digest>(text))
      .filter((digest) => {
        if (this.#keys.size >= MAX_BLOCKED_KEYS) return false;
        if (isWithdrawn(digest)) return false;
        return this.block({ digest, sinceElapsedMs, isOrigin: false });
      });
  }

  /** Removes the keys whose withdrawal is in the log. */
  prune(isWithdrawn: (digest: Sha256Digest) => boolean): void {
    for (const digest of this.#keys.keys()) {
      if (isWithdrawn(digest)) this.#keys.delete(digest);
    }
  }
}
