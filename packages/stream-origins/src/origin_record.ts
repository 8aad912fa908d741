/**
 * The records in which daemons tell of the streams that they have begun.
 *
 * @module
 */

import type { LogPosition } from "@endivebend/fleet";
import type { SoftwareVersion } from "@endivebend/request-path";
import type { ServiceName } from "@endivebend/types";
import type { StreamKey } from "./stream_key.ts";

/** What a record says of one service. */
export type ServiceOrigins =
  | {
    readonly kind: "mixed";
    /** Versions of the servers that the writer has listed; null if unknown. */
    readonly listed: readonly (SoftwareVersion | null)[];
    /** Streams by the version that began them; "" where it is unknown. */
    readonly streams: Readonly<Record<SoftwareVersion, readonly StreamKey[]>>;
  }
  /**
   * The version alone has served for as long as a stream can live. Holds unless
   * a record at `readTo` or after tells that the service is mixed, which the
   * writer had not read.
   */
  | {
    readonly kind: "settled";
    readonly version: SoftwareVersion;
    readonly readTo: LogPosition;
  };

/** A record of the log. */
export interface OriginRecord {
  readonly services: Readonly<Record<ServiceName, ServiceOrigins>>;
}

type Fields = Readonly<Record<string, unknown>>;

/**
 * Encodes a record.
 *
 * @example
 * ```ts
 * const bytes = encodeOriginRecord({ services });
 * ```
 */
export function encodeOriginRecord(record: OriginRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}

/** Decodes a record; undefined when it has another form. */
export function decodeOriginRecord(bytes: Buffer): OriginRecord | undefined {
  try {
    const record = JSON.parse(bytes.toString("utf8")) as unknown;
    return isOriginRecord(record) ? record : undefined;
  } catch {
    return undefined;
  }
}

function isOriginRecord(value: unknown): value is OriginRecord {
  return isObject(value) && isObject(value["services"]) &&
    Object.values(value["services"]).every(isServiceOrigins);
}

function isServiceOrigins(value: unknown): value is ServiceOrigins {
  if (!isObject(value)) return false;
  const { kind, version, readTo, listed, streams } = value;
  if (kind === "settled") {
    return typeof version === "string" && Number.isSafeInteger(readTo);
  }
  return kind === "mixed" && Array.isArray(listed) && isObject(streams) &&
    listed.every((item) => item === null || typeof item === "string") &&
    Object.values(streams).every(isTexts);
}

function isTexts(value: unknown): boolean {
  return Array.isArray(value) &&
    value.every((item) => typeof item === "string");
}

function isObject(value: unknown): value is Fields {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
