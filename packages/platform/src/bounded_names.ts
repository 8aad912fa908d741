/**
 * Bounds the length of names that callers choose and the daemon keeps.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { type Branded, brandId, type RequestId } from "@endivebend/types";

/**
 * Daemons tell names to each other, in messages that are refused whole for a
 * name of over 256 bytes with its scope, and store them under keys of at most
 * 255 bytes.
 */
const MAX_NAME_LENGTH = 96;

/** A request's id, or its digest when it is long. */
export type BoundedRequestId = Branded<string, "BoundedRequestId">;

/**
 * The name itself, or its SHA-256 digest when it is longer than 96 characters.
 *
 * @example
 * ```ts
 * boundedName("5c1e07a2"); // "5c1e07a2"
 * ```
 */
export function boundedName(name: string): string {
  if (name.length <= MAX_NAME_LENGTH) return name;
  return createHash("sha256").update(name).digest("hex");
}

/**
 * The form in which a request's id is kept for longer than the request.
 *
 * @example
 * ```ts
 * const isKnown = requests.includes(boundRequestId(requestId));
 * ```
 */
export function boundRequestId(id: RequestId): BoundedRequestId {
  return brandId<BoundedRequestId>(boundedName(id));
}
