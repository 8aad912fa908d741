/**
 * Replays demand that swings out of phase between failure domains, without a
 * network: engines that read prompts one after another, daemons that place by
 * cost, and gossip that is up to a round old.
 *
 * @module
 */

import {
  type BackendServerId,
  brandId,
  type FailureDomainId,
  type ServiceName,
} from "@endivebend/types";
import { type Candidate, chooseServer } from "./choose_server.ts";
import { DomainBalance, type SenderWork } from "./domain_balance.ts";
import { type KnownServer, ServerRegistry } from "./server_registry.ts";
import { listedServer } from "./testing.ts";

/** The load of a replay. */
export interface DomainLoad {
  readonly seed: number;
  readonly domains: number;
  readonly hasBalance: boolean;
  /** Mean demand as a share of what all engines read. */
  readonly utilization: number;
  /** Milliseconds between two messages of a daemon. */
  readonly gossipMs?: number;
  /** How far the demand of a domain swings around its mean, 0 to 1. */
  readonly swing: number;
  /** A domain that is cut off from the others, and when. */
  readonly cut?: {
    readonly domain: number;
    readonly fromMs: number;
    readonly untilMs: number;
  };
}

/** What came of a replay. */
export interface DomainOutcome {
  readonly requests: number;
  readonly crossed: number;
  readonly late: number;
  readonly p95Ms: number;
  /** Times at which the net flow between two domains changed direction. */
  readonly reversals: number;
  /** Times at which the surplus level of a domain rose or fell by a step. */
  readonly levelChanges: number;
  /** Times at which a domain began to pass on a surplus. */
  readonly starts: number;
  /** Requests that crossed into or out of the cut domain, by 100 ms. */
  readonly crossedCutAtMs: readonly number[];
}

const SERVICE = brandId<ServiceName>("llm");
const PERIOD_MS = 13_000;
const DURATION_MS = 2 * PERIOD_MS;
const DAEMONS_PER_DOMAIN = 5;
const SPEEDS = [0.6, 1, 1.6, 1, 1];
const TOKENS_PER_MS = 52.4;
const SLOTS = 24;
const DEFAULT_GOSSIP_MS = 200;
const HOP_MS = 0.9;
const FETCH_MS = 10;
const DECODE_MS = 230;
/** Windows of the net flow, and a difference that is more than chance. */
const FLOW_WINDOW_MS = 500;
const MIN_FLOW = 12;
/** Detection of a cut by silent gossip. */
const SILENCE_MS = 600;
const KINDS = [
  { share: 0.47, shared: 6_300, own: 2_890, targetMs: 515 },
  { share: 0.53, shared: 198, own: 628, targetMs: 307 },
];
/** Prompts whose shared segments are the same. */
const GROUPS = 24;
const TOKENS_PER_REQUEST = KINDS.reduce(
  (sum, { share, own }) => sum + share * own,
  0,
);

interface Engine {
  readonly server: KnownServer;
  readonly domain: number;
  readonly rate: number;
  readonly cached: Set<string>;
  /** What daemons of each domain told of their work here. */
  readonly told: { running: number; prefillTokens: number }[];
  freeAtMs: number;
}

interface Running {
  readonly daemon: Daemon;
  readonly engine: Engine;
  readonly firstAtMs: number;
  readonly endMs: number;
  tokens: number;
}

type Work = [running: number, prefillTokens: number];

interface Daemon {
  readonly domain: number;
  readonly phaseMs: number;
  readonly own: Map<BackendServerId, Work>;
  told: Record<BackendServerId, Work>;
  balance: DomainBalance | undefined;
}

/** Numbers from 0 to 1, the same for the same seed (mulberry32). */
function randomOf(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

function domainName(domain: number): FailureDomainId {
  return brandId<FailureDomainId>(`domain-${domain}`);
}

/**
 * Replays a load.
 *
 * @example
 * ```ts
 * const { late } = replayDomains({ ...load, seed: 1, hasBalance: true });
 * ```
 */
export function replayDomains(load: DomainLoad): DomainOutcome {
  return new DomainReplay(load).run();
}

class DomainReplay {
  readonly #load: DomainLoad;
  readonly #random: () => number;
  readonly #gossipMs: number;
  readonly #registry = new ServerRegistry();
  readonly #engines: readonly Engine[];
  readonly #engineById: ReadonlyMap<BackendServerId, Engine>;
  readonly #daemons: readonly Daemon[];
  readonly #running: Running[] = [];
  readonly #waitsMs: number[] = [];
  readonly #flows = new FlowCounter();
  readonly #levels = new Map<number, number>();
  readonly #crossedCutAtMs: number[] = [];
  #crossed = 0;
  #late = 0;
  #levelChanges = 0;
  #starts = 0;

  constructor(load: DomainLoad) {
    this.#load = load;
    this.#random = randomOf(load.seed);
    this.#gossipMs = load.gossipMs ?? DEFAULT_GOSSIP_MS;
    this.#engines = createEngines(this.#registry, load.domains);
    this.#engineById = new Map(
      this.#engines.map((engine) => [engine.server.listed.id, engine]),
    );
    this.#daemons = Array.from(
      { length: load.domains * DAEMONS_PER_DOMAIN },
      (_, index) => this.#createDaemon(index),
    );
  }

  run(): DomainOutcome {
    const { domains } = this.#load;
    for (let nowMs = 0; nowMs < DURATION_MS; nowMs++) {
      endRequests(this.#running, nowMs);
      this.#gossip(nowMs);
      for (let domain = 0; domain < domains; domain++) {
        this.#arrive(domain, nowMs);
      }
    }
    const waitsMs = this.#waitsMs.toSorted((a, b) => a - b);
    return {
      requests: waitsMs.length,
      crossed: this.#crossed,
      late: this.#late,
      p95Ms: Math.round(waitsMs[Math.floor(waitsMs.length * 0.95)]!),
      reversals: this.#flows.reversals(),
      levelChanges: this.#levelChanges,
      starts: this.#starts,
      crossedCutAtMs: this.#crossedCutAtMs,
    };
  }

  #createDaemon(index: number): Daemon {
    const domain = Math.floor(index / DAEMONS_PER_DOMAIN);
    const daemon: Daemon = {
      domain,
      phaseMs: Math.floor(this.#random() * this.#gossipMs),
      own: new Map(),
      told: {},
      balance: undefined,
    };
    const isFirst = index % DAEMONS_PER_DOMAIN === 0;
    if (this.#load.hasBalance) {
      daemon.balance = this.#createBalance(daemon, isFirst);
    }
    return daemon;
  }

  #createBalance(daemon: Daemon, isFirst: boolean): DomainBalance {
    const { domain } = daemon;
    return new DomainBalance({
      failureDomain: domainName(domain),
      registry: this.#registry,
      senders: (nowMs) => this.#sendersFor(daemon, nowMs),
      silentDomains: (nowMs) =>
        new Set(
          Array.from({ length: this.#load.domains }, (_, other) => other)
            .filter((other) => this.#isCut(domain, other, nowMs - SILENCE_MS))
            .map(domainName),
        ),
      gossipRoundMs: () => this.#gossipMs,
      tokensPerMs: ({ listed }) => this.#engineById.get(listed.id)!.rate,
      changed: (_service, { surplusLevel }) => {
        if (isFirst) this.#noteLevel(domain, surplusLevel);
      },
    });
  }

  #noteLevel(domain: number, level: number): void {
    const before = this.#levels.get(domain) ?? 0;
    if (before === level) return;
    this.#levels.set(domain, level);
    this.#levelChanges += 1;
    if (before === 0) this.#starts += 1;
  }

  #isCut(one: number, other: number, nowMs: number): boolean {
    const { cut } = this.#load;
    return cut !== undefined && one !== other &&
      (one === cut.domain || other === cut.domain) &&
      nowMs >= cut.fromMs && nowMs < cut.untilMs;
  }

  #sendersFor(self: Daemon, nowMs: number): SenderWork[] {
    return this.#daemons.flatMap((daemon) => {
      if (this.#isCut(self.domain, daemon.domain, nowMs)) return [];
      const work = daemon === self
        ? Object.fromEntries(daemon.own)
        : daemon.told;
      return [{ failureDomain: domainName(daemon.domain), work }];
    });
  }

  #gossip(nowMs: number): void {
    for (const daemon of this.#daemons) {
      if (nowMs % this.#gossipMs !== daemon.phaseMs) continue;
      const before = daemon.told;
      daemon.told = Object.fromEntries(
        [...daemon.own].map(([id, [count, tokens]]) => [id, [count, tokens]]),
      );
      this.#addTold(daemon.domain, before, -1);
      this.#addTold(daemon.domain, daemon.told, 1);
    }
  }

  #addTold(domain: number, work: Daemon["told"], sign: 1 | -1): void {
    for (const id in work) {
      const told = this.#engineById.get(id as BackendServerId)!.told[domain]!;
      const [running, prefillTokens] = work[id as BackendServerId]!;
      told.running += sign * running;
      told.prefillTokens += sign * prefillTokens;
    }
  }

  #arrive(domain: number, nowMs: number): void {
    const { utilization, swing, domains } = this.#load;
    const rate = this.#engines.reduce((sum, engine) => sum + engine.rate, 0);
    const perMs = utilization * rate / TOKENS_PER_REQUEST / domains;
    const phase = 2 * Math.PI * (nowMs / PERIOD_MS + domain / domains);
    const expected = perMs * (1 + swing * Math.sin(phase));
    let arrivals = poisson(expected, this.#random);
    while (arrivals-- > 0) {
      const index = Math.floor(this.#random() * DAEMONS_PER_DOMAIN);
      this.#serve(this.#daemons[domain * DAEMONS_PER_DOMAIN + index]!, nowMs);
    }
  }

  #serve(daemon: Daemon, nowMs: number): void {
    const kind = this.#random() < KINDS[0]!.share ? KINDS[0]! : KINDS[1]!;
    const group = `${kind.shared}/${Math.floor(this.#random() * GROUPS)}`;
    const canFetch = this.#engines.some(({ cached }) => cached.has(group));
    const choice = chooseServer(
      {
        promptTokens: kind.shared + kind.own,
        sharedTokens: kind.shared,
        fetchableTokens: canFetch ? kind.shared : 0,
        affinityKey: group,
        failureDomain: domainName(daemon.domain),
        usesPools: false,
      },
      this.#engines.map((engine) => ({
        ...this.#candidateOf(engine, daemon, nowMs),
        cachedTokens: engine.cached.has(group) ? kind.shared : 0,
      })),
    )!;
    const engine = this.#engineById.get(choice.id)!;
    const isCached = engine.cached.has(group);
    engine.cached.add(group);
    const tokens = kind.own + (isCached || canFetch ? 0 : kind.shared);
    const readMs = tokens / engine.rate +
      (!isCached && canFetch ? FETCH_MS : 0);
    engine.freeAtMs = Math.max(engine.freeAtMs, nowMs) + readMs;
    this.#record({ daemon, engine, tokens, targetMs: kind.targetMs }, nowMs);
  }

  #candidateOf(engine: Engine, daemon: Daemon, nowMs: number): Candidate {
    const { server, told } = engine;
    const { id, failureDomain } = server.listed;
    const own = daemon.own.get(id);
    const ownTold = daemon.told[id];
    let running = (own?.[0] ?? 0) - (ownTold?.[0] ?? 0);
    let prefillTokens = (own?.[1] ?? 0) - (ownTold?.[1] ?? 0);
    for (let domain = 0; domain < told.length; domain++) {
      if (this.#isCut(daemon.domain, domain, nowMs)) continue;
      running += told[domain]!.running;
      prefillTokens += told[domain]!.prefillTokens;
    }
    const knownAtMs = nowMs - SILENCE_MS;
    return {
      id,
      failureDomain,
      running,
      slots: SLOTS,
      prefillTokens,
      cachedTokens: 0,
      failureRate: 0,
      isAvoided: this.#isCut(daemon.domain, engine.domain, knownAtMs),
      isLoading: false,
      staleWeightsCostMs: 0,
      scarcity: 0,
      balanceMs: daemon.balance?.costMs(server, nowMs) ?? 0,
    };
  }

  #record(
    { daemon, engine, tokens, targetMs }: {
      readonly daemon: Daemon;
      readonly engine: Engine;
      readonly tokens: number;
      readonly targetMs: number;
    },
    nowMs: number,
  ): void {
    const { id } = engine.server.listed;
    const firstAtMs = engine.freeAtMs;
    const [running, prefillTokens] = daemon.own.get(id) ?? [0, 0];
    daemon.own.set(id, [running + 1, prefillTokens + tokens]);
    const endMs = firstAtMs + DECODE_MS;
    this.#running.push({ daemon, engine, tokens, firstAtMs, endMs });
    const isHome = engine.domain === daemon.domain;
    const waitMs = firstAtMs - nowMs + (isHome ? 0 : 2 * HOP_MS);
    this.#waitsMs.push(waitMs);
    if (waitMs > targetMs) this.#late += 1;
    if (isHome) return;
    this.#crossed += 1;
    this.#flows.add(daemon.domain, engine.domain, nowMs);
    const cutDomain = this.#load.cut?.domain;
    if (cutDomain !== daemon.domain && cutDomain !== engine.domain) return;
    const slot = Math.floor(nowMs / 100);
    this.#crossedCutAtMs[slot] = (this.#crossedCutAtMs[slot] ?? 0) + 1;
  }
}

function createEngines(registry: ServerRegistry, domains: number): Engine[] {
  const engines: Engine[] = [];
  for (let domain = 0; domain < domains; domain++) {
    SPEEDS.forEach((speed, index) => {
      const listed = listedServer(`engine-${domain}-${index}`, {
        service: SERVICE,
        failureDomain: domainName(domain),
        slots: SLOTS,
      });
      registry.upsert(listed);
      engines.push({
        server: registry.get(listed.id)!,
        domain,
        rate: speed * TOKENS_PER_MS,
        cached: new Set(),
        told: Array.from({ length: domains }, () => ({
          running: 0,
          prefillTokens: 0,
        })),
        freeAtMs: 0,
      });
    });
  }
  return engines;
}

function endRequests(running: Running[], nowMs: number): void {
  for (let index = running.length - 1; index >= 0; index--) {
    const run = running[index]!;
    const work = run.daemon.own.get(run.engine.server.listed.id)!;
    if (run.tokens > 0 && nowMs >= run.firstAtMs) {
      work[1] -= run.tokens;
      run.tokens = 0;
    }
    if (nowMs < run.endMs) continue;
    work[0] -= 1;
    running[index] = running.at(-1)!;
    running.pop();
  }
}

function poisson(mean: number, random: () => number): number {
  const limit = Math.exp(-mean);
  let count = 0;
  for (let product = random(); product > limit; product *= random()) count++;
  return count;
}

/** Counts how often the net flow between two domains turns. */
class FlowCounter {
  readonly #net = new Map<string, Map<number, number>>();

  add(from: number, to: number, nowMs: number): void {
    const pair = `${Math.min(from, to)}-${Math.max(from, to)}`;
    const windows = this.#net.get(pair) ?? new Map<number, number>();
    this.#net.set(pair, windows);
    const window = Math.floor(nowMs / FLOW_WINDOW_MS);
    windows.set(window, (windows.get(window) ?? 0) + (from < to ? 1 : -1));
  }

  reversals(): number {
    let reversals = 0;
    for (const windows of this.#net.values()) {
      let direction = 0;
      for (const window of [...windows.keys()].sort((a, b) => a - b)) {
        const net = windows.get(window)!;
        if (Math.abs(net) < MIN_FLOW) continue;
        if (direction !== 0 && Math.sign(net) !== direction) reversals += 1;
        direction = Math.sign(net);
      }
    }
    return reversals;
  }
}
