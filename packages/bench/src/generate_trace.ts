/**
 * Records a trace of a deployment from a seed.
 *
 * @module
 */

import type { Deployment, Workload } from "./deployments.ts";
import { Random } from "./random.ts";
import type {
  FaultEvent,
  PromptLevel,
  RequestEvent,
  Trace,
  TraceEvent,
  TraceHeader,
} from "./trace.ts";

const CRASH_EVERY_MS = 90_000;
const EVENT_LOSS_EVERY_MS = 40_000;
const EVENT_LOSS_MS = 2_000;
const WARMUP_FRACTION = 0.2;
const RESTART_AT_FRACTION = 0.6;
const RESTART_DOWN_MS = 300;
/** Popularity of the n-th prefix is 1 / n to this power. */
const ZIPF_EXPONENT = 1.1;
const BURST_SPREAD_MS = 4_000;

interface Prefix {
  readonly root: PromptLevel;
  readonly branches: readonly PromptLevel[];
}

/**
 * Gives a trace with about `requests` requests, excess not counted.
 *
 * @example
 * ```ts
 * const trace = generateTrace(deployment, { seed: 1, requests: 4000 });
 * ```
 */
export function generateTrace(
  deployment: Deployment,
  options: { readonly seed: number; readonly requests: number },
): Trace {
  const { workload } = deployment;
  const perSecond = workload.longPerSecond + workload.shortPerSecond;
  const durationMs = options.requests / perSecond * 1000;
  const header: TraceHeader = {
    ...deployment.header,
    seed: options.seed,
    warmupMs: Math.round(durationMs * WARMUP_FRACTION),
  };
  const random = new Random(options.seed);
  const traffic = new TrafficGenerator(header, { workload, random });
  const events: TraceEvent[] = [
    ...traffic.requests(durationMs),
    ...faults(header, { durationMs, random }),
  ];
  events.sort((a, b) => a.atMs - b.atMs);
  return { header, events };
}

class TrafficGenerator {
  readonly #header: TraceHeader;
  readonly #workload: Workload;
  readonly #random: Random;
  readonly #prefixes: readonly (readonly Prefix[])[];
  #ranking: number[][] = [];
  #nextId = 0;

  constructor(
    header: TraceHeader,
    options: { readonly workload: Workload; readonly random: Random },
  ) {
    this.#header = header;
    this.#workload = options.workload;
    this.#random = options.random;
    this.#prefixes = header.teams.map((team) => this.#makePrefixes(team.id));
  }

  requests(durationMs: number): RequestEvent[] {
    const { longPerSecond, shortPerSecond, shiftMs } = this.#workload;
    const meanGapMs = 1000 / (longPerSecond + shortPerSecond);
    const longShare = longPerSecond / (longPerSecond + shortPerSecond);
    const requests: RequestEvent[] = this.#bursts(durationMs);
    let shiftedAtMs = -Infinity;
    let atMs = this.#random.exponential(meanGapMs);
    while (atMs < durationMs) {
      if (atMs >= shiftedAtMs + shiftMs) {
        this.#shift();
        shiftedAtMs = atMs;
      }
      const team = this.#random.weighted(this.#workload.teamWeights);
      const isLong = this.#random.fraction() < longShare;
      requests.push(this.#request({ atMs, team, isLong, excess: false }));
      requests.push(...this.#excess({ atMs, team, isLong }));
      atMs += this.#random.exponential(meanGapMs);
    }
    return requests;
  }

  /** What the heavy team sends besides each request of its usual rate. */
  #excess(at: { atMs: number; team: number; isLong: boolean }) {
    if (!this.#header.teams[at.team]!.heavy) {
      return [];
    }
    const count = this.#workload.heavyFactor - 1;
    return Array.from({ length: count }, () => {
      const atMs = at.atMs + this.#random.between(0, 1_000);
      return this.#request({ ...at, atMs, excess: true });
    });
  }

  #bursts(durationMs: number): RequestEvent[] {
    const { burstEveryMs, burstRequests } = this.#workload;
    this.#shift();
    const requests: RequestEvent[] = [];
    let atMs = this.#random.exponential(burstEveryMs);
    while (atMs < durationMs - BURST_SPREAD_MS) {
      const team = this.#random.weighted(this.#workload.teamWeights);
      const prefix = this.#random.pick(this.#prefixes[team]!);
      const branch = this.#random.pick(prefix.branches);
      for (let count = 0; count < burstRequests; count++) {
        const offsetMs = this.#random.between(0, BURST_SPREAD_MS);
        const levels = [prefix.root, branch, this.#ownLevel()];
        requests.push(this.#event({ atMs: atMs + offsetMs, team, levels }));
      }
      atMs += this.#random.exponential(burstEveryMs);
    }
    return requests;
  }

  #request(
    at: { atMs: number; team: number; isLong: boolean; excess: boolean },
  ): RequestEvent {
    if (!at.isLong) {
      const tokens = this.#random.integer(...this.#workload.shortTokens);
      const levels = [{ id: `s${this.#nextId}`, tokens }];
      return this.#event({ ...at, levels });
    }
    const prefixes = this.#prefixes[at.team]!;
    const ranked = this.#ranking[at.team]!;
    const root = prefixes[ranked[this.#zipf(prefixes.length)]!]!;
    const branch = root.branches[this.#zipf(root.branches.length)]!;
    return this.#event({
      ...at,
      levels: [root.root, branch, this.#ownLevel()],
    });
  }

  #event(
    fields: {
      atMs: number;
      team: number;
      levels: readonly PromptLevel[];
      excess?: boolean;
    },
  ): RequestEvent {
    const isLong = fields.levels.length > 1;
    const { longOutputTokens, shortOutputTokens } = this.#workload;
    const output = isLong ? longOutputTokens : shortOutputTokens;
    const router = this.#random.weighted(this.#workload.routerWeights);
    return {
      kind: "request",
      atMs: Math.round(fields.atMs * 1000) / 1000,
      id: `r${this.#nextId++}`,
      team: this.#header.teams[fields.team]!.id,
      router: this.#header.routers[router]!.id,
      levels: fields.levels,
      outputTokens: this.#random.integer(...output),
      excess: fields.excess ?? false,
    };
  }

  #ownLevel(): PromptLevel {
    const tokens = this.#random.integer(...this.#workload.ownTokens);
    return { id: `q${this.#nextId}`, tokens };
  }

  #makePrefixes(team: string): Prefix[] {
    const { roots, rootTokens, branches, branchTokens } = this.#workload;
    return Array.from({ length: roots }, (_, root) => ({
      root: {
        id: `${team}/${root}`,
        tokens: this.#random.integer(...rootTokens),
      },
      branches: Array.from({ length: branches }, (_, branch) => ({
        id: `${team}/${root}/${branch}`,
        tokens: this.#random.integer(...branchTokens),
      })),
    }));
  }

  #shift(): void {
    this.#ranking = this.#prefixes.map((prefixes) =>
      this.#random.shuffled(prefixes.map((_, index) => index))
    );
  }

  #zipf(count: number): number {
    const weights = Array.from(
      { length: count },
      (_, index) => 1 / (index + 1) ** ZIPF_EXPONENT,
    );
    return this.#random.weighted(weights);
  }
}

function faults(
  header: TraceHeader,
  options: { readonly durationMs: number; readonly random: Random },
): FaultEvent[] {
  const { durationMs, random } = options;
  const engineIds = header.engines.map((engine) => engine.id);
  const events: FaultEvent[] = [{
    kind: "routers_restart",
    atMs: Math.round(durationMs * RESTART_AT_FRACTION),
    routers: header.routers.map((router) => router.id),
    downMs: RESTART_DOWN_MS,
  }];
  for (const atMs of times(CRASH_EVERY_MS, options)) {
    const downMs = random.integer(2_000, 5_000);
    const engine = random.pick(engineIds);
    events.push({ kind: "engine_crash", atMs, engine, downMs });
  }
  for (const atMs of times(EVENT_LOSS_EVERY_MS, options)) {
    const engine = random.pick(engineIds);
    const durationMs = EVENT_LOSS_MS;
    events.push({ kind: "events_lost", atMs, engine, durationMs });
  }
  return events;
}

function times(
  everyMs: number,
  options: { readonly durationMs: number; readonly random: Random },
): number[] {
  const result: number[] = [];
  let atMs = options.random.exponential(everyMs);
  while (atMs < options.durationMs) {
    result.push(Math.round(atMs));
    atMs += options.random.exponential(everyMs);
  }
  return result;
}
