/**
 * Fetches records that peers have and this daemon lacks, so that one daemon of a
 * failure domain reads from the store for all.
 *
 * @module
 */

import { BEFORE_FIRST, type GossipMessage } from "@endivebend/fleet";
import type { DaemonParts } from "./daemon_parts.ts";
import { SERVER_READ_INTERVAL_MS, SERVER_TOPIC } from "./daemon_topics.ts";

/** The records that this daemon fetches from its peers. */
export class PeerRecordPulls {
  readonly #parts: DaemonParts;
  /**
   * Topics of which no peer's records were read yet, since the start or since a
   * restore. Peers may know what the store has lost.
   */
  readonly #unmergedTopics: Set<string>;
  #nextServerPullMs = Number.NEGATIVE_INFINITY;

  constructor(parts: DaemonParts) {
    this.#parts = parts;
    this.#unmergedTopics = new Set(parts.tables.keys());
  }

  /** Has the topic's records of some peer read once more. */
  noteUnmerged(topic: string): void {
    this.#unmergedTopics.add(topic);
  }

  /** Fetches records that a peer has and this daemon lacks. */
  pullNewer(message: GossipMessage): void {
    const nowMs = this.#parts.nowMs();
    for (const topic in message.records) {
      const position = message.records[topic]!;
      const own = this.#parts.tables.get(topic)?.newest ?? position;
      // Server records change often, so each failure domain has a daemon that
      // reads them from the store. Others fetch them within their domain, or
      // from any peer while they have none.
      const mayPull = topic !== SERVER_TOPIC || own === BEFORE_FIRST ||
        message.failureDomain === this.#parts.settings.failureDomain;
      const all = this.#unmergedTopics.has(topic);
      if ((position <= own && !all) || !mayPull) continue;
      if (topic === SERVER_TOPIC) {
        // Peers hold different records all the time; each pull brings those of
        // one of them.
        if (nowMs < this.#nextServerPullMs) continue;
        this.#nextServerPullMs = nowMs + SERVER_READ_INTERVAL_MS;
      }
      const [ip = ""] = message.address.split(":");
      const address = `${ip}:${this.#parts.settings.firstPeerPort + 1}`;
      void this.#pull(topic, { address, all });
    }
  }

  async #pull(
    topic: string,
    from: { readonly address: string; readonly all: boolean },
  ): Promise<void> {
    const { address, all } = from;
    this.#unmergedTopics.delete(topic);
    const isDone = await this.#parts.recordExchange.pull(topic, address, {
      all,
    });
    if (all && !isDone) this.#unmergedTopics.add(topic);
  }
}
