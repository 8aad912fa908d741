/**
 * Reads the JSON settings file that the platform writes for each process.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import type { FrontSettings } from "@endivebend/front";
import { brandId, type FailureDomainId, type VmId } from "@endivebend/types";
import type { ProcessLimits } from "./connection_limit.ts";

/** The settings of one daemon. */
export interface PlatformSettings extends FrontSettings {
  /** Endpoint that callers connect to. */
  readonly callers: Endpoint;
  /** Endpoint of the load balancer's readiness probes. */
  readonly readiness: Endpoint;
  /** Endpoint that serves counters and histograms. */
  readonly metrics: Endpoint;
  /** IP and port of the platform's metadata store. */
  readonly storeAddress: string;
  readonly storeRates: StoreRates;
  /** What the daemon may hold of requests, answers and reports, in bytes. */
  readonly messageBytes: number;
  readonly processLimits: ProcessLimits;
}

/** What the store takes and keeps. */
export interface StoreRates {
  /** Write calls a second from all daemons together. */
  readonly writesPerS: number;
  /** How long the log keeps a record. */
  readonly keepMs: number;
}

/** Values where the settings name none, from the users' data sheets. */
const DEFAULT_WRITES_PER_S = 400;
const DEFAULT_KEEP_S = 300;

/** An address to listen on. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** The environment variable that holds the path of the settings file. */
const SETTINGS_VARIABLE = "ENDIVEBEND_CONFIG";

/** The port that `deploy/system.toml` names for metrics. */
const METRICS_PORT = 9_464;

/**
 * Share of the process's memory for what it holds of messages. Growing and
 * garbage take up to three times as much, and the rest is the program's own.
 */
const MESSAGE_MEMORY_SHARE = 1 / 8;
const BYTES_PER_MB = 1_048_576;

type Fields = Readonly<Record<string, unknown>>;

/**
 * Reads the settings file whose path {@link SETTINGS_VARIABLE} holds. Throws
 * when the variable is not set, and as {@link parseSettings} does.
 */
export function readSettings(): PlatformSettings {
  const path = process.env[SETTINGS_VARIABLE];
  if (path === undefined) {
    throw new Error(
      `${SETTINGS_VARIABLE} is not set; set it to the settings file's path`,
    );
  }
  return parseSettings(readFileSync(path, "utf8"));
}

/**
 * Parses and checks settings. Throws an error that names the first table or
 * value that is missing or of another type.
 *
 * @example
 * ```ts
 * const settings = parseSettings('{"node": "vm-1", ...}');
 * ```
 */
export function parseSettings(text: string): PlatformSettings {
  const root = JSON.parse(text) as Fields;
  const listen = requireTable(root, "listen");
  const bounds = requireTable(root, "bounds");
  const provider = requireTable(root, "provider");
  const limits = requireTable(root, "limits");
  const memoryBytes = requireNumber(limits, "memory_mb") * BYTES_PER_MB;
  const ports = root["port_range"];
  const seeds = Array.isArray(root["seeds"]) ? root["seeds"] : [];
  return {
    vm: brandId<VmId>(requireString(root, "node")),
    ip: requireString(root, "ip"),
    failureDomain: brandId<FailureDomainId>(requireString(root, "zone")),
    callers: parseEndpoint(requireString(listen, "front")),
    readiness: parseEndpoint(requireString(listen, "readiness")),
    metrics: { host: requireString(root, "ip"), port: METRICS_PORT },
    firstPeerPort: requireNumber(
      { port_range: (ports as unknown[])?.[0] },
      "port_range",
    ),
    seedIps: seeds.map((seed) => parseEndpoint(String(seed)).host),
    storeAddress: requireString(provider, "address"),
    storeRates: {
      writesPerS: numberOr(provider["writes_per_s"], DEFAULT_WRITES_PER_S),
      keepMs: numberOr(provider["keep_s"], DEFAULT_KEEP_S) * 1_000,
    },
    messageBytes: memoryBytes * MESSAGE_MEMORY_SHARE,
    processLimits: {
      memoryBytes,
      maxDescriptors: numberOr(limits["max_fds"], Number.POSITIVE_INFINITY),
    },
    graceMs: requireNumber(bounds, "grace_s") * 1_000,
    leaseMs: requireNumber(bounds, "lease_ms"),
    weightsBoundMs: requireNumber(bounds, "version_ms"),
    bounds: {
      tolerance: {
        overshootShare: requireNumber(bounds, "quota_overshoot"),
        slackUnits: requireNumber(bounds, "quota_slack"),
        windowMs: requireNumber(bounds, "quota_window_s") * 1_000,
      },
      repeats: {
        windowMs: requireNumber(bounds, "budget_window_s") * 1_000,
        share: requireNumber(bounds, "retry_budget_ratio"),
        slack: requireNumber(bounds, "retry_budget_slack"),
      },
    },
    ...parseRolloutBounds(bounds),
  };
}

/** Absent where the deployment does not roll versions out. */
function parseRolloutBounds(
  bounds: Fields,
): Pick<PlatformSettings, "rolloutBounds"> {
  const names = ["expose_share", "expose_slack", "rollback_ms"];
  if (names.some((name) => bounds[name] === undefined)) return {};
  return {
    rolloutBounds: {
      exposeShare: requireNumber(bounds, "expose_share"),
      exposeSlack: requireNumber(bounds, "expose_slack"),
      rollbackMs: requireNumber(bounds, "rollback_ms"),
    },
  };
}

function parseEndpoint(text: string): Endpoint {
  const [host = "", port = ""] = text.split(":");
  return { host, port: Number(port) };
}

function requireTable(fields: Fields, name: string): Fields {
  const value = fields[name];
  if (typeof value === "object" && value !== null) return value as Fields;
  throw new Error(
    `The settings have no table "${name}"; add it to the settings file`,
  );
}

function requireString(fields: Fields, name: string): string {
  const value = fields[name];
  if (typeof value === "string" && value !== "") return value;
  throw new Error(
    `The setting "${name}" is not a non-empty string; set it to one`,
  );
}

function requireNumber(fields: Fields, name: string): number {
  const value = fields[name];
  if (typeof value === "number" && Number.isFinite(value)) return value;
  throw new Error(
    `The setting "${name}" is not a finite number; set it to one`,
  );
}

function numberOr(value: unknown, fallback: number): number {
  return typeof value === "number" && Number.isFinite(value) && value > 0
    ? value
    : fallback;
}
