/**
 * The schema of the daemon's settings, with every default.
 *
 * @module
 */

import { isIP } from "node:net";
import { z } from "zod";
import { brandId, type FailureDomainId, type VmId } from "@endivebend/types";
import { isAddress } from "./address.ts";

/**
 * Shortest accepted shared key in characters; 32 hexadecimal characters carry
 * 128 bits.
 */
export const MIN_SHARED_KEY_CHARS = 32;

const MAX_PORT = 65_535;
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const DIGEST_PATTERN = /^[0-9a-f]{64}$/;
const METRIC_PREFIX_PATTERN = /^[A-Za-z][A-Za-z0-9_.]*$/;

const nameSchema = z.string().regex(
  NAME_PATTERN,
  "a name of letters, digits, '.', '_' and '-', at most 63 characters",
);
const vmIdSchema = nameSchema.transform((name) => brandId<VmId>(name));
const failureDomainSchema = nameSchema.transform((name) =>
  brandId<FailureDomainId>(name)
);
const addressSchema = z.string().refine(isAddress, {
  error: "an IP address and a port, such as 10.0.0.4:7001 or [fd00::4]:7001",
});
const hostSchema = z.string().refine((host) => isIP(host) !== 0, {
  error: "an IP address, such as 10.0.0.4; host names are not resolved",
});
const fileSchema = z.string().min(1);

/** The longest delay of a Node.js timer in ms, about 24 days. */
const MAX_TIMER_MS = 2_147_483_647;

function positiveInt(fallback: number) {
  return z.int().min(1).default(fallback);
}

function timerMs(fallback: number) {
  return z.int().min(1).max(MAX_TIMER_MS).default(fallback);
}

const tlsSchema = z.strictObject({
  certFile: fileSchema,
  keyFile: fileSchema,
  caFile: fileSchema.optional(),
});

const listenerSchema = z.strictObject({
  host: hostSchema,
  port: z.int().min(0).max(MAX_PORT),
  tls: tlsSchema.optional(),
});

const limitsSchema = z.strictObject({
  maxHeaderBytes: positiveInt(16_384),
  maxBodyBytes: positiveInt(8_388_608),
  maxConnections: positiveInt(10_000),
  requestTimeoutMs: timerMs(300_000),
  headersTimeoutMs: timerMs(10_000),
  queueWaitMs: timerMs(10_000),
  defaultMaxTokens: positiveInt(256),
  streamProgressMs: timerMs(5_000),
  drainGraceMs: z.int().min(0).max(MAX_TIMER_MS).default(5_000),
  loanLeaseMs: timerMs(1_000),
  floorFraction: z.number().min(0).max(1).default(0),
});

/** The schema of a whole settings file. */
export const settingsSchema = z.strictObject({
  vmId: vmIdSchema,
  failureDomain: failureDomainSchema,
  fleet: z.strictObject({
    failureDomains: z.array(failureDomainSchema).min(1),
    region: nameSchema,
  }),
  listen: z.strictObject({
    callers: listenerSchema,
    operators: listenerSchema,
    peers: listenerSchema,
  }),
  advertise: z.strictObject({
    callers: addressSchema.optional(),
    operators: addressSchema.optional(),
    peers: addressSchema.optional(),
  }).prefault({}),
  platform: z.strictObject({
    address: addressSchema,
    /** Timeout of one call, excluding the wait of a long poll. */
    timeoutMs: timerMs(2_000),
    pollWaitMs: timerMs(5_000),
    /** How long the platform's log keeps a record. */
    logRetentionMs: positiveInt(86_400_000),
  }),
  peers: z.strictObject({
    sharedKey: z.string().min(MIN_SHARED_KEY_CHARS),
    addresses: z.array(z.strictObject({
      vmId: vmIdSchema,
      address: addressSchema,
      failureDomain: failureDomainSchema,
    })).default([]),
    exchangeIntervalMs: timerMs(500),
    timeoutMs: timerMs(1_000),
  }),
  operators: z.strictObject({
    keys: z.array(z.strictObject({
      name: nameSchema,
      sha256: z.string().regex(
        DIGEST_PATTERN,
        "the SHA-256 digest of an operator key, 64 lower-case hexadecimal digits",
      ),
    })).min(1),
  }),
  limits: limitsSchema.prefault({}),
  log: z.strictObject({
    level: z.enum(["debug", "info", "warn", "error", "silent"]).default("info"),
  }).prefault({}),
  metrics: z.strictObject({
    address: addressSchema,
    prefix: z.string().regex(
      METRIC_PREFIX_PATTERN,
      "letters, digits, '_' and '.', starting with a letter",
    ).default("endivebend"),
  }).optional(),
  traces: z.strictObject({
    otlpAddress: addressSchema,
    sampleRatio: z.number().min(0).max(1).default(0.01),
  }).optional(),
});

/** The daemon's settings with all defaults applied. */
export type Settings = z.output<typeof settingsSchema>;

/** One of the daemon's three listeners. */
export type ListenerSettings = Settings["listen"]["callers"];

/** TLS files of a listener; `caFile` makes client certificates mandatory. */
export type TlsSettings = z.output<typeof tlsSchema>;
