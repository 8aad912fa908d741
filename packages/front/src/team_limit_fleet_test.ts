import test from "ava";
import { COURSES, DAEMONS, ENGINES } from "./testing_courses.ts";
import type { TestFleet } from "./testing_fleet.ts";
import { playRepeats } from "./testing_repeats.ts";

/** The users' bound on what runs in a window, as the settings name it. */
const WINDOW_MS = 8_000;
const OVERSHOOT = 0.1;
/** The daemons get three times the requests that the team may send. */
const DEMAND_PER_DAEMON_PER_S = 12;
const TEAM_LIMIT = { ratePerS: DAEMONS * 4, burst: DAEMONS * 4 };
const WITHIN_LIMIT = (TEAM_LIMIT.ratePerS * WINDOW_MS / 1_000 +
  TEAM_LIMIT.burst) * (1 + OVERSHOOT);
const SLACK = Math.round(0.05 * WITHIN_LIMIT);

/** The most requests that were both sent and run within a window. */
function mostInWindow({ arrivals, outcomes }: TestFleet) {
  const sentAtMs = new Map(
    outcomes.map((outcome) => [outcome.requestId, outcome.sentAtMs]),
  );
  let most = { endMs: 0, count: 0 };
  for (const [index, { atMs: endMs }] of arrivals.entries()) {
    const fromMs = endMs - WINDOW_MS;
    let count = 0;
    for (let at = index; at >= 0 && arrivals[at]!.atMs > fromMs; at--) {
      const wasSentWithin = sentAtMs.get(arrivals[at]!.requestId)! > fromMs;
      if (wasSentWithin) count += 1;
    }
    if (count > most.count) most = { endMs, count };
  }
  return most;
}

for (const [name, { events, day }] of Object.entries(COURSES)) {
  if (day?.requestsPerDaemonPerS !== undefined) continue;
  test.serial(`a team's requests stay within its limit ${name}`, async (t) => {
    const fleet = await playRepeats({
      seed: 1,
      daemons: DAEMONS,
      engines: ENGINES,
      requestsPerDaemonPerS: DEMAND_PER_DAEMON_PER_S,
      lengthMs: 24_000,
      ...day,
      brokenPerCent: 0,
      teamLimit: TEAM_LIMIT,
      teamSlack: SLACK,
    }, events);
    const { endMs, count } = mostInWindow(fleet);
    const allowed = WITHIN_LIMIT + SLACK;
    t.log(`${count} requests, ${allowed} allowed at ${endMs} ms`);
    t.true(count <= allowed, `${count} requests in 8 s, ${allowed} allowed`);
  });
}
