import test from "ava";
import {
  brandId,
  type RequestId,
  type ServiceName,
  type TeamId,
} from "@endivebend/types";
import { AdmissionController } from "./mod.ts";
import {
  FakeCaller,
  route,
  routedRequest,
  team,
  testContext,
} from "./testing.ts";

const LIMITED = team({
  id: brandId<TeamId>("limited"),
  ratePerS: 10,
  burst: 10,
  unit: "calls",
});
const KIND = "repeatable";

/** A controller of one daemon in a fleet of four. */
function controller() {
  const { time, ...context } = testContext();
  const admission = new AdmissionController({
    context: { ...context, clock: time, scheduler: time },
    bounds: {
      tolerance: { overshootShare: 0, slackUnits: 0, windowMs: 8_000 },
      repeats: { windowMs: 8_000, share: 0.1, slack: 10 },
    },
    fleetSize: () => 4,
    limitSharers: () => 4,
    reachableShare: () => 1,
  });
  const open = (index: number, timeLeftMs = 30_000) =>
    admission.open(
      routedRequest(KIND, {
        requestId: brandId<RequestId>(`q-${index}`),
        route: route(KIND),
        team: LIMITED,
        cost: 1,
        deadlineMs: time.nowMs + timeLeftMs,
        timeoutAtMs: time.nowMs + timeLeftMs,
      }),
      new FakeCaller(),
    );
  return { admission, open };
}

// All callers of a team over its rate were told the time at which its bucket
// serves one of them.
test("callers over a team's rate are told times that its bucket can serve", (t) => {
  const { open } = controller();
  const opened = Array.from({ length: 12 }, (_, index) => open(index));
  t.is(opened.filter(({ kind }) => kind === "running").length, 5);
  const delays = opened.flatMap((result) =>
    result.kind === "over_limit" ? [result.retryAfterMs] : []
  );
  // The bucket gives a unit in 100 ms, and this daemon's callers every fourth.
  t.deepEqual(delays, [200, 600, 1_000, 1_400, 1_800, 2_200, 2_600]);
  const bounded = Array.from({ length: 20 }, (_, index) => open(index, 3_000));
  for (const result of bounded) {
    if (result.kind !== "over_limit") return t.fail();
    t.true(result.retryAfterMs >= 200 && result.retryAfterMs <= 1_000);
  }
});

test("a daemon tells nothing of team work without a shortage", (t) => {
  const { admission } = controller();
  admission.configure({
    revision: 1,
    routes: [
      route("stream", { urgency: 0 }),
      route("stream", { urgency: 2 }),
    ],
    services: [{
      name: brandId<ServiceName>("engines"),
      maxConnections: 100,
      tokensPerEvent: 4,
    }],
    cacheStores: [],
    teams: [LIMITED],
    teamByKey: new Map(),
    callerLimits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });
  t.deepEqual(admission.teamWork(), {});
});
