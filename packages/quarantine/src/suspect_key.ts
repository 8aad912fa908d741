/**
 * The names under which prompt segments and whole requests are suspected and
 * quarantined.
 *
 * @module
 */

import type { Branded, ModelName } from "@endivebend/types";

/** A prompt segment as the engines of one model read it, or a whole request. */
export type SuspectKey = Branded<string, "SuspectKey">;

/** Digests have no slash, and the key of a segment always has one. */
const REQUEST_PREFIX = "request:";

/**
 * Names a segment of a model's prompts.
 *
 * @example
 * ```ts
 * const key = segmentOfModel(work.model, work.prompt[0].id);
 * ```
 */
export function segmentOfModel(
  model: ModelName,
  segmentId: string,
): SuspectKey {
  return `${model}/${segmentId}` as SuspectKey;
}

/**
 * Names a request by a digest without a slash of what makes it the same request.
 *
 * @example
 * ```ts
 * const key = wholeRequest(request.digest);
 * ```
 */
export function wholeRequest(digest: string): SuspectKey {
  return `${REQUEST_PREFIX}${digest}` as SuspectKey;
}

/** Whether the key names a whole request. */
export function isWholeRequest(key: SuspectKey): boolean {
  return key.startsWith(REQUEST_PREFIX) && !key.includes("/");
}
