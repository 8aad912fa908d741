/**
 * What a play consists of, drawn from its seed or fixed by a scenario.
 *
 * @module
 */

import { NO_FAULTS, type ServerFaults } from "./answer_plan.ts";
import type { FaultName, PlannedFault } from "./faults.ts";
import type { FleetShape } from "./fleet.ts";
import type { RequestKind } from "./ledger.ts";
import { LINK_SCENARIOS } from "./link_scenarios.ts";
import { drawFaults, fault } from "./planned_faults.ts";
import { type Draws, drawsFor } from "./random.ts";

/** A change of what the servers do wrong. */
export interface FaultsFrom {
  readonly atMs: number;
  readonly faults: ServerFaults;
}

/** A play: the fleet, its load, and what strikes it when. */
export interface Play {
  readonly shape: FleetShape;
  /** Requests a second for each daemon. */
  readonly ratePerS: number;
  readonly kinds: readonly RequestKind[];
  readonly retries: number;
  readonly serverFaults: readonly FaultsFrom[];
  readonly faults: readonly PlannedFault[];
}

/** What the command line sets, beside the seed. */
export interface PlayOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly daemons: number | undefined;
  readonly ratePerS: number | undefined;
  readonly servers: number | undefined;
}

/** Plans a play. */
export type Scenario = (options: PlayOptions, draws: Draws) => Play;

/** Faults of daemons and servers that the drawn plays consist of. */
const DRAWN_FAULTS: readonly FaultName[] = [
  "daemon_killed",
  "daemon_killed",
  "half_killed",
  "all_killed",
  "daemon_stopped",
  "daemon_frozen",
  "daemon_frozen",
  "all_frozen",
  "daemon_cut_from_server",
  "daemon_cut_from_server",
  "server_crashed",
  "server_crashed",
  "server_replaced",
  "server_released",
];
/** Faults beside which every software version stays. */
const STEADY_FAULTS = DRAWN_FAULTS.filter((name) => name !== "server_released");
/** Half of the faults of a play with crowds. */
const CROWDS = STEADY_FAULTS.map(() => "client_crowd" as const);
const SMALLEST_MACHINE_MB = 178;

/** Servers that cut most answers off, while daemons are killed. */
function cutAnswers(faultsFor: (daemons: number) => PlannedFault[]): Scenario {
  return ({ daemons = 8, servers = 6, ratePerS = 12 }) => ({
    shape: { daemons, servers, domains: 1, attempts: 3 },
    ratePerS,
    kinds: ["safe"],
    retries: 0,
    serverFaults: [
      { atMs: 3_000, faults: { ...NO_FAULTS, cutShare: 0.6 } },
    ],
    faults: faultsFor(daemons),
  });
}

/** Servers that answer twice, while daemons and servers are struck. */
function secondCopies(serverFaults: Partial<ServerFaults>): Scenario {
  return ({ durationMs, ...options }, draws) => ({
    shape: {
      daemons: options.daemons ?? draws.int(3, 6),
      servers: options.servers ?? draws.int(1, 3),
      domains: draws.int(1, 2),
      attempts: draws.int(1, 3),
    },
    ratePerS: options.ratePerS ?? 30,
    kinds: ["safe", "unsafe", "unsafe", "stream"],
    retries: 2,
    serverFaults: [{
      atMs: 0,
      faults: {
        ...NO_FAULTS,
        stutterShare: 0.2,
        refuseShare: draws.pick([0, 0.15, 0.3]),
        breakOffShare: 0.1,
        ...serverFaults,
      },
    }],
    faults: drawFaults(draws, {
      names: STEADY_FAULTS,
      durationMs,
      longestGapMs: 2_500,
    }),
  });
}

/** Releases of software while daemons are killed and streams break off. */
function released(
  faultsFor: (draws: Draws, durationMs: number) => PlannedFault[],
): Scenario {
  return (options, draws) => ({
    shape: {
      daemons: options.daemons ?? 6,
      servers: options.servers ?? 4,
      domains: 2,
      attempts: 2,
    },
    ratePerS: options.ratePerS ?? 12,
    kinds: ["stream"],
    retries: 3,
    serverFaults: [
      { atMs: 0, faults: { ...NO_FAULTS, breakOffShare: 0.15 } },
    ],
    faults: faultsFor(draws, options.durationMs),
  });
}

/** One server after the other is replaced by one of the next version. */
function releaseFaults(draws: Draws, atMs: number): PlannedFault[] {
  return Array.from(
    { length: 4 },
    (_, index) =>
      fault("server_released", atMs + index * 700, {
        forMs: draws.int(0, 1_500),
        server: draws.int(0, 999),
      }),
  );
}

const ROLLOUT_AT_MS = 3_000;
const ROLLOUT_DURATION_MS = 12_000;

/** One order to a good or a bad version, among other faults. */
function rollout(
  name: "version_rollout" | "bad_version_rollout",
  faultsFor: (draws: Draws) => PlannedFault[] = () => [],
): Scenario {
  return (options, draws) => ({
    shape: {
      daemons: options.daemons ?? 6,
      servers: options.servers ?? 6,
      domains: 2,
      attempts: 2,
    },
    ratePerS: options.ratePerS ?? 20,
    kinds: ["stream", "stream", "safe"],
    retries: 2,
    serverFaults: [],
    faults: [
      fault(name, ROLLOUT_AT_MS, { forMs: ROLLOUT_DURATION_MS }),
      ...faultsFor(draws),
    ],
  });
}

/** Kills and pauses of daemons during an order. */
function rolloutTroubles(draws: Draws): PlannedFault[] {
  return [3_500, 5_500, 7_500, 9_500].map((atMs) =>
    fault(draws.pick(["daemon_killed", "daemon_frozen"]), atMs, {
      forMs: draws.int(300, 2_500),
      daemon: draws.int(0, 999),
    })
  );
}

const KILLS_AT_MS = [7_000, 12_000, 17_000];

const SCENARIOS: Readonly<Record<string, Scenario>> = {
  ...LINK_SCENARIOS,
  drawn(options, draws) {
    const { durationMs } = options;
    const faultsFrom = (atMs: number): FaultsFrom => ({
      atMs,
      faults: {
        stutterShare: draws.pick([0, 0.05, 0.2]),
        cutShare: draws.pick([0, 0, 0.1, 0.6]),
        refuseShare: draws.pick([0, 0.05, 0.3]),
        unframedShare: draws.pick([0, 0.2]),
        unframedCopies: [],
        breakOffShare: draws.pick([0, 0.1, 0.3]),
      },
    });
    return {
      shape: {
        daemons: options.daemons ?? draws.int(3, 8),
        servers: options.servers ?? draws.int(1, 6),
        domains: draws.int(1, 3),
        attempts: draws.int(1, 3),
      },
      ratePerS: options.ratePerS ?? draws.pick([3, 12, 25]),
      kinds: ["safe", "unsafe", "unsafe", "stream"],
      retries: draws.int(0, 3),
      serverFaults: [1_000, 6_000, 12_000].map(faultsFrom),
      faults: drawFaults(draws, {
        names: DRAWN_FAULTS,
        durationMs,
        longestGapMs: draws.pick([800, 2_500]),
      }),
    };
  },
  // Clients outside the limits, while daemons are stopped, killed and frozen.
  client_crowds: (options, draws) => ({
    shape: {
      daemons: options.daemons ?? draws.int(3, 6),
      servers: options.servers ?? draws.int(2, 4),
      domains: draws.int(1, 2),
      attempts: 2,
      memoryMb: SMALLEST_MACHINE_MB,
    },
    ratePerS: options.ratePerS ?? 8,
    kinds: ["safe", "unsafe", "stream"],
    retries: 2,
    serverFaults: [],
    faults: drawFaults(draws, {
      names: [...CROWDS, ...STEADY_FAULTS],
      durationMs: options.durationMs,
      longestGapMs: 800,
    }),
  }),
  second_copies: secondCopies({}),
  second_copies_without_length: secondCopies({
    unframedShare: 0.3,
    unframedCopies: ["same_segment", "soon", "late", "two_pieces"],
  }),
  // Late copies of refusals meet the next attempt of the same request.
  second_copies_of_refusals: (options) => ({
    shape: {
      daemons: options.daemons ?? 3,
      servers: options.servers ?? 2,
      domains: 1,
      attempts: 4,
    },
    ratePerS: options.ratePerS ?? 60,
    kinds: ["unsafe"],
    retries: 2,
    serverFaults: [{
      atMs: 0,
      faults: { ...NO_FAULTS, stutterShare: 0.5, refuseShare: 0.15 },
    }],
    faults: [],
  }),
  copy_parts_without_length: secondCopies({
    unframedShare: 0.3,
    unframedCopies: ["tail", "part"],
  }),
  released: released((draws) => releaseFaults(draws, 3_000)),
  released_servers_crash: released((draws, durationMs) => [
    ...releaseFaults(draws, 3_000),
    ...releaseFaults(draws, 11_000),
    ...drawFaults(draws, {
      names: ["server_crashed", "daemon_frozen"],
      durationMs,
      longestGapMs: 1_500,
    }),
  ]),
  servers_upgraded: released((draws, durationMs) =>
    drawFaults(draws, {
      names: ["server_upgraded", "server_upgraded", "daemon_killed"],
      durationMs,
      longestGapMs: 1_500,
    })
  ),
  released_all_killed: released((draws) => [
    ...releaseFaults(draws, 3_000),
    ...releaseFaults(draws, 11_000),
    ...[5_300, 9_500, 14_000].map((atMs) =>
      fault("all_killed", atMs, { forMs: draws.int(200, 1_500) })
    ),
  ]),
  rollout_good: rollout("version_rollout"),
  rollout_bad: rollout("bad_version_rollout"),
  rollout_good_troubled: rollout("version_rollout", rolloutTroubles),
  rollout_bad_troubled: rollout("bad_version_rollout", rolloutTroubles),
  cut_answers_quiet: cutAnswers(() => []),
  cut_answers_half_killed: cutAnswers(() =>
    KILLS_AT_MS.map((atMs) => fault("half_killed", atMs))
  ),
  cut_answers_all_killed: cutAnswers(() =>
    KILLS_AT_MS.map((atMs) => fault("all_killed", atMs))
  ),
  cut_answers_killed_in_turn: cutAnswers((daemons) =>
    Array.from(
      { length: 14 },
      (_, index) =>
        fault("daemon_killed", 5_000 + index * 1_000, {
          daemon: index % daemons,
        }),
    )
  ),
  cut_answers_frozen: cutAnswers((daemons) =>
    KILLS_AT_MS.flatMap((atMs) =>
      Array.from(
        { length: daemons - 1 },
        (_, index) =>
          fault("daemon_frozen", atMs, { daemon: index + 1, forMs: 3_500 }),
      )
    )
  ),
};

/** Names of all scenarios. */
export const SCENARIO_NAMES = Object.keys(SCENARIOS);

/**
 * The play of a scenario.
 *
 * @example
 * ```ts
 * const play = planPlay("drawn", { seed: 7, durationMs: 20_000 });
 * ```
 */
export function planPlay(name: string, options: PlayOptions): Play {
  const scenario = SCENARIOS[name];
  if (scenario === undefined) {
    throw new Error(
      `There is no scenario "${name}"; use one of ${SCENARIO_NAMES.join(", ")}`,
    );
  }
  return scenario(options, drawsFor(options.seed, name));
}
