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
import { chooseServer } from "./choose_server.ts";
import { DomainBalance, type SenderWork } from "./domain_balance.ts";
import type { KnownServer } from "./server_registry.ts";
import { ServerRegistry } from "./server_registry.ts";
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
const GROUPS = 24;

interface Engine {
  readonly server: KnownServer;
  readonly domain: number;
  readonly rate: number;
  readonly cached: Set<string>;
  freeAtMs: number;
}

interface Running {
  readonly daemon: Daemon;
  readonly engine: Engine;
  readonly firstAtMs: number;
  readonly endMs: number;
  tokens: number;
}

interface Daemon {
  readonly domain: number;
  readonly balance: DomainBalance | undefined;
  readonly own: Map<BackendServerId, [number, number]>;
  told: Record<BackendServerId, [number, number]>;
  readonly phaseMs: number;
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
  const random = randomOf(load.seed);
  const gossipMs = load.gossipMs ?? DEFAULT_GOSSIP_MS;
  const registry = new ServerRegistry();
  const engines = createEngines(registry, load.domains);
  const daemons: Daemon[] = [];
  const isCut = (a: number, b: number, nowMs: number) =>
    load.cut !== undefined && a !== b &&
    (a === load.cut.domain || b === load.cut.domain) &&
    nowMs >= load.cut.fromMs && nowMs < load.cut.untilMs;
  const outcome = {
    crossed: 0,
    late: 0,
    levelChanges: 0,
    starts: 0,
    crossedCutAtMs: [] as number[],
  };
  const levels = new Map<number, number>();
  const balanceOf = (domain: number, daemon: () => Daemon, isFirst: boolean) =>
    new DomainBalance({
      failureDomain: domainName(domain),
      registry,
      senders: (nowMs) => sendersFor(daemon(), { daemons, nowMs, isCut }),
      silentDomains: (nowMs) =>
        new Set(
          Array.from({ length: load.domains }, (_, other) => other)
            .filter((other) => isCut(domain, other, nowMs - SILENCE_MS))
            .map(domainName),
        ),
      gossipRoundMs: () => gossipMs,
      tokensPerMs: ({ listed }) =>
        engines.find(({ server }) => server.listed.id === listed.id)!.rate,
      changed: (_service, { surplusLevel }) => {
        if (!isFirst) return;
        const before = levels.get(domain) ?? 0;
        if (before === surplusLevel) return;
        levels.set(domain, surplusLevel);
        outcome.levelChanges += 1;
        if (before === 0) outcome.starts += 1;
      },
    });
  for (let domain = 0; domain < load.domains; domain++) {
    for (let index = 0; index < DAEMONS_PER_DOMAIN; index++) {
      const daemon: Daemon = {
        domain,
        balance: load.hasBalance
          ? balanceOf(domain, () => daemon, index === 0)
          : undefined,
        own: new Map(),
        told: {},
        phaseMs: Math.floor(random() * gossipMs),
      };
      daemons.push(daemon);
    }
  }
  const running: Running[] = [];
  const waits: number[] = [];
  const flows = new FlowCounter();
  const tokensPerRequest = KINDS.reduce(
    (sum, { share, own }) => sum + share * own,
    0,
  );
  const rate = engines.reduce((sum, engine) => sum + engine.rate, 0);
  const perMs = load.utilization * rate / tokensPerRequest / load.domains;
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs++) {
    endRequests(running, nowMs);
    for (const daemon of daemons) {
      if (nowMs % gossipMs !== daemon.phaseMs) continue;
      daemon.told = Object.fromEntries(
        [...daemon.own].map(([id, [count, tokens]]) => [id, [count, tokens]]),
      );
    }
    for (let domain = 0; domain < load.domains; domain++) {
      const phase = 2 * Math.PI * (nowMs / PERIOD_MS + domain / load.domains);
      const expected = perMs * (1 + load.swing * Math.sin(phase));
      let arrivals = poisson(expected, random);
      while (arrivals-- > 0) {
        const daemon = daemons[
          domain * DAEMONS_PER_DOMAIN +
          Math.floor(random() * DAEMONS_PER_DOMAIN)
        ]!;
        const placed = place(daemon, {
          engines,
          daemons,
          random,
          nowMs,
          isCut,
        });
        running.push(placed.run);
        waits.push(placed.waitMs);
        if (placed.waitMs > placed.targetMs) outcome.late += 1;
        const to = placed.run.engine.domain;
        if (to === domain) continue;
        outcome.crossed += 1;
        flows.add(domain, to, nowMs);
        const { cut } = load;
        if (cut && (cut.domain === to || cut.domain === domain)) {
          const slot = Math.floor(nowMs / 100);
          outcome.crossedCutAtMs[slot] = (outcome.crossedCutAtMs[slot] ?? 0) +
            1;
        }
      }
    }
  }
  waits.sort((a, b) => a - b);
  return {
    ...outcome,
    requests: waits.length,
    p95Ms: Math.round(waits[Math.floor(waits.length * 0.95)]!),
    reversals: flows.reversals(),
  };
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
        freeAtMs: 0,
      });
    });
  }
  return engines;
}

function sendersFor(
  self: Daemon,
  { daemons, nowMs, isCut }: {
    readonly daemons: readonly Daemon[];
    readonly nowMs: number;
    readonly isCut: (a: number, b: number, nowMs: number) => boolean;
  },
): SenderWork[] {
  return daemons.flatMap((daemon) => {
    if (isCut(self.domain, daemon.domain, nowMs)) return [];
    const work = daemon === self ? Object.fromEntries(daemon.own) : daemon.told;
    return [{ failureDomain: domainName(daemon.domain), work }];
  });
}

function place(
  daemon: Daemon,
  world: {
    readonly engines: readonly Engine[];
    readonly daemons: readonly Daemon[];
    readonly random: () => number;
    readonly nowMs: number;
    readonly isCut: (a: number, b: number, nowMs: number) => boolean;
  },
) {
  const { engines, daemons, random, nowMs, isCut } = world;
  const kind = random() < KINDS[0]!.share ? KINDS[0]! : KINDS[1]!;
  const group = `${kind.shared}/${Math.floor(random() * GROUPS)}`;
  const fetchable = engines.some(({ cached }) => cached.has(group));
  const candidates = engines.map(({ server, cached }) => {
    let running = 0;
    let prefillTokens = 0;
    const { id } = server.listed;
    for (const other of daemons) {
      if (isCut(daemon.domain, other.domain, nowMs)) continue;
      const work = other === daemon ? other.own.get(id) : other.told[id];
      if (work === undefined) continue;
      running += work[0];
      prefillTokens += work[1];
    }
    return {
      id,
      failureDomain: server.listed.failureDomain,
      running,
      slots: SLOTS,
      prefillTokens,
      cachedTokens: cached.has(group) ? kind.shared : 0,
      failureRate: 0,
      isAvoided: isCut(daemon.domain, domainIndex(server), nowMs - SILENCE_MS),
      isLoading: false,
      staleWeightsCostMs: 0,
      scarcity: 0,
      balanceMs: daemon.balance?.costMs(server, nowMs) ?? 0,
    };
  });
  const choice = chooseServer({
    promptTokens: kind.shared + kind.own,
    sharedTokens: kind.shared,
    fetchableTokens: fetchable ? kind.shared : 0,
    affinityKey: group,
    failureDomain: domainName(daemon.domain),
    usesPools: false,
  }, candidates)!;
  const engine = engines.find(({ server }) => server.listed.id === choice.id)!;
  const isCached = engine.cached.has(group);
  engine.cached.add(group);
  const tokens = kind.own + (isCached || fetchable ? 0 : kind.shared);
  const fetchMs = !isCached && fetchable ? FETCH_MS : 0;
  const startMs = Math.max(engine.freeAtMs, nowMs);
  engine.freeAtMs = startMs + tokens / engine.rate + fetchMs;
  const hopMs = engine.domain === daemon.domain ? 0 : 2 * HOP_MS;
  const own = daemon.own.get(choice.id) ?? [0, 0];
  daemon.own.set(choice.id, [own[0] + 1, own[1] + tokens]);
  const run: Running = {
    daemon,
    engine,
    tokens,
    firstAtMs: engine.freeAtMs,
    endMs: engine.freeAtMs + DECODE_MS,
  };
  const waitMs = engine.freeAtMs - nowMs + hopMs;
  return { run, waitMs, targetMs: kind.targetMs };
}

function domainIndex({ listed }: KnownServer): number {
  return Number(listed.failureDomain.split("-")[1]);
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
