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
/** With this many teams, idle ones are removed and lose their virtual time. */
const MAX_TRACKED_TEAMS = 1_000;

/**
 * Start-time fair queueing over teams by token cost, in two lanes. A team's
 * virtual time counts the tokens served to it; the team with the least is
 * served next. A team that was idle starts at the queue's virtual time, so it
 * neither accumulates a claim to service nor waits for what others were served
 * before.
 *
 * @example
 * ```ts
 * const queue = new FairQueue({ prefillTokensPerMs: 12 });
 * queue.enqueue({ requestId, team, costTokens, deadlineMs }, nowMs);
 * const { permits } = queue.grantPermits(nowMs, { takesNewWork: true });
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

  /** Number of waiting requests. */
  get waitingCount(): number {
    return this.#backlogByRequest.size;
  }

  /** Number of requests with a permit. */
  get runningCount(): number {
    return this.#window.runningCount;
  }

  /** Sum of `costTokens` of the waiting requests of all teams. */
  get waitingTokens(): number {
    return [...this.#backlogs.values()].reduce(
      (sum, team) => sum + team.tokens,
      0,
    );
  }

  /** Prefill tokens given to the engine and not known to be done. */
  get outstandingPrefillTokens(): number {
    return this.#window.prefillTokens();
  }

  /**
   * Like `outstandingPrefillTokens`, less the long prefills that the engine
   * should have done by now at its measured rate.
   */
  remainingPrefillTokens(nowMs: number): number {
    return this.#window.remainingTokens(nowMs);
  }

  /** Measured prefill rate of the engine. */
  get prefillTokensPerMs(): number {
    return this.#window.tokensPerMs;
  }

  /**
   * Adds a request, or refuses it without changing the queue. A request that
   * already waits is not added again.
   */
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

  /** Returns the lane that a request waits in. */
  laneOf(entry: QueueEntry): Lane {
    const tokens = entry.prefillTokens ?? entry.costTokens;
    return tokens <= this.#options.shortPrefillTokens ? "short" : "long";
  }

  /**
   * Grants permits for as much work as keeps the engine busy, and removes the
   * waiting requests whose deadline has passed.
   */
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

  /** Records the first token of a request: its prefill leaves the window. */
  markPrefilled(requestId: RequestId, nowMs: number): void {
    this.#window.markPrefilled(requestId, nowMs);
  }

  /** Ends a permit. Returns false when it is unknown or has expired. */
  release(requestId: RequestId): boolean {
    return this.#window.release(requestId);
  }

  /** Removes a waiting request. Returns false when it does not wait. */
  cancel(requestId: RequestId): boolean {
    const backlog = this.#backlogByRequest.get(requestId);
    if (backlog === undefined) {
      return false;
    }
    this.#backlogByRequest.delete(requestId);
    backlog.remove(requestId);
    return true;
  }

  /**
   * Returns when to call `grantPermits` again if nothing else happens, or
   * `undefined` when no request waits.
   */
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
   * Returns the expected time until the request would get a permit if it were
   * enqueued now. Teams are served in order of their virtual time, so another
   * team's work counts only as far as it comes before this request in that
   * order.
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
    // A request larger than the limit is accepted into an empty backlog.
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
    // Only a request that is certain to be late is refused here: the estimate
    // has only the team's own waiting requests, at the engine's full rate.
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

  /**
   * Returns a refusal. There is room again after `tokensToServe` tokens of the
   * team have been served, at its share of the engine's rate.
   */
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
    while (this.#window.hasRoom({ ...at, externalTokens })) {
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
    // The engine serves short prompts first, so without this limit many short
    // prompts of one team would hold back the long prompts of other teams.
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

  /** Throws when another team that waits in the lane has been served less. */
  #assertLeastServed(backlog: TeamBacklog, lane: Lane): void {
    for (const other of this.#backlogs.values()) {
      const wasServedLess = other.hasWaiting(lane) &&
        other.virtualTime < backlog.virtualTime;
      if (wasServedLess) {
        throw new Error(
          `Team ${other.team} has been served less, but team ${backlog.team} was served next; report this bug of the queue to the developers`,
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
