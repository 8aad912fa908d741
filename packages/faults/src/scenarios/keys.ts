/**
 * Keys that are withdrawn while their callers are connected.
 *
 * @module
 */

import { proposeChange, type Team } from "../harness/operator.ts";
import type { Outcome } from "../load/outcome.ts";
import { callStream } from "../load/stream_call.ts";
import { mustBeZero } from "../run_scenario.ts";
import type { Scenario, ScenarioContext } from "../scenario.ts";

/** A withdrawn key stops working within this time. */
const WITHDRAWAL_TARGET_MS = 2000;
const STREAMS_PER_DAEMON = 3;
/** At 8 ms per token about 5 s: longer than a withdrawal may take. */
const LONG_STREAM_TOKENS = 600;

/** Streams of a team at every daemon, begun again whenever one ends. */
class TeamStreams {
  readonly outcomes: Outcome[] = [];
  readonly #loops: Promise<void>[] = [];
  #isStopped = false;

  constructor(context: ScenarioContext, team: Team) {
    for (const daemon of context.fleet.daemons) {
      const target = context.rotation.of(daemon);
      for (let index = 0; index < STREAMS_PER_DAEMON; index++) {
        const prompt = `${daemon.vmId} ${index}`;
        const maxTokens = LONG_STREAM_TOKENS;
        this.#loops.push(
          this.#loop(() =>
            callStream(context.rotation, { team, target, prompt, maxTokens })
          ),
        );
      }
    }
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#loops);
  }

  /** Calls that still got an answer after a moment. */
  answeredAfter(atMs: number): number {
    return this.outcomes.filter(({ kind, endedAtMs }) =>
      kind === "answered" && endedAtMs > atMs
    ).length;
  }

  async #loop(call: () => Promise<Outcome>): Promise<void> {
    while (!this.#isStopped) {
      this.outcomes.push(await call());
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
  }
}

async function withdrawUnderLoad(
  context: ScenarioContext,
  options: { readonly whenStreaming: () => Promise<void> },
): Promise<void> {
  const { fleet, check, pass } = context;
  const team = await fleet.createTeam({ name: "st-john" });
  await pass(1500);
  const streams = new TeamStreams(context, team);
  await pass(1000);
  await options.whenStreaming();
  context.faultBegins();
  const withdrawnAtMs = performance.now();
  const { keyId } = team;
  const change = { kind: "key_withdrawn", keyId };
  const { status } = await proposeChange(fleet.daemons[0]!, change);
  const detail = `status ${status}`;
  check("withdrawal taken", {
    isMet: status === 200 || status === 202,
    detail,
  });
  await pass(WITHDRAWAL_TARGET_MS + 2000);
  await streams.stop();
  context.addOutcomes(...streams.outcomes);
  const late = streams.answeredAfter(withdrawnAtMs + WITHDRAWAL_TARGET_MS);
  check("answers to a key 2 s after its withdrawal", mustBeZero(late));
  const before =
    streams.outcomes.filter(({ code }) => code === "key_withdrawn").length;
  check("calls told that the key is withdrawn", {
    isMet: before > 0,
    detail: String(before),
  });
}

const keyWithdrawn: Scenario = {
  name: "key_withdrawn",
  summary: "A key is withdrawn while its streams run at every daemon",
  async run(context) {
    await withdrawUnderLoad(context, { whenStreaming: async () => {} });
  },
};

const keyWithdrawnLogDown: Scenario = {
  name: "key_withdrawn_log_down",
  summary: "A key is withdrawn while the log is down",
  async run(context) {
    const { platform } = context.fleet;
    await withdrawUnderLoad(context, {
      whenStreaming: () => platform.control({ down: "refuse" }),
    });
    await platform.control({ down: false });
    await context.pass(1500);
  },
};

/** Scenarios about keys. */
export const KEY_SCENARIOS: readonly Scenario[] = [
  keyWithdrawn,
  keyWithdrawnLogDown,
];
