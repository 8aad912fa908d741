/**
 * Decides which daemons read a topic from the store themselves. If every daemon
 * of a fleet read, the store would be asked several times a second by each. So
 * one daemon of each failure domain reads, and the others take its records.
 *
 * @module
 */

import { rankByRendezvous } from "@endivebend/routing";
import type { FailureDomainId, VmId } from "@endivebend/types";
import type { FleetMember } from "./fleet_state.ts";
import { BEFORE_FIRST, type LogPosition } from "./log_position.ts";

/** Input of the decision whether to read a topic. */
export interface TopicReadInput {
  readonly self: VmId;
  readonly failureDomain: FailureDomainId;
  readonly topic: string;
  /** Position of the newest record that this daemon holds. */
  readonly held: LogPosition;
  /** When this daemon itself last read the topic. */
  readonly ownReadAtMs: number;
  /** The reachable other daemons. */
  readonly peers: readonly FleetMember[];
  readonly nowMs: number;
}

/** A daemon reads when no daemon of its failure domain did for this long. */
const READ_SILENCE_TIMEOUT_MS = 1_200;
/** Added for each rank, so that not all daemons take over reading at once. */
const RANK_DELAY_MS = 100;
/**
 * Rank up to which the delay grows, which bounds the time without a reader when
 * many daemons of a failure domain end at once.
 */
const MAX_DELAYED_RANK = 5;

/**
 * Whether this daemon should read the topic now.
 *
 * @example
 * ```ts
 * if (shouldReadTopic({ self, failureDomain, topic, ...rest })) await read();
 * ```
 */
export function shouldReadTopic(input: TopicReadInput): boolean {
  const { self, failureDomain, topic, nowMs } = input;
  const sameDomainPeers = input.peers.filter(({ message }) =>
    message?.failureDomain === failureDomain
  );
  const candidates = sameDomainPeers.filter(({ message }) =>
    message?.reachesStore
  );
  const rankedVms = rankByRendezvous(
    `${failureDomain}/${topic}`,
    [...candidates.map(({ vm }) => vm), self],
  );
  const ownRank = rankedVms.indexOf(self);
  if (ownRank === 0) return true;
  const readAtMs = topicReadAtMs({ ...input, peers: sameDomainPeers });
  const delayMs = Math.min(ownRank, MAX_DELAYED_RANK) * RANK_DELAY_MS;
  return nowMs - readAtMs > READ_SILENCE_TIMEOUT_MS + delayMs;
}

/**
 * When this daemon, or one of the peers whose records it has, last read the
 * topic; negative infinity before the first read.
 *
 * @example
 * ```ts
 * const ageMs = nowMs - topicReadAtMs({ topic, held, ownReadAtMs, peers });
 * ```
 */
export function topicReadAtMs(
  input: Pick<TopicReadInput, "topic" | "held" | "ownReadAtMs" | "peers">,
): number {
  return Math.max(
    input.ownReadAtMs,
    ...input.peers.map((peer) => reportedReadAtMs(peer, input)),
  );
}

/**
 * When the peer read the topic; negative infinity if it did not, or if it holds
 * records that this daemon lacks.
 */
function reportedReadAtMs(
  { message, heardAtMs }: FleetMember,
  { topic, held }: Pick<TopicReadInput, "topic" | "held">,
): number {
  const ageMs = message?.readAgesMs[topic];
  const position = message?.records[topic] ?? BEFORE_FIRST;
  if (ageMs === undefined || position > held) {
    return Number.NEGATIVE_INFINITY;
  }
  return heardAtMs - ageMs;
}
