/**
 * Tells whether two requests are the same for the platform.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { brandId, type TeamId } from "@endivebend/types";
import type { RequestDigest } from "@endivebend/request-path";

/** What two requests that are the same have in common. */
export interface RequestIdentity {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly team: TeamId | undefined;
  /** The whole body; a request is not admitted before it has been read. */
  readonly body: Buffer;
}

/** 128 bits: no two of a day's requests have the same digest by chance. */
const DIGEST_CHARACTERS = 22;

/**
 * Returns a digest of the request's path, caller and body, of which no text can
 * be read. Two attempts of a client with the same request have the same one. It
 * takes about a millisecond for each megabyte of the body.
 *
 * @example
 * ```ts
 * const digest = digestRequest({ method, target, team: team?.id, body });
 * ```
 */
export function digestRequest(identity: RequestIdentity): RequestDigest {
  const { method, target, team, body } = identity;
  const head = JSON.stringify([method, target, team ?? null]);
  const digest = createHash("sha256").update(head).update(body)
    .digest("base64url").slice(0, DIGEST_CHARACTERS);
  return brandId<RequestDigest>(digest);
}
