/**
 * Checks decoded gossip messages field by field, so that a message of another
 * build or of a stranger can't raise an error later.
 *
 * @module
 */

import { isIpAndPort } from "@endivebend/http-syntax";
import type { BundleRequest } from "./bundle_request.ts";
import type { GossipBundle, GossipMessage } from "./gossip_message.ts";

type Check = (value: unknown) => boolean;

/** Longer names are not used on any deployment. */
const MAX_NAME_LENGTH = 256;
/** Bound on the entries of a list or an object; a fleet has 1,000 servers. */
const MAX_ENTRIES = 20_000;

const isName: Check = (value) =>
  typeof value === "string" && value.length <= MAX_NAME_LENGTH;
const isNumber: Check = (value) =>
  typeof value === "number" && Number.isFinite(value);
const isCount: Check = (value) => isNumber(value) && (value as number) >= 0;
const isFlag: Check = (value) => typeof value === "boolean";

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** An object whose values all pass the check. */
function isMapOf(check: Check): Check {
  return (value) => {
    if (!isObject(value)) return false;
    let entries = 0;
    // Without a list of entries, as each daemon checks hundreds a second.
    for (const name in value) {
      entries += 1;
      if (entries > MAX_ENTRIES || !isName(name) || !check(value[name])) {
        return false;
      }
    }
    return true;
  };
}

function isListOf(check: Check): Check {
  return (value) =>
    Array.isArray(value) && value.length <= MAX_ENTRIES && value.every(check);
}

/** An array with exactly one item for each check. */
function isTuple(...checks: readonly Check[]): Check {
  return (value) =>
    Array.isArray(value) && value.length === checks.length &&
    checks.every((check, index) => check(value[index]));
}

/** Absent in messages of daemons of an earlier build. */
function isOptional(check: Check): Check {
  return (value) => value === undefined || check(value);
}

/** An object whose named fields pass their checks. */
function hasFields(checks: Readonly<Record<string, Check>>): Check {
  const fields = Object.entries(checks);
  return (value) =>
    isObject(value) && fields.every(([name, check]) => check(value[name]));
}

const ROLLOUT_PHASES: ReadonlySet<unknown> = new Set([
  "running",
  "stopped",
  "succeeded",
  "rolled_back",
]);

/** The counters of one route; see `RouteCounts`. */
const isRouteCounts = isTuple(
  isCount,
  isCount,
  isCount,
  isCount,
  isCount,
  isCount,
  isCount,
  isCount,
);

const MESSAGE_CHECKS: Readonly<Record<keyof GossipMessage, Check>> = {
  vm: isName,
  incarnation: isName,
  failureDomain: isName,
  address: isIpAndPort,
  sequence: isCount,
  isLeaving: isFlag,
  reachesStore: isFlag,
  duty: hasFields({ epoch: isCount, logEnd: isOptional(isCount) }),
  spent: isMapOf(isNumber),
  work: isMapOf(isTuple(isCount, isCount)),
  weights: isListOf(hasFields({
    server: isName,
    model: isName,
    weights: isCount,
    isDone: isFlag,
  })),
  named: isMapOf(isListOf(isTuple(isCount, isCount))),
  suspects: isListOf(isName),
  placed: isMapOf(isListOf(isName)),
  kept: isMapOf(isListOf(isTuple(isName, isCount))),
  answerAgesMs: isMapOf(isCount),
  records: isMapOf(isNumber),
  readAgesMs: isMapOf(isCount),
  limits: isOptional(isListOf(hasFields({
    server: isName,
    perS: (value) => value === null || isCount(value),
    bearsPerS: isOptional(isCount),
    ageMs: isCount,
  }))),
  leaving: isOptional(isListOf(hasFields({
    server: isName,
    startedAtMs: isCount,
    untilStartMs: isOptional(isCount),
  }))),
  forwarding: isOptional(hasFields({
    reaches: isListOf(isName),
    open: isCount,
  })),
  demandPerS: isOptional(isMapOf(isCount)),
  crashes: isOptional(isListOf(hasFields({
    server: isName,
    startedAtMs: isCount,
    ageMs: isCount,
    suspects: isListOf(isTuple(isName, isCount)),
  }))),
  answeredAgesMs: isOptional(isMapOf(isCount)),
  paces: isOptional(isMapOf(isCount)),
  rollouts: isOptional(isListOf(hasFields({
    service: isName,
    to: isName,
    order: isCount,
    durationMs: isCount,
    ageMs: isCount,
    isAgeGuessed: isOptional(isFlag),
    phase: (value) => ROLLOUT_PHASES.has(value),
    applied: isCount,
    barred: isOptional(isListOf(isName)),
    plan: isOptional(hasFields({
      epoch: isCount,
      share: isCount,
      servers: isListOf(isName),
      validMs: isCount,
    })),
  }))),
  versionCounts: isOptional(isListOf(hasFields({
    service: isName,
    order: isCount,
    routes: isMapOf(isRouteCounts),
    doubtful: isOptional(isMapOf(isMapOf(isTuple(isCount, isCount)))),
    requests: isCount,
    exposed: isNumber,
  }))),
};

const isGossip = hasFields(MESSAGE_CHECKS);

/**
 * Whether a decoded value is a gossip message.
 *
 * @example
 * ```ts
 * const value: unknown = JSON.parse(text);
 * if (isGossipMessage(value)) receive(value);
 * ```
 */
export function isGossipMessage(value: unknown): value is GossipMessage {
  return isGossip(value);
}

const isBundle = hasFields({
  failureDomain: isName,
  messages: isListOf(hasFields({ message: isGossip, ageMs: isCount })),
});

/** Whether a decoded value is a bundle of gossip messages. */
export function isGossipBundle(value: unknown): value is GossipBundle {
  return isBundle(value);
}

const isRequest = hasFields({
  failureDomain: isName,
  address: isIpAndPort,
  isRelay: isFlag,
});

/** Whether a decoded value is a request for a bundle. */
export function isBundleRequest(value: unknown): value is BundleRequest {
  return isRequest(value);
}
