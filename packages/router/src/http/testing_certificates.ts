/**
 * Creates short-lived certificates for tests. They are encoded as DER here
 * because Node.js creates keys and signatures, but no certificates.
 *
 * @module
 */

import {
  generateKeyPairSync,
  type KeyObject,
  randomBytes,
  sign,
} from "node:crypto";

const TAG = {
  boolean: 0x01,
  integer: 0x02,
  bitString: 0x03,
  octetString: 0x04,
  objectIdentifier: 0x06,
  utf8: 0x0c,
  utcTime: 0x17,
  sequence: 0x30,
  set: 0x31,
};
const VERSION_TAG = 0xa0;
const EXTENSIONS_TAG = 0xa3;
const IP_ADDRESS_TAG = 0x87;

/** Object identifiers in DER, as hexadecimal text. */
const OID = {
  ecdsaWithSha256: "2a8648ce3d040302",
  commonName: "550403",
  basicConstraints: "551d13",
  subjectAltName: "551d11",
};
const VALIDITY_MS = 3_600_000;

function encodeDer(tag: number, ...contents: Buffer[]): Buffer {
  const content = Buffer.concat(contents);
  const length = content.length < 0x80
    ? Buffer.from([content.length])
    : Buffer.from([0x82, content.length >> 8, content.length & 0xff]);
  return Buffer.concat([Buffer.from([tag]), length, content]);
}

const sequence = (...contents: Buffer[]) =>
  encodeDer(TAG.sequence, ...contents);
const encodeOid = (hex: string) =>
  encodeDer(TAG.objectIdentifier, Buffer.from(hex, "hex"));

function encodeName(commonName: string): Buffer {
  const text = encodeDer(TAG.utf8, Buffer.from(commonName));
  return sequence(
    encodeDer(TAG.set, sequence(encodeOid(OID.commonName), text)),
  );
}

function encodeTime(atMs: number): Buffer {
  const digits = new Date(atMs).toISOString().replaceAll(/[-:T]/g, "");
  return encodeDer(TAG.utcTime, Buffer.from(`${digits.slice(2, 14)}Z`));
}

function encodeExtension(id: string, content: Buffer): Buffer {
  return sequence(encodeOid(id), encodeDer(TAG.octetString, content));
}

/** A certificate and its private key, both as PEM. */
export interface TestCertificate {
  readonly cert: string;
  readonly key: string;
  readonly commonName: string;
  readonly privateKey: KeyObject;
}

/**
 * Creates a certificate for 127.0.0.1, signed by the issuer or self-signed.
 *
 * @example
 * ```ts
 * const authority = createTestCertificate("authority");
 * const { cert, key } = createTestCertificate("daemon", authority);
 * ```
 */
export function createTestCertificate(
  commonName: string,
  issuer?: TestCertificate,
): TestCertificate {
  const { privateKey, publicKey } = generateKeyPairSync("ec", {
    namedCurve: "P-256",
  });
  const algorithm = sequence(encodeOid(OID.ecdsaWithSha256));
  const isCa = encodeDer(TAG.boolean, Buffer.from([0xff]));
  const address = encodeDer(IP_ADDRESS_TAG, Buffer.from([127, 0, 0, 1]));
  const nowMs = Date.now();
  const tbsCertificate = sequence(
    encodeDer(VERSION_TAG, encodeDer(TAG.integer, Buffer.from([2]))),
    encodeDer(TAG.integer, Buffer.concat([Buffer.from([1]), randomBytes(8)])),
    algorithm,
    encodeName(issuer?.commonName ?? commonName),
    sequence(encodeTime(nowMs - VALIDITY_MS), encodeTime(nowMs + VALIDITY_MS)),
    encodeName(commonName),
    publicKey.export({ type: "spki", format: "der" }),
    encodeDer(
      EXTENSIONS_TAG,
      sequence(
        encodeExtension(OID.basicConstraints, sequence(isCa)),
        encodeExtension(OID.subjectAltName, sequence(address)),
      ),
    ),
  );
  const signature = sign(
    "sha256",
    tbsCertificate,
    issuer?.privateKey ?? privateKey,
  );
  const certificate = sequence(
    tbsCertificate,
    algorithm,
    encodeDer(TAG.bitString, Buffer.from([0]), signature),
  );
  const lines = certificate.toString("base64").match(/.{1,64}/g) ?? [];
  return {
    commonName,
    privateKey,
    key: String(privateKey.export({ type: "pkcs8", format: "pem" })),
    cert: `-----BEGIN CERTIFICATE-----\n${
      lines.join("\n")
    }\n-----END CERTIFICATE-----\n`,
  };
}
