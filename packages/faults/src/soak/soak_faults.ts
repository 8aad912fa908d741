/**
 * Faults that the soak injects from outside the processes, each with the target
 * that it occupies until it is undone.
 *
 * @module
 */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { ScenarioContext } from "../scenario.ts";

/** Undoes a fault. */
export type Undo = () => Promise<void>;

/** A fault, ready to begin. */
export interface SoakFault {
  readonly name: string;
  /** No two faults strike one target at a time. */
  readonly target: string;
  begin(): Promise<Undo>;
}

type Planner = (context: ScenarioContext) => Omit<SoakFault, "name">;

/** Ends on their own; nothing is left to undo. */
const nothing: Undo = () => Promise.resolve();

function pick<Item>(items: readonly Item[], random: RandomGenerator): Item {
  return items[uniformInt(random, 0, items.length - 1)]!;
}

/** A state of the platform's log that lasts until it is undone. */
function logState(
  state: Readonly<Record<string, unknown>>,
  normal: Readonly<Record<string, unknown>>,
): Planner {
  return ({ fleet }) => ({
    target: "log",
    async begin() {
      await fleet.platform.control(state);
      return () => fleet.platform.control(normal);
    },
  });
}

const PLANNERS: Readonly<Record<string, Planner>> = {
  daemon_killed({ fleet, random, startAgain }) {
    const daemon = pick(fleet.daemons, random);
    return {
      target: daemon.vmId,
      async begin() {
        await daemon.kill();
        return () => startAgain(daemon);
      },
    };
  },
  daemon_stopped({ fleet, random, startAgain }) {
    const daemon = pick(fleet.daemons, random);
    return {
      target: daemon.vmId,
      begin() {
        const stopped = daemon.stop();
        return Promise.resolve(async () => {
          await stopped;
          await startAgain(daemon);
        });
      },
    };
  },
  daemon_paused({ fleet, random }) {
    const daemon = pick(fleet.daemons, random);
    return {
      target: daemon.vmId,
      begin() {
        daemon.process.pause();
        return Promise.resolve(() => {
          daemon.process.resume();
          return Promise.resolve();
        });
      },
    };
  },
  engine_crashed({ fleet, random }) {
    const { vm, standIn } = pick(fleet.engines, random);
    const downMs = uniformInt(random, 200, 1_500);
    return {
      target: vm.vmId,
      async begin() {
        await standIn.control({ crash: { downMs } });
        return nothing;
      },
    };
  },
  engine_crosses_answers({ fleet, random }) {
    const { vm, standIn } = pick(fleet.engines, random);
    return {
      target: vm.vmId,
      async begin() {
        await standIn.control({ crossAnswers: 2, duplicateChunk: 3 });
        return nothing;
      },
    };
  },
  service_dies_after_run({ fleet, random }) {
    const { vm, standIn } = pick(fleet.services, random);
    return {
      target: vm.vmId,
      async begin() {
        await standIn.control({ dieAfterRun: 3 });
        return nothing;
      },
    };
  },
  log_refuses: logState({ down: "refuse" }, { down: false }),
  log_hangs: logState({ down: "hang" }, { down: false }),
  log_slow: logState({ slowMs: 700 }, { slowMs: 0 }),
  appends_refused: logState({ refuseAppends: true }, { refuseAppends: false }),
  append_answers_lost: logState(
    { loseAppendAnswers: 5 },
    { loseAppendAnswers: 0 },
  ),
  domains_cut({ fleet }) {
    const [one, other] = fleet.shape.domains;
    return {
      target: "links",
      begin() {
        fleet.network.cutDomains(one!, other!);
        return Promise.resolve(() => {
          fleet.network.heal();
          return Promise.resolve();
        });
      },
    };
  },
  domain_cut_from_log({ fleet, random }) {
    const domain = pick(fleet.shape.domains, random);
    return {
      target: "links",
      begin() {
        fleet.network.cutPlatform(domain);
        return Promise.resolve(() => {
          fleet.network.heal();
          return Promise.resolve();
        });
      },
    };
  },
};

/** Names of all faults. */
export const SOAK_FAULTS = Object.keys(PLANNERS);

/**
 * The next fault, chosen by the seed.
 *
 * @example
 * ```ts
 * const undo = await planFault(context).begin();
 * ```
 */
export function planFault(context: ScenarioContext): SoakFault {
  const name = pick(SOAK_FAULTS, context.random);
  return { name, ...PLANNERS[name]!(context) };
}
