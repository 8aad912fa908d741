/**
 * Checks addresses that others have written, before a socket is opened to them.
 *
 * @module
 */

import { isIPv4 } from "node:net";

const PORT = /^[1-9]\d{0,4}$/;
const MAX_PORT = 65_535;

/**
 * Whether the value is an IPv4 address and a port, separated by a colon. Host
 * names are none, as they would be asked of name resolution.
 *
 * @example
 * ```ts
 * isIpAndPort("10.1.0.2:8080"); // true
 * isIpAndPort("10.1.0.2:99999"); // false
 * ```
 */
export function isIpAndPort(value: unknown): value is string {
  if (typeof value !== "string") return false;
  const [ip = "", port = "", ...rest] = value.split(":");
  return rest.length === 0 && isIPv4(ip) && PORT.test(port) &&
    Number(port) <= MAX_PORT;
}
