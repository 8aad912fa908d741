/**
 * The fleet credential: an HMAC over the method and a timestamp with a key
 * that all daemons of the fleet share.
 *
 * @module
 */

import { createHmac, timingSafeEqual } from "node:crypto";

/** How far the clocks of two VMs may differ for a credential to be taken. */
export const CREDENTIAL_WINDOW_MS = 60_000;

function computeMac(sharedKey: string, message: string): Buffer {
  return createHmac("sha256", sharedKey).update(message).digest();
}

/**
 * Makes the credential of one call.
 *
 * @example
 * ```ts
 * headers.set("x-fleet-credential", signCall(key, { method, nowMs }));
 * ```
 */
export function signCall(
  sharedKey: string,
  options: { readonly method: string; readonly nowMs: number },
): string {
  const message = `${options.method}\n${options.nowMs}`;
  return `${options.nowMs}.${computeMac(sharedKey, message).toString("hex")}`;
}

/** Tells whether a credential was made for this method with this key lately. */
export function verifyCall(
  sharedKey: string,
  options: {
    readonly method: string;
    readonly nowMs: number;
    readonly credential: string | null;
  },
): boolean {
  const [signedAt, mac] = (options.credential ?? "").split(".");
  if (signedAt === undefined || mac === undefined) return false;
  const age = Math.abs(options.nowMs - Number(signedAt));
  if (!(age <= CREDENTIAL_WINDOW_MS)) return false;
  const expected = computeMac(sharedKey, `${options.method}\n${signedAt}`);
  const given = Buffer.from(mac, "hex");
  return given.length === expected.length && timingSafeEqual(given, expected);
}
