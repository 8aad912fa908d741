/**
 * The gossip message that a daemon sends to the others, in one datagram.
 *
 * @module
 */

import { deflateRawSync, inflateRawSync } from "node:zlib";
import type {
  BackendServerId,
  FailureDomainId,
  IncarnationId,
  ModelName,
  ServiceName,
  TeamId,
  VmId,
} from "@endivebend/types";
import type { AnswerAges, CrashReport } from "@endivebend/quarantine";
import type { RolloutNews, VersionCounts } from "@endivebend/version-rollouts";
import type { BundleRequest } from "./bundle_request.ts";
import {
  isBundleRequest,
  isGossipBundle,
  isGossipMessage,
} from "./gossip_schema.ts";

/** The sender's requests and prompt tokens at one backend server. */
export type WorkAtServer = readonly [running: number, prefillTokens: number];

/** Progress of an order to load weights at a backend server. */
export interface WeightsProgress {
  readonly server: BackendServerId;
  readonly model: ModelName;
  readonly weights: number;
  /** False while the server is still loading them. */
  readonly isDone: boolean;
}

/** A version of a model's weights, and how long it has been known. */
export type NamedWeightsAge = readonly [weights: number, ageMs: number];

/** A prompt segment and its number of cached tokens; 0 when it was evicted. */
export type CacheChange = readonly [part: string, tokens: number];

/** What an answer of a server told of its limit. */
export interface SeenServerLimit {
  readonly server: BackendServerId;
  /** Requests a second from all daemons; null when it names no limit. */
  readonly perS: number | null;
  /** Requests a second that a brittle server can turn away. */
  readonly bearsPerS?: number | undefined;
  /** Time since the answer. */
  readonly ageMs: number;
}

/** A server that said that it leaves. */
export interface LeavingServer {
  readonly server: BackendServerId;
  /** Start of the process that the sender's list names. */
  readonly startedAtMs: number;
  /** It holds for all processes that started up to this Unix time. */
  readonly untilStartMs?: number;
}

/** The sender's state in the weights rollout. */
export interface RolloutLeaseState {
  /** The epoch under which the sender holds the rollout lease; 0 without it. */
  readonly epoch: number;
  /** The newest end of the lease's log that the sender knows; 0 for none. */
  readonly logEnd?: number;
}

/** What the sender does for daemons that don't reach their servers. */
export interface ForwardingState {
  /** Services to whose servers the sender forwards requests. */
  readonly reaches: readonly ServiceName[];
  /** Requests that the sender is forwarding. */
  readonly open: number;
}

/** The state of the sender; each message replaces its earlier ones. */
export interface GossipMessage {
  readonly vm: VmId;
  readonly incarnation: IncarnationId;
  readonly failureDomain: FailureDomainId;
  /** IP address and port at which the sender receives datagrams. */
  readonly address: string;
  /** Number that increases with each message of one incarnation. */
  readonly sequence: number;
  /** True in the last message of a sender that ends. */
  readonly isLeaving: boolean;
  /** Whether the sender can reach the store. */
  readonly reachesStore: boolean;
  readonly duty: RolloutLeaseState;
  /** Units that each team has spent at the sender since the sender started. */
  readonly spent: Readonly<Record<TeamId, number>>;
  readonly work: Readonly<Record<BackendServerId, WorkAtServer>>;
  readonly weights: readonly WeightsProgress[];
  /** Named weights of each model, and how long the sender has known them. */
  readonly named: Readonly<Record<ModelName, readonly NamedWeightsAge[]>>;
  /** Backend servers that do not answer the sender. */
  readonly suspects: readonly BackendServerId[];
  /** Prompt segments that the sender lately placed in each prefix cache. */
  readonly placed: Readonly<Record<string, readonly string[]>>;
  /** Changes in the prefix caches that the sender watches. */
  readonly kept: Readonly<Record<string, readonly CacheChange[]>>;
  /** Milliseconds since each cache that the sender watches last answered. */
  readonly answerAgesMs: Readonly<Record<string, number>>;
  /** The position of the newest record that the sender holds, by topic. */
  readonly records: Readonly<Record<string, number>>;
  /** Milliseconds since the sender itself read each topic from the store. */
  readonly readAgesMs: Readonly<Record<string, number>>;
  /** Limits that servers have lately named to the sender, or ended. */
  readonly limits?: readonly SeenServerLimit[];
  /** Servers that said in an answer that they leave, with their start. */
  readonly leaving?: readonly LeavingServer[];
  /** Absent in messages of daemons that don't forward. */
  readonly forwarding?: ForwardingState;
  /** Requests a second of callers, by service, where servers name limits. */
  readonly demandPerS?: Readonly<Record<ServiceName, number>>;
  /** Engines that ended, and which answers had just begun at the sender. */
  readonly crashes?: readonly CrashReport[];
  /** Milliseconds since the sender relayed answers to suspected prompts. */
  readonly answeredAgesMs?: AnswerAges;
  /** Speeds that the sender has measured, in percent of the usual one. */
  readonly paces?: Readonly<Record<BackendServerId, number>>;
  /** Orders to move services to other software versions. */
  readonly rollouts?: readonly RolloutNews[];
  /** What the sender has counted of the answers since these orders. */
  readonly versionCounts?: readonly VersionCounts[];
}

/** A message that a relay passes on, and the time since it was received. */
export interface RelayedMessage {
  readonly message: GossipMessage;
  readonly ageMs: number;
}

/** The messages of one failure domain that a relay passes on together. */
export interface GossipBundle {
  readonly failureDomain: FailureDomainId;
  readonly messages: readonly RelayedMessage[];
}

/** A decoded datagram; the kind says what the receiver does with it. */
export type GossipDatagram =
  | { readonly kind: "message"; readonly message: GossipMessage }
  /** A message that relays pass on at once. */
  | { readonly kind: "urgent"; readonly message: GossipMessage }
  | { readonly kind: "bundle"; readonly bundle: GossipBundle }
  /** A bundle that the receiver passes on to the daemons it serves. */
  | { readonly kind: "bundle_to_serve"; readonly bundle: GossipBundle }
  | { readonly kind: "bundle_request"; readonly request: BundleRequest };

/** The kinds of datagrams, by their first byte. */
const KIND_BY_TAG: Readonly<Record<number, GossipDatagram["kind"]>> = {
  0x11: "message",
  0x12: "urgent",
  0x13: "bundle",
  0x14: "bundle_to_serve",
  0x15: "bundle_request",
};

const TAG_BY_KIND: Readonly<Record<GossipDatagram["kind"], number>> = {
  message: 0x11,
  urgent: 0x12,
  bundle: 0x13,
  bundle_to_serve: 0x14,
  bundle_request: 0x15,
};

/**
 * Set in the first byte of a bundle that was held before it was sent on. The
 * time is in the next four bytes, so that the bundle isn't encoded again.
 */
const HELD_BIT = 0x20;
const HELD_HEADER_BYTES = 4;
const MAX_HELD_MS = 0xffff_ffff;

/** Bound on the inflated size in bytes; a message has about 1 KB of JSON. */
const MAX_INFLATED_BYTES = 1_048_576;

/**
 * Encodes a datagram. It is compressed because traffic between failure domains
 * is charged.
 */
export function encodeDatagram(datagram: GossipDatagram): Buffer {
  const body = deflateRawSync(JSON.stringify(contentOf(datagram)));
  return Buffer.concat([Buffer.from([TAG_BY_KIND[datagram.kind]]), body]);
}

function contentOf(datagram: GossipDatagram) {
  if ("bundle" in datagram) return datagram.bundle;
  return "request" in datagram ? datagram.request : datagram.message;
}

/** The same datagram with another kind. */
export function withKind(
  bytes: Buffer,
  kind: GossipDatagram["kind"],
): Buffer {
  const copy = Buffer.from(bytes);
  copy[0] = TAG_BY_KIND[kind] | (bytes[0]! & HELD_BIT);
  return copy;
}

/** The same bundle with messages that are `heldMs` older. */
export function withHeldMs(bytes: Buffer, heldMs: number): Buffer {
  const header = Buffer.alloc(1 + HELD_HEADER_BYTES);
  header[0] = bytes[0]! | HELD_BIT;
  const sumMs = heldMsOf(bytes) + Math.round(heldMs);
  header.writeUInt32BE(Math.min(MAX_HELD_MS, sumMs), 1);
  return Buffer.concat([header, bodyOf(bytes)]);
}

function isHeld(bytes: Buffer): boolean {
  return ((bytes[0] ?? 0) & HELD_BIT) !== 0;
}

function heldMsOf(bytes: Buffer): number {
  const hasHeader = isHeld(bytes) && bytes.length > HELD_HEADER_BYTES;
  return hasHeader ? bytes.readUInt32BE(1) : 0;
}

function bodyOf(bytes: Buffer): Buffer {
  return bytes.subarray(1 + (isHeld(bytes) ? HELD_HEADER_BYTES : 0));
}

/** Decodes a datagram; undefined when it is not one of this format. */
export function parseDatagram(bytes: Buffer): GossipDatagram | undefined {
  const kind = KIND_BY_TAG[(bytes[0] ?? 0) & ~HELD_BIT];
  if (kind === undefined) return undefined;
  const value = inflateJson(bodyOf(bytes));
  if (kind === "message" || kind === "urgent") {
    return isGossipMessage(value) ? { kind, message: value } : undefined;
  }
  if (kind === "bundle_request") {
    return isBundleRequest(value) ? { kind, request: value } : undefined;
  }
  if (!isGossipBundle(value)) return undefined;
  const heldMs = heldMsOf(bytes);
  return { kind, bundle: heldMs === 0 ? value : agedBy(value, heldMs) };
}

function agedBy(bundle: GossipBundle, heldMs: number): GossipBundle {
  const messages = bundle.messages.map(({ message, ageMs }) => ({
    message,
    ageMs: ageMs + heldMs,
  }));
  return { ...bundle, messages };
}

function inflateJson(bytes: Buffer): unknown {
  try {
    const text = inflateRawSync(bytes, { maxOutputLength: MAX_INFLATED_BYTES });
    return JSON.parse(text.toString("utf8"));
  } catch {
    return undefined;
  }
}
