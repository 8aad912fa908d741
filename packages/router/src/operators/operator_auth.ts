/**
 * Authenticates operators by their bearer key.
 *
 * @module
 */

import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { createError } from "@endivebend/errors";

const BEARER_PATTERN = /^Bearer +(\S+)$/i;

/** An operator key from the settings. */
export interface OperatorKey {
  readonly name: string;
  /** SHA-256 digest of the key in lower-case hexadecimal. */
  readonly sha256: string;
}

/**
 * Returns the name of the operator whose key the request carries. Compares the
 * key with every digest in constant time. Throws `operator_unauthorized`.
 *
 * @example
 * ```ts
 * const operator = authenticateOperator(request, settings.operators.keys);
 * ```
 */
export function authenticateOperator(
  request: IncomingMessage,
  keys: readonly OperatorKey[],
): string {
  const header = request.headers.authorization ?? "";
  const secret = BEARER_PATTERN.exec(header)?.[1] ?? "";
  const given = createHash("sha256").update(secret).digest();
  let operator: string | undefined;
  for (const key of keys) {
    const isEqual = timingSafeEqual(given, Buffer.from(key.sha256, "hex"));
    if (isEqual) operator = key.name;
  }
  if (operator !== undefined) return operator;
  const message = secret === ""
    ? "The request has no operator key in its Authorization header"
    : "The operator key is unknown";
  throw createError("operator_unauthorized", message);
}
