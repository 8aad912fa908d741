/**
 * The waiting requests of one team.
 *
 * @module
 */

import type { RequestId, TeamId } from "@endivebend/types";
import type { Lane, QueueEntry } from "./queue_types.ts";

const LANES: readonly Lane[] = ["short", "long"];

/**
 * One team's waiting requests in two lanes, with the team's virtual time.
 *
 * @example
 * ```ts
 * const backlog = new TeamBacklog(team);
 * backlog.add(entry, "short");
 * ```
 */
export class TeamBacklog {
  readonly team: TeamId;
  /** Virtual time: tokens served to the team, on the queue's virtual clock. */
  virtualTime = 0;
  readonly #tokens: Record<Lane, number> = { short: 0, long: 0 };
  readonly #lanes: Record<Lane, Map<RequestId, QueueEntry>> = {
    short: new Map(),
    long: new Map(),
  };

  constructor(team: TeamId) {
    this.team = team;
  }

  get count(): number {
    return this.#lanes.short.size + this.#lanes.long.size;
  }

  /** Sum of `costTokens` of the waiting requests. */
  get tokens(): number {
    return this.#tokens.short + this.#tokens.long;
  }

  laneTokens(lane: Lane): number {
    return this.#tokens[lane];
  }

  add(entry: QueueEntry, lane: Lane): void {
    this.#lanes[lane].set(entry.requestId, entry);
    this.#tokens[lane] += entry.costTokens;
  }

  hasWaiting(lane: Lane): boolean {
    return this.#lanes[lane].size > 0;
  }

  /** Returns the deadline of a request; `Infinity` when it does not wait. */
  deadlineOf(requestId: RequestId): number {
    const entry = this.#lanes.short.get(requestId) ??
      this.#lanes.long.get(requestId);
    return entry?.deadlineMs ?? Infinity;
  }

  /**
   * Returns the entry to serve next in a lane: the one with the lowest priority
   * value, the oldest of equal ones.
   */
  head(lane: Lane): QueueEntry | undefined {
    let best: QueueEntry | undefined;
    for (const entry of this.#lanes[lane].values()) {
      if (best === undefined || priorityOf(entry) < priorityOf(best)) {
        best = entry;
      }
    }
    return best;
  }

  remove(requestId: RequestId): QueueEntry | undefined {
    for (const lane of LANES) {
      const entry = this.#lanes[lane].get(requestId);
      if (entry !== undefined) {
        this.#lanes[lane].delete(requestId);
        this.#tokens[lane] -= entry.costTokens;
        return entry;
      }
    }
    return undefined;
  }

  /** Removes and returns the entries whose deadline has passed. */
  removeExpired(nowMs: number): QueueEntry[] {
    const expired: QueueEntry[] = [];
    for (const lane of Object.values(this.#lanes)) {
      for (const entry of lane.values()) {
        if (entry.deadlineMs <= nowMs) {
          expired.push(entry);
        }
      }
    }
    for (const entry of expired) {
      this.remove(entry.requestId);
    }
    return expired;
  }
}

function priorityOf(entry: QueueEntry): number {
  return entry.priority ?? 0;
}
