/**
 * The queue in front of one engine.
 *
 * @module
 */

import type { RequestId, TeamId } from "@endivebend/types";
import { EngineWindow } from "./engine_window.ts";
import { DEFAULT_QUEUE_OPTIONS } from "./queue_types.ts";
import type {
  EngineState,
  EnqueueResult,
  FairQueueOptions,
  GrantResult,
  Lane,
  Permit,
  QueueEntry,
} from "./queue_types.ts";
import { TeamBacklog } from "./team_backlog.ts";

const ENGINE_PRIORITY: Record<Lane, number> = { short: 0, long: 1 };
/** Idle teams are forgotten above this many; their virtual time is then lost. */
const MAX_TRACKED_TEAMS = 1_000;

/**
 * Start-time fair queueing over teams by token cost, in two lanes. A team's
 * virtual time is the tokens served to it; the team with the least goes next.
 * A team that was idle starts at the queue's virtual time, so it neither saves
 * up service nor waits for what others got before.
 *
 * @example
 * ```ts
 * const queue = new FairQueue({ prefillTokensPerMs: 12 });
 * queue.enqueue({ requestId, team, costTokens, deadlineMs }, nowMs);
 * const { permits } = queue.dispatchable(nowMs, { takesNewWork: true });
 * queue.markPrefilled(permits[0].requestId, laterMs);
 * queue.release(permits[0].requestId);
 * ```
 */
export class FairQueue {
  readonly #options: FairQueueOptions;
  readonly #window: EngineWindow;
  readonly #backlogs = new Map<TeamId, TeamBacklog>();
  readonly #backlogByRequest = new Map<RequestId, TeamBacklog>();
  #virtualTime = 0;

  constructor(options: Partial<FairQueueOptions> = {}) {
    this.#options = { ...DEFAULT_QUEUE_OPTIONS, ...options };
    this.#window = new EngineWindow(this.#options);
  }

  /** Requests that wait. */
  get waitingCount(): number {
    return this.#backlogByRequest.size;
  }

  /** Requests with a permit. */
  get runningCount(): number {
    return this.#window.runningCount;
  }

  /** Tokens that wait, over all teams. */
  get waitingTokens(): number {
    return [...this.#backlogs.values()].reduce(
      (sum, team) => sum + team.tokens,
      0,
    );
  }

  /** Prefill tokens at the engine that are not known to be done. */
  get outstandingPrefillTokens(): number {
    return this.#window.prefillTokens();
  }

  /** As `outstandingPrefillTokens`, less what should be done by now. */
  remainingPrefillTokens(nowMs: number): number {
    return this.#window.remainingTokens(nowMs);
  }

  get prefillTokensPerMs(): number {
    return this.#window.tokensPerMs;
  }

  /** Adds a request, or refuses it at once without a trace. */
  enqueue(entry: QueueEntry, nowMs: number): EnqueueResult {
    if (this.#backlogByRequest.has(entry.requestId)) {
      return { kind: "queued" };
    }
    const refusal = this.#refusalOf(entry, nowMs);
    if (refusal !== undefined) {
      return refusal;
    }
    const backlog = this.#backlogFor(entry.team);
    if (backlog.count === 0) {
      backlog.virtualTime = Math.max(backlog.virtualTime, this.#virtualTime);
    }
    backlog.add(entry, this.laneOf(entry));
    this.#backlogByRequest.set(entry.requestId, backlog);
    return { kind: "queued" };
  }

  /** The lane that a request waits in. */
  laneOf(entry: QueueEntry): Lane {
    const tokens = entry.prefillTokens ?? entry.costTokens;
    return tokens <= this.#options.shortPrefillTokens ? "short" : "long";
  }

  /** Gives permits for as much work as keeps the engine busy. */
  grantPermits(nowMs: number, state: EngineState): GrantResult {
    this.#window.dropExpired(nowMs);
    const expired = this.#removeExpired(nowMs);
    const permits: Permit[] = [];
    if (state.takesNewWork) {
      this.#grantLane(permits, { lane: "short", nowMs, state });
      this.#grantLane(permits, { lane: "long", nowMs, state });
    }
    return { permits, expired };
  }

  /** The request's first token came; its prefill no longer fills the window. */
  markPrefilled(requestId: RequestId, nowMs: number): void {
    this.#window.markPrefilled(requestId, nowMs);
  }

  /** Ends a permit; false when it was unknown or had expired. */
  release(requestId: RequestId): boolean {
    return this.#window.release(requestId);
  }

  /** Removes a waiting request; false when it does not wait. */
  cancel(requestId: RequestId): boolean {
    const backlog = this.#backlogByRequest.get(requestId);
    if (backlog === undefined) {
      return false;
    }
    this.#backlogByRequest.delete(requestId);
    backlog.remove(requestId);
    return true;
  }

  /** When to call `dispatchable` again if nothing else happens. */
  nextWakeMs(nowMs: number): number | undefined {
    if (this.waitingCount === 0) {
      return undefined;
    }
    const deadlines = [...this.#backlogByRequest].map(([requestId, backlog]) =>
      backlog.deadlineOf(requestId)
    );
    const roomAtMs = this.#window.nextRoomAtMs(nowMs) ?? Infinity;
    return Math.min(roomAtMs, ...deadlines);
  }

  /**
   * Expected wait until the request would get a permit, if it were enqueued
   * now. Teams are served by their virtual time, so of another team only the
   * work that comes before this request in that order counts.
   */
  expectedWaitMs(entry: QueueEntry, nowMs: number): number {
    const lane = this.laneOf(entry);
    const ownBacklog = this.#backlogs.get(entry.team);
    const ownTokens = ownBacklog?.laneTokens(lane) ?? 0;
    const startVirtualTime =
      Math.max(ownBacklog?.virtualTime ?? 0, this.#virtualTime) +
      ownTokens;
    let tokensAhead = ownTokens + this.#window.tokensAheadOfLane(lane, nowMs);
    for (const backlog of this.#backlogs.values()) {
      if (backlog !== ownBacklog) {
        const tokensServedFirst = Math.max(
          0,
          startVirtualTime - backlog.virtualTime,
        );
        tokensAhead += Math.min(backlog.laneTokens(lane), tokensServedFirst);
      }
    }
    return tokensAhead / this.#window.tokensPerMs;
  }

  #refusalOf(entry: QueueEntry, nowMs: number): EnqueueResult | undefined {
    const { maxTeamEntries, maxTeamTokens, maxEntries } = this.#options;
    const backlog = this.#backlogs.get(entry.team);
    const count = backlog?.count ?? 0;
    const tokens = backlog?.tokens ?? 0;
    // One request larger than the bound is accepted into an empty backlog.
    const excessTokens = count > 0
      ? tokens + entry.costTokens - maxTeamTokens
      : 0;
    const isFull = count >= maxTeamEntries || excessTokens > 0 ||
      this.waitingCount >= maxEntries;
    if (isFull) {
      const meanTokens = count > 0 ? tokens / count : entry.costTokens;
      const tokensToServe = Math.max(excessTokens, meanTokens);
      return this.#refuse("queue_full", tokensToServe);
    }
    // Only what certainly comes too late is refused here: the team's own
    // requests ahead of it, at the engine's full rate.
    const earliestStartMs = nowMs + tokens / this.#window.tokensPerMs;
    if (earliestStartMs >= entry.deadlineMs) {
      const lateMs = earliestStartMs - entry.deadlineMs;
      return this.#refuse(
        "deadline_exceeded",
        lateMs * this.prefillTokensPerMs,
      );
    }
    return undefined;
  }

  /** `leavingTokens` of the team must leave the queue before there is room. */
  #refuse(
    code: "queue_full" | "deadline_exceeded",
    tokensToServe: number,
  ): EnqueueResult {
    const waitingTeams = [...this.#backlogs.values()].filter((team) =>
      team.count > 0
    );
    const teamTokensPerMs = this.#window.tokensPerMs /
      Math.max(1, waitingTeams.length);
    const outstandingMs = this.#window.prefillTokens() /
      this.#window.tokensPerMs;
    const retryAfterMs =
      Math.ceil(outstandingMs + tokensToServe / teamTokensPerMs) + 1;
    return { kind: "refused", code, retryAfterMs };
  }

  #grantLane(
    permits: Permit[],
    at: { lane: Lane; nowMs: number; state: EngineState },
  ): void {
    const externalTokens = at.state.externalPrefillTokens ?? 0;
    while (this.#window.hasRoom({ ...at, externalTokens: externalTokens })) {
      const backlog = this.#nextTeam(at.lane);
      if (backlog === undefined) {
        return;
      }
      permits.push(this.#grant(backlog, at));
    }
  }

  #nextTeam(lane: Lane): TeamBacklog | undefined {
    const next = this.#leastServedTeam(lane);
    if (lane === "long" || next === undefined) {
      return next;
    }
    // A flood of short prompts from one team must not hold back the long
    // prompts of the others, because the engine serves short ones first.
    const long = this.#leastServedTeam("long");
    const leadTokens = this.#options.maxShortLeadTokens;
    const isAhead = long !== undefined && long !== next &&
      next.virtualTime > long.virtualTime + leadTokens;
    return isAhead ? undefined : next;
  }

  #leastServedTeam(lane: Lane): TeamBacklog | undefined {
    let least: TeamBacklog | undefined;
    for (const backlog of this.#backlogs.values()) {
      const isLess = least === undefined ||
        backlog.virtualTime < least.virtualTime;
      if (isLess && backlog.hasWaiting(lane)) {
        least = backlog;
      }
    }
    return least;
  }

  #grant(
    backlog: TeamBacklog,
    at: { readonly lane: Lane; readonly nowMs: number },
  ): Permit {
    this.#assertLeastServed(backlog, at.lane);
    const entry = backlog.head(at.lane)!;
    this.cancel(entry.requestId);
    this.#virtualTime = Math.max(this.#virtualTime, backlog.virtualTime);
    backlog.virtualTime += entry.costTokens;
    const permit: Permit = {
      requestId: entry.requestId,
      team: entry.team,
      lane: at.lane,
      prefillTokens: entry.prefillTokens ?? entry.costTokens,
      grantedAtMs: at.nowMs,
      enginePriority: ENGINE_PRIORITY[at.lane],
      expiresAtMs: at.nowMs + this.#options.permitLifetimeMs,
    };
    this.#window.add(permit);
    return permit;
  }

  /** Throws when another team that waits in the lane was served less. */
  #assertLeastServed(backlog: TeamBacklog, lane: Lane): void {
    for (const other of this.#backlogs.values()) {
      const wasServedLess = other.hasWaiting(lane) &&
        other.virtualTime < backlog.virtualTime;
      if (wasServedLess) {
        throw new Error(
          `Team ${other.team} was passed over for team ${backlog.team}; report this queue to the developers`,
        );
      }
    }
  }

  #removeExpired(nowMs: number): QueueEntry[] {
    const expired: QueueEntry[] = [];
    for (const backlog of this.#backlogs.values()) {
      expired.push(...backlog.removeExpired(nowMs));
    }
    for (const entry of expired) {
      this.#backlogByRequest.delete(entry.requestId);
    }
    return expired;
  }

  #backlogFor(team: TeamId): TeamBacklog {
    const known = this.#backlogs.get(team);
    if (known !== undefined) {
      return known;
    }
    if (this.#backlogs.size >= MAX_TRACKED_TEAMS) {
      this.#forgetIdleTeams();
    }
    const backlog = new TeamBacklog(team);
    this.#backlogs.set(team, backlog);
    return backlog;
  }

  #forgetIdleTeams(): void {
    for (const [team, backlog] of this.#backlogs) {
      if (backlog.count === 0 && backlog.virtualTime <= this.#virtualTime) {
        this.#backlogs.delete(team);
      }
    }
  }
}
