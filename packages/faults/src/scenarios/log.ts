/**
 * The platform's log down, slow, or losing answers.
 *
 * @module
 */

import type { Scenario } from "../scenario.ts";

const logDown: Scenario = {
  name: "log_down",
  summary: "The platform refuses connections for 4 s",
  async run({ fleet, faultBegins, pass }) {
    faultBegins();
    await fleet.platform.control({ down: "refuse" });
    await pass(4000);
    await fleet.platform.control({ down: false });
    await pass(1500);
  },
};

const logHangs: Scenario = {
  name: "log_hangs",
  summary: "The platform accepts connections and answers nothing for 4 s",
  async run({ fleet, faultBegins, pass }) {
    faultBegins();
    await fleet.platform.control({ down: "hang" });
    await pass(4000);
    await fleet.platform.control({ down: false });
    await pass(1500);
  },
};

const logSlow: Scenario = {
  name: "log_slow",
  summary: "Every answer of the platform comes 700 ms late for 5 s",
  async run({ fleet, faultBegins, pass }) {
    faultBegins();
    await fleet.platform.control({ slowMs: 700 });
    await pass(5000);
    await fleet.platform.control({ slowMs: 0 });
    await pass(1000);
  },
};

const logFlaps: Scenario = {
  name: "log_flaps",
  summary: "The platform goes away and comes back every half second",
  async run({ fleet, faultBegins, pass }) {
    faultBegins();
    for (let round = 0; round < 6; round++) {
      const down = round % 2 === 0 ? "refuse" : "hang";
      await fleet.platform.control({ down });
      await pass(500);
      await fleet.platform.control({ down: false });
      await pass(500);
    }
  },
};

const appendAnswersLost: Scenario = {
  name: "append_answers_lost",
  summary: "Appends take effect and lose their answers, over and over",
  async run({ fleet, faultBegins, pass }) {
    faultBegins();
    for (let round = 0; round < 8; round++) {
      await fleet.platform.control({ loseAppendAnswers: 5 });
      await pass(500);
    }
    await fleet.platform.control({ loseAppendAnswers: 0 });
  },
};

const appendsRefused: Scenario = {
  name: "appends_refused",
  summary: "The log serves reads and refuses every append for 3 s",
  async run({ fleet, faultBegins, pass }) {
    faultBegins();
    await fleet.platform.control({ refuseAppends: true });
    await pass(3000);
    await fleet.platform.control({ refuseAppends: false });
    await pass(1500);
  },
};

const appendRateExhausted: Scenario = {
  name: "append_rate_exhausted",
  summary: "The log takes only ten appends per second",
  async run({ fleet, faultBegins, pass }) {
    faultBegins();
    await fleet.platform.control({ appendsPerSecond: 10 });
    await pass(5000);
  },
};

/** Scenarios about the log. */
export const LOG_SCENARIOS: readonly Scenario[] = [
  logDown,
  logHangs,
  logSlow,
  logFlaps,
  appendAnswersLost,
  appendsRefused,
  appendRateExhausted,
];
