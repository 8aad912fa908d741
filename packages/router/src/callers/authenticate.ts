/**
 * Authenticates callers by their key and finds the key's team.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import { createError } from "@endivebend/errors";
import { brandId, type Sha256Digest } from "@endivebend/types";
import type { ConfigurationView, TeamView } from "../ports.ts";

/** A caller that presented a valid key. */
export interface Caller {
  readonly digest: Sha256Digest;
  readonly team: TeamView;
}

const BEARER = /^Bearer +(\S+) *$/i;
const MAX_CACHED_DIGESTS = 10_000;
/**
 * Digests of longer keys are not cached, which bounds the memory that
 * unauthenticated requests can occupy.
 */
const MAX_CACHED_KEY_CHARS = 128;
const digestByKey = new Map<string, Sha256Digest>();

/** The SHA-256 digest of a key, from a cache where possible. */
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

/**
 * Returns the team of a key. Throws `key_withdrawn` or `unknown_key` when the
 * key is not valid in the current configuration.
 */
export function checkDigest(
  digest: Sha256Digest,
  configuration: ConfigurationView,
): TeamView {
  const check = configuration.checkKey(digest);
  if (check.kind === "refused") {
    const message = check.code === "key_withdrawn"
      ? "The key has been withdrawn"
      : "The key is unknown";
    throw createError(check.code, message);
  }
  const team = configuration.team(check.team);
  if (team === undefined) {
    throw createError("unknown_key", "The key's team no longer exists");
  }
  return team;
}

/** The bearer key in the headers, which may be invalid. */
export function bearerKey(headers: IncomingHttpHeaders): string | undefined {
  return BEARER.exec(headers.authorization ?? "")?.[1];
}

/**
 * Authenticates a request by its bearer key. Throws `missing_key`,
 * `unknown_key` or `key_withdrawn`.
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
    throw createError(
      "missing_key",
      "The request has no bearer key in its Authorization header",
    );
  }
  const digest = digestOfKey(key);
  return { digest, team: checkDigest(digest, configuration) };
}
