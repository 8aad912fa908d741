/**
 * Decides which daemons read a topic from the store themselves. Answers a
 * fleet in which each daemon would ask the store several times a second: one
 * of each failure domain reads and the others take its records.
 *
 * @module
 */

import { rankByRendezvous } from "@endivebend/routing";
import type { FailureDomainId, VmId } from "@endivebend/types";
import type { FleetMember } from "./fleet_state.ts";

/** What a daemon knows when it considers reading. */
export interface TopicReadInput {
  readonly self: VmId;
  readonly failureDomain: FailureDomainId;
  readonly topic: string;
  /** The newest record that this daemon holds. */
  readonly heldOffset: number;
  /** When this daemon itself last read the topic. */
  readonly ownReadAtMs: number;
  /** The other daemons in reach. */
  readonly peers: readonly FleetMember[];
  readonly nowMs: number;
}

/** Without a read of its failure domain for this long, a daemon reads. */
const READ_SILENCE_TIMEOUT_MS = 1_200;
/** The next in order takes over first, so that not all read at once. */
const RANK_DELAY_MS = 100;
/** With many daemons of a failure domain ended at once, no longer than this. */
const MAX_DELAYED_RANK = 5;

/**
 * Whether this daemon should read the topic now.
 *
 * @example
 * ```ts
 * if (shouldRead({ self, failureDomain, topic, ...rest })) await read();
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
  const readAtMs = Math.max(
    input.ownReadAtMs,
    ...sameDomainPeers.map((peer) => reportedReadAtMs(peer, input)),
  );
  const delayMs = Math.min(ownRank, MAX_DELAYED_RANK) * RANK_DELAY_MS;
  return nowMs - readAtMs > READ_SILENCE_TIMEOUT_MS + delayMs;
}

/** When the peer read the topic, if this daemon has what it read. */
function reportedReadAtMs(
  { message, heardAtMs }: FleetMember,
  { topic, heldOffset }: TopicReadInput,
): number {
  const ageMs = message?.readAgesMs[topic];
  const offset = message?.records[topic] ?? -1;
  if (ageMs === undefined || offset > heldOffset) {
    return Number.NEGATIVE_INFINITY;
  }
  return heardAtMs - ageMs;
}
