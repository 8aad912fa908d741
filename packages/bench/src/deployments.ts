/**
 * The two deployments at today's size.
 *
 * @module
 */

import type { TraceEngine, TraceHeader, TraceTeam } from "./trace.ts";

/** How a deployment's traffic is made. */
export interface Workload {
  readonly longPerSecond: number;
  readonly shortPerSecond: number;
  /** Shares of the teams in the requests. */
  readonly teamWeights: readonly number[];
  /** Outer prefixes of each team. */
  readonly roots: number;
  readonly rootTokens: readonly [number, number];
  /** Inner prefixes of each outer one. */
  readonly branches: number;
  readonly branchTokens: readonly [number, number];
  readonly ownTokens: readonly [number, number];
  readonly shortTokens: readonly [number, number];
  readonly longOutputTokens: readonly [number, number];
  readonly shortOutputTokens: readonly [number, number];
  /** The popularity of prefixes is drawn anew after this time. */
  readonly shiftMs: number;
  /** A burst of requests for one inner prefix starts about this often. */
  readonly burstEveryMs: number;
  readonly burstRequests: number;
  /** The heavy team sends this many times its usual rate. */
  readonly heavyFactor: number;
  /** Weights of the routers in the order of their ids. */
  readonly routerWeights: readonly number[];
}

/** A deployment: hardware, teams and traffic. */
export interface Deployment {
  readonly header: Omit<TraceHeader, "seed" | "warmupMs">;
  readonly workload: Workload;
}

const ENGINE = {
  cacheBlocks: 160,
  maxRunning: 48,
  chunkTokens: 512,
  stepBaseMs: 6,
  prefillMsPerToken: 0.1,
  decodeMsPerSequence: 0.25,
};

const NETWORK = {
  importSetupMs: 5,
  importMsPerBlock: 12,
  eventDelayMs: 50,
  eventJitterMs: 100,
  eventLossFraction: 0.01,
  loadLagMs: 200,
};

const BURST_SECONDS = 10;

const TOLLHAVEN: Deployment = {
  header: {
    kind: "header",
    version: 1,
    trace: "tollhaven",
    engines: engines({ prefix: "chime", count: 6, domains: 3 }),
    store: {
      id: "rulebook-cache",
      domain: "d1",
      capacityBlocks: 1_200,
      putDelayMs: 300,
    },
    routers: routers({ count: 8, domains: 3 }),
    teams: teams(["st-mary", "st-john", "minster", "guild", "harbour"], {
      rateTokensPerSecond: 160_000,
    }),
    network: { ...NETWORK, sameDomainMs: 0.25, otherDomainMs: 0.5 },
    ttftDeadlineMs: 30_000,
  },
  workload: {
    longPerSecond: 3,
    shortPerSecond: 8,
    teamWeights: [5, 3, 1, 1, 1],
    roots: 4,
    rootTokens: [12_000, 20_000],
    branches: 10,
    branchTokens: [6_000, 10_000],
    ownTokens: [800, 3_000],
    shortTokens: [60, 600],
    longOutputTokens: [100, 400],
    shortOutputTokens: [20, 100],
    shiftMs: 60_000,
    burstEveryMs: 30_000,
    burstRequests: 12,
    heavyFactor: 1,
    routerWeights: [3, 2, 1, 1, 1, 1, 1, 1],
  },
};

const SIEGELWERK: Deployment = {
  header: {
    kind: "header",
    version: 1,
    trace: "siegelwerk",
    engines: engines({ prefix: "heraldry", count: 8, domains: 4 }),
    store: {
      id: "brief-cache",
      domain: "d1",
      capacityBlocks: 1_600,
      putDelayMs: 300,
    },
    routers: routers({ count: 9, domains: 4 }),
    teams: teams(["wappen", "herold", "muenze", "siegel", "grossmann"], {
      rateTokensPerSecond: 60_000,
      heavy: { id: "grossmann", rateTokensPerSecond: 20_000 },
    }),
    network: { ...NETWORK, sameDomainMs: 0.25, otherDomainMs: 0.75 },
    ttftDeadlineMs: 30_000,
  },
  workload: {
    longPerSecond: 3.5,
    shortPerSecond: 8,
    teamWeights: [2, 2, 1, 1, 2],
    roots: 6,
    rootTokens: [8_000, 16_000],
    branches: 8,
    branchTokens: [4_000, 8_000],
    ownTokens: [800, 3_000],
    shortTokens: [60, 600],
    longOutputTokens: [100, 400],
    shortOutputTokens: [20, 100],
    shiftMs: 60_000,
    burstEveryMs: 30_000,
    burstRequests: 8,
    heavyFactor: 10,
    routerWeights: [4, 2, 1, 1, 1, 1, 1, 1, 1],
  },
};

/** Deployments by the name of their trace. */
export const DEPLOYMENTS: Readonly<Record<string, Deployment>> = {
  tollhaven: TOLLHAVEN,
  siegelwerk: SIEGELWERK,
};

function domainOf(index: number, domains: number): string {
  return `d${index % domains + 1}`;
}

function engines(
  spec: { prefix: string; count: number; domains: number },
): TraceEngine[] {
  return Array.from({ length: spec.count }, (_, index) => ({
    id: `${spec.prefix}-${index + 1}`,
    domain: domainOf(index, spec.domains),
    ...ENGINE,
  }));
}

function routers(spec: { count: number; domains: number }) {
  return Array.from({ length: spec.count }, (_, index) => ({
    id: `entry-${index + 1}`,
    domain: domainOf(index, spec.domains),
  }));
}

function teams(
  ids: readonly string[],
  options: {
    rateTokensPerSecond: number;
    /** Its rate is about what it sends usually. */
    heavy?: { readonly id: string; readonly rateTokensPerSecond: number };
  },
): TraceTeam[] {
  return ids.map((id) => {
    const { heavy } = options;
    const isHeavy = id === heavy?.id;
    const { rateTokensPerSecond } = isHeavy ? heavy : options;
    const burstTokens = rateTokensPerSecond * BURST_SECONDS;
    return { id, rateTokensPerSecond, burstTokens, heavy: isHeavy };
  });
}
