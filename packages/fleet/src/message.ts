/**
 * What one daemon tells the others, in one datagram.
 *
 * @module
 */

import { deflateRawSync, inflateRawSync } from "node:zlib";
import type {
  BackendServerId,
  FailureDomainId,
  IncarnationId,
  ModelName,
  TeamId,
  VmId,
} from "@endivebend/types";

/** Requests and prompt tokens of the sender at one backend server. */
export type WorkAtServer = readonly [running: number, prefillTokens: number];

/** Weights that an order brought, or brings, to a backend server. */
export interface WeightsProgress {
  readonly server: BackendServerId;
  readonly model: ModelName;
  readonly weights: number;
  /** False while the server still takes them. */
  readonly isDone: boolean;
}

/** The number of a model's weights, and how long they have been known. */
export type NamedWeightsAge = readonly [weights: number, ageMs: number];

/** A prompt part and how many of its tokens are kept; 0 when it was dropped. */
export type CacheChange = readonly [part: string, tokens: number];

/** What the sender says about the duty to bring engines to new weights. */
export interface RolloutLeaseState {
  /** The epoch under which the sender holds the duty; 0 when it doesn't. */
  readonly epoch: number;
}

/** The state of the sender; each message replaces the one before. */
export interface GossipMessage {
  readonly vm: VmId;
  readonly incarnation: IncarnationId;
  readonly failureDomain: FailureDomainId;
  /** Where the sender takes datagrams. */
  readonly address: string;
  /** Orders the messages of one incarnation. */
  readonly sequence: number;
  /** True when the sender ends; it says nothing more after it. */
  readonly isLeaving: boolean;
  /** Whether the sender has reached the store lately. */
  readonly reachesStore: boolean;
  readonly duty: RolloutLeaseState;
  /** Units spent by each team since the sender started. */
  readonly spent: Readonly<Record<TeamId, number>>;
  readonly work: Readonly<Record<BackendServerId, WorkAtServer>>;
  readonly weights: readonly WeightsProgress[];
  /** Weights named for each model, and how long the sender has known them. */
  readonly named: Readonly<Record<ModelName, readonly NamedWeightsAge[]>>;
  /** Backend servers that have fallen silent towards the sender. */
  readonly suspects: readonly BackendServerId[];
  /** Prompt parts that the sender has lately placed in each memory. */
  readonly placed: Readonly<Record<string, readonly string[]>>;
  /** What the memories that the sender watches have stored and dropped. */
  readonly kept: Readonly<Record<string, readonly CacheChange[]>>;
  /** The offset of the newest record that the sender holds, by topic. */
  readonly records: Readonly<Record<string, number>>;
  /** How long ago the sender itself read each topic from the store. */
  readonly readAgesMs: Readonly<Record<string, number>>;
}

/** A message holds some 3 KB of JSON; a larger text is none. */
const MAX_INFLATED_BYTES = 1_048_576;

/** Makes the datagram; bytes between failure domains are charged. */
export function encodeGossipMessage(message: GossipMessage): Buffer {
  return deflateRawSync(JSON.stringify(message));
}

/** Reads a datagram; undefined when it isn't a message of this format. */
export function parseGossipMessage(bytes: Buffer): GossipMessage | undefined {
  try {
    const text = inflateRawSync(bytes, { maxOutputLength: MAX_INFLATED_BYTES });
    const value = JSON.parse(text.toString("utf8")) as Partial<GossipMessage>;
    const isMessage = typeof value.vm === "string" &&
      typeof value.incarnation === "string" &&
      typeof value.address === "string" &&
      typeof value.sequence === "number" &&
      typeof value.spent === "object" && value.spent !== null &&
      typeof value.work === "object" && value.work !== null &&
      typeof value.records === "object" && value.records !== null &&
      typeof value.readAgesMs === "object" && value.readAgesMs !== null &&
      typeof value.duty === "object" && value.duty !== null &&
      typeof value.named === "object" && value.named !== null &&
      typeof value.placed === "object" && value.placed !== null &&
      typeof value.kept === "object" && value.kept !== null &&
      Array.isArray(value.suspects) && Array.isArray(value.weights);
    return isMessage ? value as GossipMessage : undefined;
  } catch {
    return undefined;
  }
}
