/**
 * Decodes the platform's JSON records into the types of the request path.
 * Records are decoded here only, once, when they are read.
 *
 * @module
 */

import type {
  Configuration,
  ListedServer,
  RequestKind,
  Route,
  RouteName,
  ServiceRules,
  SoftwareVersion,
  TeamRules,
  WeightsVersion,
} from "@endivebend/request-path";
import { isIpAndPort } from "@endivebend/http-syntax";
import type { RolloutStatus } from "@endivebend/orders";
import {
  type BackendServerId,
  brandId,
  type FailureDomainId,
  type ModelName,
  type ServiceName,
  type TeamId,
} from "@endivebend/types";

type Fields = Readonly<Record<string, unknown>>;

/** The weights version that the operator set for a model. */
export interface NamedModelWeights {
  readonly model: ModelName;
  readonly weights: WeightsVersion;
}

/**
 * Request kinds by the platform's route types. Requests of `keyed` routes may
 * run at most once, as those of `unsafe` routes.
 */
const REQUEST_KIND_BY_ROUTE_TYPE: Readonly<Record<string, RequestKind>> = {
  safe: "repeatable",
  unsafe: "at_most_once",
  keyed: "at_most_once",
  stream: "stream",
};
/** An id stands in a header, and its key in the store has 255 bytes at most. */
const SERVER_ID = /^[\x21-\x7e]{1,255}$/;
const MAX_NAME_LENGTH = 255;
const DEFAULT_MAX_BODY_BYTES = 4_194_304;
const DEFAULT_MAX_HEADER_BYTES = 16_384;
const DEFAULT_HEADER_TIMEOUT_MS = 3_000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

/**
 * Decodes a configuration record; returns undefined when the value is not a
 * JSON object with a numeric `version`.
 *
 * @example
 * ```ts
 * const configuration = decodeConfiguration(record.value);
 * ```
 */
export function decodeConfiguration(
  value: Buffer,
): Configuration | undefined {
  const root = parseObject(value);
  const revision = root?.["version"];
  if (root === undefined || typeof revision !== "number") return undefined;
  const limits = asObject(root["limits"]) ?? {};
  const tenants = objectsOf(root["tenants"]);
  const teams = tenants.map(decodeTeam);
  const teamByKey = new Map<string, TeamRules>();
  tenants.forEach((tenant, index) => {
    for (const key of stringsOf(tenant["api_keys"])) {
      teamByKey.set(key, teams[index]!);
    }
  });
  return {
    revision,
    routes: objectsOf(root["routes"]).flatMap(decodeRoute),
    services: objectsOf(root["services"]).map(decodeService),
    cacheStores: objectsOf(root["services"])
      .map((service) => service["kv_store_addr"])
      .filter(isIpAndPort),
    teams,
    teamByKey,
    callerLimits: {
      maxHeaderBytes: numberOr(
        limits["max_header_bytes"],
        DEFAULT_MAX_HEADER_BYTES,
      ),
      maxBodyBytes: numberOr(limits["max_body_bytes"], DEFAULT_MAX_BODY_BYTES),
      headerTimeoutMs: numberOr(
        limits["header_timeout_ms"],
        DEFAULT_HEADER_TIMEOUT_MS,
      ),
      idleTimeoutMs: numberOr(
        limits["idle_timeout_ms"],
        DEFAULT_IDLE_TIMEOUT_MS,
      ),
    },
  };
}

function decodeRoute(fields: Fields): Route[] {
  const declaredKind = REQUEST_KIND_BY_ROUTE_TYPE[String(fields["type"])];
  if (declaredKind === undefined) return [];
  const trafficSplit = objectsOf(fields["traffic_split"]);
  const destinations = trafficSplit.length > 0
    ? trafficSplit.map((share) => ({
      service: brandId<ServiceName>(String(share["service"])),
      weight: numberOr(share["weight"], 0),
    }))
    : [{ service: brandId<ServiceName>(String(fields["service"])), weight: 1 }];
  const gapMs = fields["gap_target_ms"];
  return [{
    name: brandId<RouteName>(String(fields["name"])),
    host: String(fields["hostname"]).toLowerCase(),
    pathPrefix: String(fields["path_prefix"]),
    kind: declaredKind === "stream" && fields["resumable"] === true
      ? "resumable_stream"
      : declaredKind,
    timeoutMs: numberOr(fields["timeout_ms"], Number.POSITIVE_INFINITY),
    targetMs: numberOr(fields["target_latency_ms"], 1_000),
    maxGapMs: typeof gapMs === "number" ? gapMs : undefined,
    maxAttempts: numberOr(fields["attempts"], 1),
    urgency: numberOr(fields["priority"], 5),
    allowsAnonymous: fields["anonymous"] === true,
    destinations,
  }];
}

function decodeService(fields: Fields): ServiceRules {
  const engine = asObject(fields["engine"]);
  return {
    name: brandId<ServiceName>(String(fields["name"])),
    maxConnections: numberOr(fields["max_conns"], 0),
    // `stride` on the wire is the number of tokens in one stream event.
    tokensPerEvent: numberOr(engine?.["stride"], 1),
  };
}

function decodeTeam(fields: Fields): TeamRules {
  const priority = fields["priority"];
  return {
    id: brandId<TeamId>(String(fields["name"])),
    urgency: typeof priority === "number" ? priority : undefined,
    isIsolated: fields["dedicated"] === true,
    ratePerS: numberOr(fields["rate_per_s"], 0),
    burst: numberOr(fields["burst"], 0),
    unit: fields["unit"] === "tokens" ? "tokens" : "calls",
    // Despite its name, `uncached_tokens` is the cost in tokens of a request
    // that states no token counts.
    defaultTokens: numberOr(fields["uncached_tokens"], 1),
  };
}

/**
 * Decodes an entry of the list of backend servers; returns undefined for
 * entries of other writers, which lack a field or have another form.
 *
 * @example
 * ```ts
 * const server = decodeServer(record.key, record.value);
 * ```
 */
export function decodeServer(
  id: string,
  value: Buffer,
): ListedServer | undefined {
  const fields = parseObject(value);
  if (fields === undefined) return undefined;
  const { service, address, zone, slots, phase, born, seq, models } = fields;
  const isValidEntry = SERVER_ID.test(id) && isName(service) &&
    isIpAndPort(address) && isName(zone) && isCount(slots) &&
    (phase === "ready" || phase === "draining") &&
    (born === undefined || isCount(born)) &&
    (seq === undefined || isCount(seq)) &&
    (models === undefined || Array.isArray(models));
  const weights = decodeWeights(objectsOf(models));
  if (!isValidEntry || weights === undefined) return undefined;
  return {
    id: brandId<BackendServerId>(id),
    service: brandId<ServiceName>(service),
    address,
    failureDomain: brandId<FailureDomainId>(zone),
    isLeaving: phase === "draining",
    slots,
    weights,
    softwareVersion: decodeSoftwareVersion(fields["version"]),
    startedAtMs: (born as number | undefined) ?? 0,
    reportCount: isCount(seq) ? seq : 0,
  };
}

/** Undefined when the version is unknown. */
function decodeSoftwareVersion(value: unknown): SoftwareVersion | undefined {
  return isName(value) && value !== ""
    ? brandId<SoftwareVersion>(value)
    : undefined;
}

/** Skips models of another form; undefined when a value is out of range. */
function decodeWeights(
  models: readonly Fields[],
): Map<ModelName, WeightsVersion> | undefined {
  const weights = new Map<ModelName, WeightsVersion>();
  for (const { name, version } of models) {
    if (typeof name !== "string" || typeof version !== "number") continue;
    if (!isName(name) || !isCount(version)) return undefined;
    weights.set(brandId<ModelName>(name), brandId<WeightsVersion>(version));
  }
  return weights;
}

/**
 * Decodes the operator's record that sets a model's weights version; returns
 * undefined when a field is missing or of another type.
 */
export function decodeNamedWeights(
  value: Buffer,
): NamedModelWeights | undefined {
  const fields = parseObject(value);
  const model = fields?.["model"];
  const version = fields?.["version"];
  if (!isName(model) || !isCount(version)) return undefined;
  return {
    model: brandId<ModelName>(model),
    weights: brandId<WeightsVersion>(version),
  };
}

/** An order to move a service to a software version. */
export interface NamedRollout {
  readonly service: ServiceName;
  readonly to: SoftwareVersion;
  readonly durationMs: number;
}

/**
 * Decodes the operator's order to move a service to a software version; returns
 * undefined when a field is missing or of another type.
 */
export function decodeRollout(value: Buffer): NamedRollout | undefined {
  const fields = parseObject(value);
  const { service, to, duration_s: durationS } = fields ?? {};
  // Daemons tell the time in milliseconds, and reject a message without it.
  const isValid = isName(service) && service !== "" && isName(to) &&
    to !== "" && typeof durationS === "number" &&
    Number.isFinite(durationS * 1_000) && durationS > 0;
  if (!isValid) return undefined;
  return {
    service: brandId<ServiceName>(service),
    to: brandId<SoftwareVersion>(to),
    durationMs: durationS * 1_000,
  };
}

/** What the status record of a rollout states; undefined for other records. */
export function decodeRolloutStatus(
  value: Buffer,
): RolloutStatus | undefined {
  const fields = parseObject(value);
  const { service, to, phase } = fields ?? {};
  const isValid = isName(service) && isName(to) &&
    (phase === "running" || phase === "succeeded" || phase === "rolled_back");
  if (!isValid) return undefined;
  return {
    service: brandId<ServiceName>(service),
    to: brandId<SoftwareVersion>(to),
    phase,
  };
}

function parseObject(value: Buffer): Fields | undefined {
  try {
    return asObject(JSON.parse(value.toString("utf8")));
  } catch {
    return undefined;
  }
}

function asObject(value: unknown): Fields | undefined {
  const isObject = typeof value === "object" && value !== null &&
    !Array.isArray(value);
  return isObject ? value as Fields : undefined;
}

function objectsOf(value: unknown): Fields[] {
  if (!Array.isArray(value)) return [];
  return value.map(asObject).filter((item) => item !== undefined);
}

function stringsOf(value: unknown): string[] {
  if (!Array.isArray(value)) return [];
  return value.filter((item): item is string => typeof item === "string");
}

function numberOr(value: unknown, fallback: number): number {
  return typeof value === "number" && Number.isFinite(value) ? value : fallback;
}

function isCount(value: unknown): value is number {
  return typeof value === "number" && Number.isSafeInteger(value) && value >= 0;
}

/** Daemons tell names to each other, in messages refused whole for longer ones. */
function isName(value: unknown): value is string {
  return typeof value === "string" && value.length <= MAX_NAME_LENGTH;
}
