/**
 * Numeric addresses of the form `ip:port`.
 *
 * @module
 */

import { isIP } from "node:net";

const MAX_PORT = 65_535;
const ADDRESS_PATTERN = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/;

/** An address split into its parts. */
export interface ParsedAddress {
  /** IP address without brackets. */
  readonly host: string;
  readonly port: number;
}

/**
 * Splits `ip:port` or `[ipv6]:port`; returns undefined when the text is not a
 * numeric address.
 *
 * @example
 * ```ts
 * parseAddress("[fd00::4]:7001"); // { host: "fd00::4", port: 7001 }
 * ```
 */
export function parseAddress(text: string): ParsedAddress | undefined {
  const match = ADDRESS_PATTERN.exec(text);
  const host = match?.[1] ?? match?.[2];
  if (host === undefined) return undefined;
  const expectedFamily = match?.[1] === undefined ? 4 : 6;
  if (isIP(host) !== expectedFamily) return undefined;
  const port = Number(match?.[3]);
  if (port < 1 || port > MAX_PORT) return undefined;
  return { host, port };
}

/** Returns whether the text is a numeric address with a port. */
export function isAddress(text: string): boolean {
  return parseAddress(text) !== undefined;
}
