/**
 * The tag that cache knowledge of an engine carries, and the check of a hit
 * against it.
 *
 * @module
 */

import type { BackendServerId, WeightsVersion } from "@endivebend/types";

/** One run of an engine with one version of weights. */
export interface EngineTag {
  readonly engine: BackendServerId;
  readonly incarnation: string;
  readonly weightsVersion: WeightsVersion;
}

/** A hit that a request is about to rely on. */
export interface CacheHit extends EngineTag {
  /** Salt under which the blocks were hashed. */
  readonly salt: string;
}

/** A hit that must not be relied on; a fault of this software. */
export class StaleHitError extends Error {
  override readonly name = "StaleHitError";
}

/**
 * Tells whether two tags name the same run of the same weights.
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
 * Throws `StaleHitError` unless the hit is of the engine's current incarnation
 * and weights version and of the request's own salt. Call it immediately
 * before a request is sent that relies on the hit.
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
      `The hit is of ${describeTag(hit)}, the engine now is ${
        describeTag(current.tag)
      }; discard the cache knowledge of the engine`,
    );
  }
  if (hit.salt !== current.salt) {
    throw new StaleHitError(
      "The hit was hashed under another salt; hash the prompt again for its own team, model and weights version",
    );
  }
}

function describeTag(tag: EngineTag): string {
  return `${tag.engine} incarnation ${tag.incarnation} weights ${tag.weightsVersion}`;
}
