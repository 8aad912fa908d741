/**
 * Finds the team of a caller's key.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import { createError } from "@endivebend/errors";
import { brandId, type Sha256Digest } from "@endivebend/types";
import type { ConfigurationView, TeamView } from "../ports.ts";

/** A caller whose key is valid. */
export interface Caller {
  readonly digest: Sha256Digest;
  readonly team: TeamView;
}

const BEARER = /^Bearer +(\S+) *$/i;
const MAX_CACHED_DIGESTS = 10_000;
/** Longer ones are not remembered, so that strangers cannot fill the memory. */
const MAX_CACHED_KEY_CHARS = 128;
const digestByKey = new Map<string, Sha256Digest>();

/** The SHA-256 digest of a key; the latest keys' digests are remembered. */
function digestOfKey(key: string): Sha256Digest {
  const known = digestByKey.get(key);
  if (known !== undefined) return known;
  const hex = createHash("sha256").update(key).digest("hex");
  const digest = brandId<Sha256Digest>(hex);
  if (key.length <= MAX_CACHED_KEY_CHARS) {
    if (digestByKey.size >= MAX_CACHED_DIGESTS) digestByKey.clear();
    digestByKey.set(key, digest);
  }
  return digest;
}

/** Throws the refusal for a key that is not valid now. */
export function checkDigest(
  digest: Sha256Digest,
  configuration: ConfigurationView,
): TeamView {
  const check = configuration.checkKey(digest);
  if (check.kind === "refused") {
    const message = check.code === "key_withdrawn"
      ? "The key was withdrawn"
      : "The key is not known";
    throw createError(check.code, message);
  }
  const team = configuration.team(check.team);
  if (team === undefined) {
    throw createError("unknown_key", "The key's team is gone");
  }
  return team;
}

/** The key in the headers, valid or not. */
export function bearerKey(headers: IncomingHttpHeaders): string | undefined {
  return BEARER.exec(headers.authorization ?? "")?.[1];
}

/**
 * Throws `missing_key`, `unknown_key` or `key_withdrawn`.
 *
 * @example
 * ```ts
 * const { team } = authenticate(request.headers, configuration);
 * ```
 */
export function authenticate(
  headers: IncomingHttpHeaders,
  configuration: ConfigurationView,
): Caller {
  const key = bearerKey(headers);
  if (key === undefined) {
    throw createError("missing_key", "The request carries no key");
  }
  const digest = digestOfKey(key);
  return { digest, team: checkDigest(digest, configuration) };
}
