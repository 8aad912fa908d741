/**
 * Parses idempotency keys and computes their digests.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { Sha256Digest, TeamId } from "@endivebend/types";

const TIMED_KEY = /^(\d{10})-[\x21-\x7e]{4,}$/;
const PRINTABLE = /^[\x20-\x7e]+$/;
const MAX_KEY_LENGTH = 255;

/** Form of a key; only a timed key shows its age. */
export type ParsedKey =
  | { readonly kind: "timed"; readonly createdAtMs: number }
  | { readonly kind: "free_form" }
  | { readonly kind: "malformed"; readonly reason: string };

/**
 * Parses an `Idempotency-Key`: `<unix-seconds>-<random>`, or free-form text,
 * whose age is unknown.
 *
 * @example
 * ```ts
 * parseKey("1782864000-f3a9c1"); // { kind: "timed", createdAtMs: 1782864000000 }
 * ```
 */
export function parseKey(key: string): ParsedKey {
  if (key.length > MAX_KEY_LENGTH) {
    const reason =
      `The idempotency key has more than ${MAX_KEY_LENGTH} characters`;
    return { kind: "malformed", reason };
  }
  if (!PRINTABLE.test(key)) {
    const reason = "The idempotency key is empty or has characters other " +
      "than printable ASCII";
    return { kind: "malformed", reason };
  }
  const seconds = TIMED_KEY.exec(key)?.[1];
  if (seconds === undefined) return { kind: "free_form" };
  return { kind: "timed", createdAtMs: Number(seconds) * 1000 };
}

/**
 * The digest that identifies a team's key in the log. The team is part of it, so
 * that the same key of two teams identifies two calls.
 *
 * @example
 * ```ts
 * const keyDigest = digestKey(team, "1782864000-f3a9c1");
 * ```
 */
export function digestKey(team: TeamId, key: string): Sha256Digest {
  return digestParts([team, key]);
}

/**
 * The digest of everything that a retry must have in common with the first
 * call: method, path with query, and body.
 *
 * @example
 * ```ts
 * digestCall({ method: "POST", path: "/bookings", body });
 * ```
 */
export function digestCall(
  call: {
    readonly method: string;
    readonly path: string;
    readonly body: Uint8Array;
  },
): Sha256Digest {
  return digestParts([call.method, call.path, call.body]);
}

/** Each part is preceded by its length, so that no two lists hash alike. */
function digestParts(parts: readonly (string | Uint8Array)[]): Sha256Digest {
  const hash = createHash("sha256");
  for (const part of parts) {
    const bytes = typeof part === "string" ? Buffer.from(part) : part;
    hash.update(`${bytes.length}:`).update(bytes);
  }
  return hash.digest("hex") as Sha256Digest;
}
