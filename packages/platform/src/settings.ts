/**
 * Reads the settings file that the platform renders for a process.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import type { FrontSettings } from "@endivebend/front";
import { brandId, type FailureDomainId, type VmId } from "@endivebend/types";

/** The settings of one daemon. */
export interface PlatformSettings extends FrontSettings {
  /** Where callers connect. */
  readonly callers: Endpoint;
  /** Where the platform asks whether the daemon takes callers. */
  readonly readiness: Endpoint;
  /** Where counters and histograms are served. */
  readonly metrics: Endpoint;
  readonly storeAddress: string;
}

/** An address to listen on. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** The environment variable that names the settings file. */
const SETTINGS_VARIABLE = "ENDIVEBEND_CONFIG";

/** The port that `deploy/system.toml` names for metrics. */
const METRICS_PORT = 9_464;

type Fields = Readonly<Record<string, unknown>>;

/** Reads the file that the environment names. */
export function readSettings(): PlatformSettings {
  const path = process.env[SETTINGS_VARIABLE];
  if (path === undefined) {
    throw new Error(
      `Set ${SETTINGS_VARIABLE} to the path of the settings file`,
    );
  }
  return parseSettings(readFileSync(path, "utf8"));
}

/**
 * Parses and checks settings.
 *
 * @example
 * ```ts
 * const settings = parseSettings('{"node": "vm-1", ...}');
 * ```
 */
export function parseSettings(text: string): PlatformSettings {
  const root = JSON.parse(text) as Fields;
  const listen = fieldsOf(root, "listen");
  const bounds = fieldsOf(root, "bounds");
  const provider = fieldsOf(root, "provider");
  const ports = root["port_range"];
  const seeds = Array.isArray(root["seeds"]) ? root["seeds"] : [];
  return {
    vm: brandId<VmId>(textOf(root, "node")),
    ip: textOf(root, "ip"),
    failureDomain: brandId<FailureDomainId>(textOf(root, "zone")),
    callers: parseEndpoint(textOf(listen, "front")),
    readiness: parseEndpoint(textOf(listen, "readiness")),
    metrics: { host: textOf(root, "ip"), port: METRICS_PORT },
    firstPeerPort: numberOf(
      { port_range: (ports as unknown[])?.[0] },
      "port_range",
    ),
    seedIps: seeds.map((seed) => parseEndpoint(String(seed)).host),
    storeAddress: textOf(provider, "address"),
    graceMs: numberOf(bounds, "grace_s") * 1_000,
    leaseMs: numberOf(bounds, "lease_ms"),
    weightsBoundMs: numberOf(bounds, "version_ms"),
    bounds: {
      tolerance: {
        overshootShare: numberOf(bounds, "quota_overshoot"),
        slackUnits: numberOf(bounds, "quota_slack"),
        windowMs: numberOf(bounds, "quota_window_s") * 1_000,
      },
      repeats: {
        windowMs: numberOf(bounds, "budget_window_s") * 1_000,
        share: numberOf(bounds, "retry_budget_ratio"),
        slack: numberOf(bounds, "retry_budget_slack"),
      },
    },
  };
}

function parseEndpoint(text: string): Endpoint {
  const [host = "", port = ""] = text.split(":");
  return { host, port: Number(port) };
}

function fieldsOf(fields: Fields, name: string): Fields {
  const value = fields[name];
  if (typeof value === "object" && value !== null) return value as Fields;
  throw new Error(`Add the table "${name}" to the settings file`);
}

function textOf(fields: Fields, name: string): string {
  const value = fields[name];
  if (typeof value === "string" && value !== "") return value;
  throw new Error(`Set "${name}" in the settings file to a text`);
}

function numberOf(fields: Fields, name: string): number {
  const value = fields[name];
  if (typeof value === "number" && Number.isFinite(value)) return value;
  throw new Error(`Set "${name}" in the settings file to a number`);
}
