/**
 * A team that asks for far more than its rate, under faults. Over no span of
 * time may it get more than its burst and its rate.
 *
 * @module
 */

import { countTokens } from "@endivebend/types";
import type { Team, TeamRate } from "../harness/operator.ts";
import type { Outcome } from "../load/outcome.ts";
import { callStream } from "../load/stream_call.ts";
import type { Scenario, ScenarioContext } from "../scenario.ts";

const RATE: TeamRate = { tokenRatePerSecond: 400, burstTokens: 800 };
const CALLERS = 12;
const MAX_TOKENS = 16;

interface Spent {
  readonly fromMs: number;
  readonly toMs: number;
  readonly costTokens: number;
}

/** Calls that were let through: each was charged between start and end. */
class GreedyCallers {
  readonly outcomes: Outcome[] = [];
  readonly spent: Spent[] = [];
  readonly #context: ScenarioContext;
  readonly #team: Team;
  readonly #loops: Promise<void>[];
  #isStopped = false;
  #calls = 0;

  constructor(context: ScenarioContext, team: Team) {
    this.#context = context;
    this.#team = team;
    this.#loops = Array.from({ length: CALLERS }, () => this.#loop());
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#loops);
  }

  async #loop(): Promise<void> {
    while (!this.#isStopped) {
      const prompt = `Greedy request ${++this.#calls}`;
      const outcome = await callStream(this.#context.rotation, {
        team: this.#team,
        prompt,
        maxTokens: MAX_TOKENS,
      });
      this.#note(outcome, countTokens(prompt) + MAX_TOKENS);
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
  }

  #note(outcome: Outcome, costTokens: number): void {
    this.outcomes.push(outcome);
    const { kind, startedAtMs: fromMs, endedAtMs: toMs } = outcome;
    // A refused call costs nothing; one whose connection broke may not have
    // been charged. Leaving both out cannot show an excess that is none.
    if (kind === "answered" || kind === "incomplete") {
      this.spent.push({ fromMs, toMs, costTokens });
    }
  }
}

/**
 * The largest excess over burst and rate in any span: calls that began and
 * ended inside a span were charged inside it.
 */
export function largestExcess(
  spent: readonly Spent[],
  rate: TeamRate,
): number {
  const byEnd = [...spent].sort((left, right) => left.toMs - right.toMs);
  let largest = -Infinity;
  for (const { fromMs: spanStartMs } of spent) {
    let sum = 0;
    for (const { fromMs, toMs, costTokens } of byEnd) {
      if (fromMs < spanStartMs) continue;
      sum += costTokens;
      const seconds = (toMs - spanStartMs) / 1000;
      const allowed = rate.burstTokens + rate.tokenRatePerSecond * seconds;
      largest = Math.max(largest, sum - allowed);
    }
  }
  return largest;
}

async function greedUnder(
  context: ScenarioContext,
  fault: () => Promise<void>,
): Promise<void> {
  const { fleet, check, pass } = context;
  const team = await fleet.createTeam({ name: "st-greed", rate: RATE });
  await pass(1500);
  const callers = new GreedyCallers(context, team);
  await pass(2000);
  context.faultBegins();
  await fault();
  await callers.stop();
  context.addOutcomes(...callers.outcomes);
  const excess = largestExcess(callers.spent, RATE);
  check("tokens over rate and burst", {
    isMet: excess <= 0,
    detail: `${
      Math.max(0, excess).toFixed(0)
    } after ${callers.spent.length} calls`,
  });
}

const rateExceeded: Scenario = {
  name: "rate_exceeded",
  summary: "A team asks for many times its rate",
  async run(context) {
    await greedUnder(context, () => context.pass(5000));
  },
};

const rateUnderPartition: Scenario = {
  name: "rate_under_partition",
  summary: "A greedy team, while the failure domains are cut apart twice",
  async run(context) {
    const { fleet, pass } = context;
    const [one, other] = fleet.shape.domains as [string, string];
    await greedUnder(context, async () => {
      for (let round = 0; round < 2; round++) {
        fleet.network.cutDomains(one, other);
        await pass(3000);
        fleet.network.heal();
        await pass(1500);
      }
    });
  },
};

const rateUnderKills: Scenario = {
  name: "rate_under_kills",
  summary: "A greedy team, while daemons are killed and started again",
  async run(context) {
    const { fleet, pass, startAgain } = context;
    await greedUnder(context, async () => {
      for (const daemon of fleet.daemons.slice(0, 3)) {
        await daemon.kill();
        await startAgain(daemon);
        await pass(500);
      }
    });
  },
};

const rateUnderPauses: Scenario = {
  name: "rate_under_pauses",
  summary: "A greedy team, while each daemon stands still longer than a loan",
  async run(context) {
    const { fleet, pass } = context;
    await greedUnder(context, async () => {
      for (const { process } of fleet.daemons) {
        process.pause();
        await pass(2500);
        process.resume();
        await pass(500);
      }
    });
  },
};

/** Scenarios about rates. */
export const RATE_SCENARIOS: readonly Scenario[] = [
  rateExceeded,
  rateUnderPartition,
  rateUnderKills,
  rateUnderPauses,
];
