/**
 * Several faults at the same time.
 *
 * @module
 */

import type { Scenario } from "../scenario.ts";

const everythingAtOnce: Scenario = {
  name: "everything_at_once",
  summary: "Log down, engine crash, lost service answers and a killed daemon",
  async run({ fleet, faultBegins, pass, startAgain }) {
    const victim = fleet.daemons[2]!;
    faultBegins();
    await fleet.platform.control({ loseAppendAnswers: 5 });
    await fleet.services[0]!.standIn.control({ dieAfterRun: 5 });
    await fleet.engines[0]!.standIn.control({ crash: { downMs: 1000 } });
    await pass(500);
    await fleet.platform.control({ down: "hang" });
    await victim.kill();
    await fleet.engines[2]!.standIn.control({ silence: true });
    await pass(2500);
    await fleet.platform.control({ down: false });
    await startAgain(victim);
    await pass(2000);
  },
};

const stopWhileLogDown: Scenario = {
  name: "entry_stopped_log_down",
  summary: "A daemon gets SIGTERM while the log hangs",
  isPlanned: true,
  async run({ fleet, faultBegins, check, pass }) {
    faultBegins();
    await fleet.platform.control({ down: "hang" });
    await pass(1000);
    const code = await fleet.daemons[0]!.stop();
    const detail = String(code);
    check("exit while the log hangs", { isMet: code === 0, detail });
    await fleet.platform.control({ down: false });
    await pass(1000);
  },
};

/** Scenarios that combine faults. */
export const COMBINED_SCENARIOS: readonly Scenario[] = [
  everythingAtOnce,
  stopWhileLogDown,
];
