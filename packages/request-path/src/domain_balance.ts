/**
 * Sends the part of a failure domain's demand that its servers can't take to the
 * domain with most spare capacity, and back. It answers demand that swings by
 * half of its mean within seconds, out of phase between the domains. Daemons that
 * choose by cost alone have a share of all requests cross between domains also
 * where each could serve its own, and cross for queues that are up to a gossip
 * round old. The decision rests on sums over domains, so that all daemons of one
 * come to the same.
 *
 * @module
 */

import type {
  BackendServerId,
  FailureDomainId,
  ServiceName,
} from "@endivebend/types";
import { PREFILL_TOKENS_PER_MS } from "./server_pace.ts";
import type { KnownServer, ServerRegistry } from "./server_registry.ts";

/** Work of requests and the capacity for it, of one service in one domain. */
export interface DomainSums {
  readonly domain: FailureDomainId;
  /** What its daemons have at servers of any domain. */
  readonly demand: WorkSum;
  /** What the daemons of all domains have at its servers. */
  readonly placed: WorkSum;
  /** Requests that its servers run at a time. */
  readonly slots: number;
  /** Prompt tokens that its servers read a millisecond. */
  readonly tokensPerMs: number;
  /** Whether its daemons, or most of its servers, are not heard. */
  readonly isCutOff: boolean;
}

/** Requests, and their prompt tokens that are still to be read. */
export interface WorkSum {
  readonly running: number;
  readonly prefillTokens: number;
}

/** How the daemons of a domain share out their requests for one service. */
export interface BalanceState {
  /** Whether demand differs so clearly that domains are told apart. */
  readonly isOn: boolean;
  /** Since when it has differed so; undefined while it does not. */
  readonly differsSinceMs: number | undefined;
  /** Part of the surplus cost that is waived, 0 to 1, in steps. */
  readonly surplusLevel: number;
  /** How much of the surplus each other domain is to take, 0 to 1. */
  readonly room: ReadonlyMap<FailureDomainId, number>;
}

/** Each domain's own cost decides nothing. */
export const NO_BALANCE: BalanceState = {
  isOn: false,
  differsSinceMs: undefined,
  surplusLevel: 0,
  room: new Map(),
};

/**
 * Cost of another domain's server without a surplus. Less than reading a long
 * prompt's shared segments anew, so that caches keep their requests.
 */
const STAY_COST_MS = 80;
/** The same with a surplus and room there: the hop, and bytes are charged. */
const MOVE_COST_MS = 4;
/** Servers that have more than this to read make callers wait noticeably. */
const READ_HORIZON_MS = 120;
/** Domains are told apart where the demand of one is this multiple. */
const START_FACTOR = 1.5;
/** Lower, so that noise in the sums doesn't end what it began. */
const END_FACTOR = 1.2;
/** Below this share of a domain's capacity, costs as of today suffice. */
const START_LOAD = 0.5;
const END_LOAD = 0.3;
/** Sums of fewer requests differ by chance. */
const MIN_RUNNING = 8;
/** Shorter differences are chance, and over before daemons agree on them. */
const START_AFTER_MS = 2_000;
/** Share of a domain's capacity from which its demand is a surplus. */
const SURPLUS_LOAD = 0.7;
/** Demand at which nothing holds requests back in their domain. */
const FULL_LOAD = 1.5;
/** The surplus is passed on in steps, so that daemons agree on it. */
const LEVEL_STEP = 0.25;
/** Lies above half a step, so that noise at a boundary changes nothing. */
const LEVEL_HYSTERESIS = 0.3;
/** Domains with less than this share of the most spare capacity take none. */
const MIN_ROOM_SHARE = 0.5;
/** Time constant of the sums, a few gossip rounds; demand swings in 13 s. */
const SMOOTHING_MS = 800;
/** Gossip brings nothing newer sooner. */
const MIN_REFRESH_MS = 200;

/** Part of a domain's capacity that the work takes; more than 1 is possible. */
function loadOf(
  work: WorkSum,
  { slots, tokensPerMs }: Pick<DomainSums, "slots" | "tokensPerMs">,
): number {
  if (slots <= 0) return 0;
  const readLoad = work.prefillTokens / (tokensPerMs * READ_HORIZON_MS);
  return Math.max(work.running / slots, readLoad);
}

/**
 * Decides how the daemons of `own` share out requests, given the sums of all
 * domains and the state before. While a domain is cut off it gets no surplus,
 * and what was told apart stays so, as its demand is unknown.
 *
 * @example
 * ```ts
 * state = decideBalance(state, { own, sums, nowMs });
 * ```
 */
export function decideBalance(
  before: BalanceState,
  { own, sums, nowMs }: {
    readonly own: FailureDomainId;
    readonly sums: readonly DomainSums[];
    readonly nowMs: number;
  },
): BalanceState {
  const served = sums.filter(({ slots, isCutOff }) => slots > 0 || isCutOff);
  const heard = served.filter(({ isCutOff }) => !isCutOff);
  if (served.length < 2) return NO_BALANCE;
  if (!isToldApart(before, { served, heard })) return NO_BALANCE;
  const differsSinceMs = before.differsSinceMs ?? nowMs;
  if (!before.isOn && nowMs - differsSinceMs < START_AFTER_MS) {
    return { ...NO_BALANCE, differsSinceMs };
  }
  const home = served.find(({ domain }) => domain === own);
  const load = home === undefined ? FULL_LOAD : loadOf(home.demand, home);
  const surplusLevel = levelOf(
    before.surplusLevel,
    (load - SURPLUS_LOAD) / (FULL_LOAD - SURPLUS_LOAD),
  );
  const others = heard.filter(({ domain }) => domain !== own);
  return { isOn: true, differsSinceMs, surplusLevel, room: roomOf(others) };
}

function isToldApart(
  before: BalanceState,
  { served, heard }: {
    readonly served: readonly DomainSums[];
    readonly heard: readonly DomainSums[];
  },
): boolean {
  if (before.isOn && heard.length < served.length) return true;
  if (heard.length < 2) return false;
  const loads = heard.map((sums) => loadOf(sums.demand, sums));
  const highest = Math.max(...loads);
  const lowest = Math.min(...loads);
  const most = Math.max(...heard.map(({ demand }) => demand.running));
  return before.isOn
    ? highest >= END_LOAD && highest >= END_FACTOR * lowest
    : most >= MIN_RUNNING && highest >= START_LOAD &&
      highest >= START_FACTOR * lowest;
}

/** The level that the share asks for, unless it is near the present one. */
function levelOf(before: number, share: number): number {
  const clamped = Math.min(1, Math.max(0, share));
  if (Math.abs(clamped - before) <= LEVEL_HYSTERESIS) return before;
  return Math.round(clamped / LEVEL_STEP) * LEVEL_STEP;
}

/** The domain with most spare capacity has room 1, those with half of it 0. */
function roomOf(
  others: readonly DomainSums[],
): ReadonlyMap<FailureDomainId, number> {
  const spare = others.map((sums) => {
    const load = Math.max(
      loadOf(sums.demand, sums),
      loadOf(sums.placed, sums),
    );
    return Math.max(0, 1 - load) * sums.tokensPerMs;
  });
  const most = Math.max(...spare);
  return new Map(others.map(({ domain }, index) => {
    const share = most > 0 ? spare[index]! / most : 0;
    const room = (share - MIN_ROOM_SHARE) / (1 - MIN_ROOM_SHARE);
    return [domain, Math.max(0, room)];
  }));
}

/**
 * Cost of a server of another domain.
 *
 * @example
 * ```ts
 * const costMs = balanceCostMs(state, server.listed.failureDomain);
 * ```
 */
export function balanceCostMs(
  { isOn, surplusLevel, room }: BalanceState,
  domain: FailureDomainId,
): number {
  if (!isOn) return 0;
  const waived = surplusLevel * (room.get(domain) ?? 0);
  return STAY_COST_MS - waived * (STAY_COST_MS - MOVE_COST_MS);
}

/** What a daemon has at servers, as it tells by gossip. */
export interface SenderWork {
  readonly failureDomain: FailureDomainId;
  readonly work: Readonly<
    Record<BackendServerId, readonly [running: number, prefillTokens: number]>
  >;
}

/** What the balance of a daemon needs to know. */
export interface DomainBalanceOptions {
  readonly failureDomain: FailureDomainId;
  readonly registry: Pick<ServerRegistry, "usable" | "isAvoided">;
  /** The work of all daemons that are heard, this one included. */
  senders(nowMs: number): readonly SenderWork[];
  /** Domains whose daemons are not heard. */
  silentDomains(nowMs: number): ReadonlySet<FailureDomainId>;
  /** Milliseconds in which every daemon has sent to every other one. */
  gossipRoundMs(): number;
  /** Prompt tokens that the server reads a ms; a data sheet's without it. */
  tokensPerMs?(server: KnownServer, nowMs: number): number;
  /** Called when the domains are told apart, or no more, or the level moves. */
  changed(
    service: ServiceName,
    state: BalanceState,
    sums: readonly DomainSums[],
  ): void;
}

interface ServiceBalance {
  state: BalanceState;
  sums: readonly DomainSums[];
  atMs: number;
}

/** The balance between the failure domains, for each service. */
export class DomainBalance {
  readonly #options: DomainBalanceOptions;
  readonly #services = new Map<ServiceName, ServiceBalance>();

  constructor(options: DomainBalanceOptions) {
    this.#options = options;
  }

  /**
   * Cost of sending a request to the server because of its failure domain; 0 for
   * servers of the own one, and where the domains are not told apart.
   */
  costMs({ listed }: KnownServer, nowMs: number): number {
    const { failureDomain } = this.#options;
    if (listed.failureDomain === failureDomain) return 0;
    const { state } = this.#refreshed(listed.service, nowMs);
    return balanceCostMs(state, listed.failureDomain);
  }

  /** How the daemons of this domain share out requests for the service. */
  stateOf(service: ServiceName): BalanceState {
    return this.#services.get(service)?.state ?? NO_BALANCE;
  }

  #refreshed(service: ServiceName, nowMs: number): ServiceBalance {
    const known = this.#services.get(service);
    const refreshMs = Math.max(MIN_REFRESH_MS, this.#options.gossipRoundMs());
    if (known !== undefined && nowMs - known.atMs < refreshMs) return known;
    const measured = sumDomains(service, { options: this.#options, nowMs });
    const keep = known && Math.exp(-(nowMs - known.atMs) / SMOOTHING_MS);
    const sums = smooth(measured, known?.sums ?? [], keep ?? 0);
    const before = known?.state ?? NO_BALANCE;
    const own = this.#options.failureDomain;
    const state = decideBalance(before, { own, sums, nowMs });
    const balance = { state, sums, atMs: nowMs };
    this.#services.set(service, balance);
    const isNews = state.isOn !== before.isOn ||
      state.surplusLevel !== before.surplusLevel;
    if (isNews) this.#options.changed(service, state, sums);
    return balance;
  }
}

interface Totals {
  demand: { running: number; prefillTokens: number };
  placed: { running: number; prefillTokens: number };
  slots: number;
  tokensPerMs: number;
  servers: number;
  avoided: number;
}

function sumDomains(
  service: ServiceName,
  { options, nowMs }: {
    readonly options: DomainBalanceOptions;
    readonly nowMs: number;
  },
): DomainSums[] {
  const { registry } = options;
  const totals = new Map<FailureDomainId, Totals>();
  const domainOf = new Map<string, Totals>();
  for (const server of registry.usable(service, nowMs)) {
    const { listed } = server;
    const sums = totalsOf(totals, listed.failureDomain);
    domainOf.set(listed.id, sums);
    sums.servers += 1;
    if (registry.isAvoided(server, nowMs)) {
      sums.avoided += 1;
      continue;
    }
    sums.slots += Math.max(1, listed.slots);
    sums.tokensPerMs += options.tokensPerMs?.(server, nowMs) ??
      PREFILL_TOKENS_PER_MS;
  }
  for (const { failureDomain, work } of options.senders(nowMs)) {
    const { demand } = totalsOf(totals, failureDomain);
    for (const id in work) {
      const at = domainOf.get(id);
      if (at === undefined) continue;
      const [running, prefillTokens] = work[id as BackendServerId]!;
      demand.running += running;
      demand.prefillTokens += prefillTokens;
      at.placed.running += running;
      at.placed.prefillTokens += prefillTokens;
    }
  }
  const silent = options.silentDomains(nowMs);
  return [...totals].map(([domain, sums]) => ({
    domain,
    ...sums,
    isCutOff: sums.servers > 0 &&
      (silent.has(domain) || 2 * sums.avoided > sums.servers),
  }));
}

function totalsOf(
  totals: Map<FailureDomainId, Totals>,
  domain: FailureDomainId,
): Totals {
  const known = totals.get(domain);
  if (known !== undefined) return known;
  const empty = {
    demand: { running: 0, prefillTokens: 0 },
    placed: { running: 0, prefillTokens: 0 },
    slots: 0,
    tokensPerMs: 0,
    servers: 0,
    avoided: 0,
  };
  totals.set(domain, empty);
  return empty;
}

/** Averages work over time; capacity and cuts count at once. */
function smooth(
  measured: readonly DomainSums[],
  before: readonly DomainSums[],
  keep: number,
): DomainSums[] {
  const mix = (now: WorkSum, then: WorkSum): WorkSum => ({
    running: now.running + keep * (then.running - now.running),
    prefillTokens: now.prefillTokens +
      keep * (then.prefillTokens - now.prefillTokens),
  });
  return measured.map((sums) => {
    const then = before.find(({ domain }) => domain === sums.domain);
    if (then === undefined) return sums;
    return {
      ...sums,
      demand: mix(sums.demand, then.demand),
      placed: mix(sums.placed, then.placed),
    };
  });
}
