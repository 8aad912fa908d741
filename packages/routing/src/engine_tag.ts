/**
 * Identifies the incarnation and weights version that cached blocks belong to,
 * and checks cache hits against it.
 *
 * @module
 */

import type { BackendServerId, WeightsVersion } from "@endivebend/types";

/** One incarnation of an engine with one weights version. */
export interface EngineTag {
  readonly engine: BackendServerId;
  readonly incarnation: string;
  readonly weightsVersion: WeightsVersion;
}

/** A cache hit that a request is about to rely on. */
export interface CacheHit extends EngineTag {
  /** Salt under which the blocks were hashed. */
  readonly salt: string;
}

/**
 * Thrown for a cache hit that must not be relied on. It indicates a bug in the
 * router.
 */
export class StaleHitError extends Error {
  override readonly name = "StaleHitError";
}

/**
 * Returns whether two tags name the same engine, incarnation and weights
 * version.
 *
 * @example
 * ```ts
 * if (!isSameTag(location, current)) drop(location);
 * ```
 */
export function isSameTag(a: EngineTag, b: EngineTag): boolean {
  return a.engine === b.engine && a.incarnation === b.incarnation &&
    a.weightsVersion === b.weightsVersion;
}

/**
 * Throws `StaleHitError` unless the hit has the engine's current incarnation
 * and weights version and the request's own salt. Call it immediately before
 * sending a request that relies on the hit.
 *
 * @example
 * ```ts
 * assertHitIsCurrent(hit, { tag: engineNow, salt: cacheSalt(input) });
 * ```
 */
export function assertHitIsCurrent(
  hit: CacheHit,
  current: { readonly tag: EngineTag; readonly salt: string },
): void {
  if (!isSameTag(hit, current.tag)) {
    throw new StaleHitError(
      `The cache hit is for ${describeTag(hit)}, but the engine is now ${
        describeTag(current.tag)
      }; discard what is known about the engine's cache`,
    );
  }
  if (hit.salt !== current.salt) {
    throw new StaleHitError(
      "The cache hit was hashed with another salt; hash the prompt again with the salt of its own team, model and weights version",
    );
  }
}

function describeTag(tag: EngineTag): string {
  return `${tag.engine} incarnation ${tag.incarnation} weights ${tag.weightsVersion}`;
}
