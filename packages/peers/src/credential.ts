/**
 * The fleet credential: an HMAC with a key that all daemons of the fleet
 * share, over the method, the time, the caller and the number of the call.
 *
 * @module
 */

import { createHmac, timingSafeEqual } from "node:crypto";

/** How far the clocks of two VMs may differ for a credential to be taken. */
export const CREDENTIAL_WINDOW_MS = 60_000;

const SEPARATOR = ";";
const FIELD_COUNT = 5;

/** What a credential is bound to. */
export interface SignedCall {
  readonly method: string;
  readonly nowMs: number;
  /** The VM that calls. */
  readonly vmId: string;
  /** Random id of the client object that numbers its calls. */
  readonly clientId: string;
  /** Number of the call at its client, from 0. */
  readonly sequence: number;
}

/** Who made a call. */
export type VerifiedCall = Pick<
  SignedCall,
  "vmId" | "clientId" | "sequence"
>;

function computeMac(sharedKey: string, fields: readonly string[]): Buffer {
  return createHmac("sha256", sharedKey).update(fields.join("\n")).digest();
}

/**
 * Makes the credential of one call.
 *
 * @example
 * ```ts
 * const call = { method: "Charge", nowMs: Date.now(), vmId, clientId, sequence };
 * headers.set("x-fleet-credential", signCall(sharedKey, call));
 * ```
 */
export function signCall(sharedKey: string, call: SignedCall): string {
  const { method, nowMs, vmId, clientId, sequence } = call;
  const fields = [String(nowMs), vmId, clientId, String(sequence)];
  const mac = computeMac(sharedKey, [method, ...fields]);
  return [...fields, mac.toString("hex")].join(SEPARATOR);
}

function hasEqualMac(given: string, expected: Buffer): boolean {
  const bytes = Buffer.from(given, "hex");
  return bytes.length === expected.length && timingSafeEqual(bytes, expected);
}

/**
 * Gives the caller when the credential was made for this method with this key
 * lately, else undefined. Whether the number was used before is not checked
 * here; see `ReplayGuard`.
 */
export function verifyCall(
  sharedKey: string,
  options: {
    readonly method: string;
    readonly nowMs: number;
    readonly credential: string | null | undefined;
  },
): VerifiedCall | undefined {
  const parts = (options.credential ?? "").split(SEPARATOR);
  if (parts.length !== FIELD_COUNT) return undefined;
  const [signedAt, vmId, clientId, sequence, mac] = parts as [
    string,
    string,
    string,
    string,
    string,
  ];
  const age = Math.abs(options.nowMs - Number(signedAt));
  if (!(age <= CREDENTIAL_WINDOW_MS)) return undefined;
  const fields = [options.method, signedAt, vmId, clientId, sequence];
  if (!hasEqualMac(mac, computeMac(sharedKey, fields))) return undefined;
  return { vmId, clientId, sequence: Number(sequence) };
}
