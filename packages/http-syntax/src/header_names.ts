/**
 * Checks the names of headers and trailers.
 *
 * @module
 */

/** `token` of RFC 9110, section 5.6.2. */
const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

/**
 * Whether a header may have this name (RFC 9110, section 5.1).
 *
 * @example
 * ```ts
 * isHeaderName("content-length "); // false
 * ```
 */
export function isHeaderName(name: string): boolean {
  return TOKEN.test(name);
}

/**
 * The first name that is no token; undefined when all are. Takes headers or
 * trailers as Node.js lists them: names and values in turn.
 *
 * @example
 * ```ts
 * if (findInvalidHeaderName(request.rawHeaders) !== undefined) refuse();
 * ```
 */
export function findInvalidHeaderName(
  rawHeaders: readonly string[],
): string | undefined {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!;
    if (!isHeaderName(name)) return name;
  }
  return undefined;
}

/**
 * Whether a message that was read to its end has such a name among its headers
 * or trailers.
 *
 * @example
 * ```ts
 * if (hasInvalidHeaderName(request)) refuse();
 * ```
 */
export function hasInvalidHeaderName(message: {
  readonly rawHeaders: readonly string[];
  readonly rawTrailers: readonly string[];
}): boolean {
  return findInvalidHeaderName(message.rawHeaders) !== undefined ||
    findInvalidHeaderName(message.rawTrailers) !== undefined;
}
