/**
 * Checks the bearer key of an operator.
 *
 * @module
 */

import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { createError } from "@endivebend/errors";

const BEARER_PATTERN = /^Bearer +(\S+)$/i;

/** An operator key as the settings hold it. */
export interface OperatorKey {
  readonly name: string;
  /** Lower-case hexadecimal digest of the key. */
  readonly sha256: string;
}

/**
 * Gives the name of the operator whose key the request carries. Compares with
 * every digest in constant time. Throws `operator_unauthorized`.
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
    ? "The request carries no operator key"
    : "The operator key is not known";
  throw createError("operator_unauthorized", message);
}
