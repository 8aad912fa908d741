/**
 * A small model of engines, daemons and callers that replays a load without a
 * network. Engines prefill one prompt at a time, the most urgent first.
 *
 * @module
 */

import {
  type BackendServerId,
  brandId,
  type FailureDomainId,
  type RequestId,
  type TeamId,
  type VmId,
} from "@endivebend/types";
import { type PlacementContext, placeRequest } from "./placement.ts";
import { ServerAllowances } from "./server_allowances.ts";
import { ServerRegistry, type ServerWork } from "./server_registry.ts";
import { ShareKeeper, type TeamWorkEntry } from "./share_keeper.ts";
import { listedServer, MODEL, route, routedRequest } from "./testing.ts";
import type {
  Configuration,
  PromptSegmentId,
  RoutedRequest,
  TeamRules,
} from "./types.ts";

/** A kind of request, with its usual rate over all teams. */
export interface LoadKind {
  readonly urgency: number;
  readonly perS: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly targetMs: number;
  readonly timeLimitMs: number;
}

/** A load and what disturbs it. */
export interface Play {
  readonly seed: number;
  readonly hasShares: boolean;
  readonly kinds: readonly LoadKind[];
  readonly teams: readonly {
    readonly rules: TeamRules;
    readonly part: number;
  }[];
  readonly engines: number;
  readonly slots: number;
  readonly tokensPerMs: number;
  readonly daemons: number;
  /** Time between two messages of a daemon. */
  readonly gossipMs: number;
  readonly untilMs: number;
  /** Multiple of the usual rate. */
  factor(at: { kind: LoadKind; team: TeamId; atMs: number }): number;
  /** Whether gossip between the daemons is lost. */
  isCut?(from: number, to: number, atMs: number): boolean;
  /** Whether the daemon has ended; its callers go to another one. */
  isDown?(daemon: number, atMs: number): boolean;
  /** Until when the daemon stands still; its callers wait for it. */
  frozenUntilMs?(daemon: number, atMs: number): number | undefined;
  /** Called for each metric that a daemon counts. */
  counted?(
    name: string,
    labels: Readonly<Record<string, string>> | undefined,
  ): void;
}

/** What became of one request. */
export interface PlayedRequest {
  readonly kind: LoadKind;
  readonly team: TeamId;
  readonly atMs: number;
  /** When it was refused, and the delays that it was told. */
  readonly refusals: { atMs: number; retryMs: number; isNeedless: boolean }[];
  /** Time to its first event; undefined when it was refused or too late. */
  firstEventMs: number | undefined;
}

const MAX_GOSSIP_AGE_MS = 1_000;
const MAX_TEAM_WORK_AGE_MS = 1_500;
const MEMORY_TOKENS = 62_324;
const MAX_WAITING = 36;
/** Engines that a request tries after one has rejected it. */
const MAX_REJECTED = 2;
const STEP_MS = 5.5;

interface Job {
  readonly played: PlayedRequest;
  readonly request: RoutedRequest;
  readonly daemon: Daemon;
  readonly engine: Engine;
}
interface Engine {
  readonly id: BackendServerId;
  waiting: Job[];
  running: number;
  memory: number;
  isPrefilling: boolean;
}
interface Told {
  readonly atMs: number;
  /** Requests and prompt tokens at each engine. */
  readonly work: readonly ServerWork[];
  readonly teamWork: Record<string, readonly TeamWorkEntry[]>;
}
interface Daemon {
  readonly context: PlacementContext;
  readonly keeper: ShareKeeper;
  /** The newest message of each other daemon. */
  readonly heard: Map<number, Told>;
}

/** A generator of numbers from 0 to below 1 (mulberry32). */
export function randomOf(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 0x1_0000_0000;
  };
}

/** Replays the load; each caller retries once, at another daemon. */
export function play(plan: Play): PlayedRequest[] {
  const random = randomOf(plan.seed);
  const routes = plan.kinds.map((kind) =>
    route("stream", {
      urgency: kind.urgency,
      targetMs: kind.targetMs,
      timeoutMs: kind.timeLimitMs,
      maxGapMs: 500,
    })
  );
  const events: { atMs: number; run: () => void }[] = [];
  let nowMs = 0;
  const after = (delayMs: number, run: () => void) => {
    const event = { atMs: nowMs + delayMs, run };
    let at = events.length;
    while (at > 0 && events[at - 1]!.atMs < event.atMs) at -= 1;
    events.splice(at, 0, event);
  };
  const engines = Array.from({ length: plan.engines }, (_, index): Engine => ({
    id: brandId<BackendServerId>(`e${index}`),
    waiting: [],
    running: 0,
    memory: 0,
    isPrefilling: false,
  }));
  const daemons = Array.from(
    { length: plan.daemons },
    (_, index) => newDaemon(index),
  );
  const isDown = (index: number) => plan.isDown?.(index, nowMs) ?? false;

  function newDaemon(index: number): Daemon {
    const registry = new ServerRegistry();
    for (const { id } of engines) {
      registry.upsert(listedServer(id, { slots: plan.slots }));
    }
    const heard = new Map<number, Told>();
    registry.setPeerWorkLookup((id) => {
      const at = Number(id.slice(1));
      let running = 0;
      let prefillTokens = 0;
      for (const { atMs, work } of heard.values()) {
        if (nowMs - atMs > MAX_GOSSIP_AGE_MS) continue;
        running += work[at]!.running;
        prefillTokens += work[at]!.prefillTokens;
      }
      return { running, prefillTokens };
    });
    const keeper = new ShareKeeper({
      registry,
      log: { decision() {} },
      metrics: {
        count: (name, labels) => plan.counted?.(name, labels),
        observeMs() {},
      },
      peerTeamWork: (service) =>
        [...heard.values()]
          .filter(({ atMs }) => nowMs - atMs <= MAX_TEAM_WORK_AGE_MS)
          .flatMap(({ teamWork }) => teamWork[service] ?? []),
    });
    const teams = plan.teams.map(({ rules }) => rules);
    keeper.configure({ routes, teams } as unknown as Configuration);
    const self = brandId<VmId>(`vm-${index}`);
    return {
      keeper,
      heard,
      context: {
        registry,
        allowances: new ServerAllowances({ registry, self, daemons: () => [] }),
        failureDomain: brandId<FailureDomainId>("a"),
        namedWeights: () => [],
        weightsBoundMs: 8_000,
        maxOwnConnections: () => 1_000,
        tokensPerEvent: () => 7,
        cacheStores: () => [],
        ...(plan.hasShares ? { shares: keeper } : {}),
      },
    };
  }

  function gossip(index: number): void {
    const daemon = daemons[index]!;
    after(plan.gossipMs, () => gossip(index));
    const isFrozen = plan.frozenUntilMs?.(index, nowMs) !== undefined;
    if (isDown(index) || isFrozen) return;
    const work = [...daemon.context.registry.all()].map(({ ownWork }) => ({
      running: ownWork.size,
      prefillTokens: [...ownWork.values()]
        .reduce((sum, own) => sum + own.prefillTokens, 0),
    }));
    const teamWork = daemon.keeper.teamWork(nowMs);
    daemons.forEach(({ heard }, to) => {
      const isLost = to === index || plan.isCut?.(index, to, nowMs);
      if (!isLost) heard.set(index, { atMs: nowMs, work, teamWork });
    });
  }

  function arrive(
    played: PlayedRequest,
    daemon: number,
    id: number,
    exclude: readonly BackendServerId[] = [],
  ): void {
    if (isDown(daemon)) return arrive(played, (daemon + 1) % plan.daemons, id);
    const thawMs = plan.frozenUntilMs?.(daemon, nowMs);
    if (thawMs !== undefined) {
      return after(thawMs - nowMs, () => arrive(played, daemon, id, exclude));
    }
    const { kind } = played;
    const deadlineMs = played.atMs + kind.timeLimitMs;
    const team = plan.teams.find(({ rules }) => rules.id === played.team)!;
    const requestId = brandId<RequestId>(`q${id}-${played.refusals.length}`);
    const prompt = [{
      id: brandId<PromptSegmentId>(`s${id}`),
      tokens: kind.promptTokens,
    }];
    const request = routedRequest("stream", {
      requestId,
      route: routes[plan.kinds.indexOf(kind)]!,
      team: team.rules,
      work: {
        model: MODEL,
        promptTokens: kind.promptTokens,
        maxOutputTokens: kind.outputTokens,
        prompt,
      },
      deadlineMs,
      timeoutAtMs: deadlineMs,
    });
    const at = daemons[daemon]!;
    const placement = placeRequest(request, {
      ...at.context,
      exclude: new Set(exclude),
      hasBegun: false,
      nowMs,
    });
    const engine = placement.kind === "placed"
      ? engines.find((other) => other.id === placement.server.listed.id)!
      : undefined;
    const isRejected = (engine?.waiting.length ?? 0) >= MAX_WAITING;
    if (engine !== undefined && isRejected && exclude.length < MAX_REJECTED) {
      return arrive(played, daemon, id, [...exclude, engine.id]);
    }
    if (engine === undefined || isRejected) {
      const told = placement.kind === "refused" ? placement.retryInMs : 600;
      return refuse(played, { told: told ?? 600, daemon, id, deadlineMs });
    }
    at.keeper.opened(request);
    at.context.registry.get(engine.id)!.ownWork
      .set(requestId, { prefillTokens: kind.promptTokens });
    engine.waiting.push({ played, request, daemon: at, engine });
    engine.waiting.sort((a, b) =>
      a.played.kind.urgency - b.played.kind.urgency
    );
    prefill(engine);
  }

  function refuse(
    played: PlayedRequest,
    { told, daemon, id, deadlineMs }: {
      told: number;
      daemon: number;
      id: number;
      deadlineMs: number;
    },
  ): void {
    const retryMs = told * (1 + random() / 2);
    const running = engines.reduce((sum, one) => sum + one.running, 0);
    const isNeedless = running < plan.engines * plan.slots / 2 &&
      engines.every(({ waiting }) => waiting.length === 0);
    played.refusals.push({ atMs: nowMs, retryMs, isNeedless });
    if (played.refusals.length > 1) return;
    after(Math.min(retryMs, (deadlineMs - nowMs) / 3), () => {
      const step = 1 + Math.floor(random() * (plan.daemons - 1));
      arrive(played, (daemon + step) % plan.daemons, id);
    });
  }

  function prefill(engine: Engine): void {
    const [next] = engine.waiting;
    if (next === undefined || engine.isPrefilling) return;
    const { kind } = next.played;
    const tokens = kind.promptTokens + kind.outputTokens;
    const hasRoom = engine.running < plan.slots &&
      engine.memory + tokens <= MEMORY_TOKENS;
    if (!hasRoom) return;
    engine.waiting.shift();
    engine.running += 1;
    engine.memory += tokens;
    engine.isPrefilling = true;
    after(kind.promptTokens / plan.tokensPerMs, () => {
      engine.isPrefilling = false;
      const own = next.daemon.context.registry.get(engine.id)!.ownWork;
      own.get(next.request.requestId)!.prefillTokens = 0;
      if (nowMs < next.request.deadlineMs) {
        next.played.firstEventMs = nowMs - next.played.atMs;
      }
      after(kind.outputTokens * STEP_MS, () => {
        engine.running -= 1;
        engine.memory -= tokens;
        own.delete(next.request.requestId);
        next.daemon.keeper.ended(next.request);
        prefill(engine);
      });
      prefill(engine);
    });
  }

  const all: PlayedRequest[] = [];
  for (const kind of plan.kinds) {
    for (const { rules, part } of plan.teams) {
      let atMs = 0;
      for (;;) {
        const perMs = kind.perS * part / 1_000 *
          plan.factor({ kind, team: rules.id, atMs });
        atMs += -Math.log(1 - random()) / perMs;
        if (atMs >= plan.untilMs) break;
        const played: PlayedRequest = {
          kind,
          team: rules.id,
          atMs,
          refusals: [],
          firstEventMs: undefined,
        };
        all.push(played);
      }
    }
  }
  all.forEach((played, id) => {
    events.push({
      atMs: played.atMs,
      run: () => arrive(played, Math.floor(random() * plan.daemons), id),
    });
  });
  events.sort((a, b) => b.atMs - a.atMs);
  daemons.forEach((_, index) =>
    after(plan.gossipMs * random(), () => gossip(index))
  );
  for (let event = events.pop(); event !== undefined; event = events.pop()) {
    if (event.atMs > plan.untilMs + 15_000) break;
    nowMs = event.atMs;
    event.run();
  }
  return all;
}
