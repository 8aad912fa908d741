import test from "ava";
import { COURSES, DAEMONS } from "./testing_courses.ts";
import { playRepeats } from "./testing_repeats.ts";

/** Ten connections for each daemon, which gets requests for thrice as many. */
const MAX_CONNECTIONS = DAEMONS * 10;
const REQUESTS_PER_DAEMON_PER_S = 12;
/** An answer takes 2.4 s. */
const EVENTS = 80;

for (const [name, { events, day }] of Object.entries(COURSES)) {
  if (day?.requestsPerDaemonPerS !== undefined) continue;
  test.serial(`a server gets no more connections than it accepts ${name}`, async (t) => {
    const fleet = await playRepeats({
      seed: 1,
      daemons: DAEMONS,
      engines: 1,
      requestsPerDaemonPerS: REQUESTS_PER_DAEMON_PER_S,
      lengthMs: 24_000,
      ...day,
      brokenPerCent: 0,
      maxConnections: MAX_CONNECTIONS,
      slots: MAX_CONNECTIONS,
      events: EVENTS,
    }, events);
    const [{ peakAttempts = 0 } = {}] = fleet.runningEngines();
    t.true(peakAttempts > 0);
    t.true(
      peakAttempts <= MAX_CONNECTIONS,
      `${peakAttempts} connections, ${MAX_CONNECTIONS} accepted`,
    );
    t.log(`${peakAttempts} connections, ${MAX_CONNECTIONS} accepted`);
  });
}
