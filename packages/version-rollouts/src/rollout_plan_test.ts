import type { RouteName } from "@endivebend/request-path";
import { type BackendServerId, brandId } from "@endivebend/types";
import test from "ava";
import type { RouteSums } from "./fleet_evidence.ts";
import {
  type EndPlanInput,
  lackingRoutes,
  planEnd,
  planShare,
  type SharePlanInput,
} from "./rollout_plan.ts";

function routes(answers: number, otherAnswers = 1_000) {
  return new Map<RouteName, RouteSums>([[
    brandId<RouteName>("a"),
    {
      answers,
      failed: 0,
      slow: 0,
      ended: answers,
      otherAnswers,
      otherFailed: 0,
      otherSlow: 0,
    },
  ]]);
}

function share(fields: Partial<SharePlanInput>) {
  return planShare({
    elapsedMs: 0,
    durationMs: 12_000,
    exposeShare: 0.1,
    exposeSlack: 50,
    oldServers: 98,
    newServers: Array.from(
      { length: 98 },
      (_, index) => brandId<BackendServerId>(`i-${index}`),
    ),
    routes: routes(100),
    requests: 4_400,
    share: 0,
    longestMs: 800,
    ...fields,
  });
}

const ENDING: EndPlanInput = {
  elapsedMs: 9_000,
  durationMs: 12_000,
  movedAllForMs: 2_000,
  isBad: false,
  oldWork: 0,
  lagging: 0,
  silent: 0,
  daemons: 77,
};

test("the first new servers get the usual load of an old one", (t) => {
  const first = share({ elapsedMs: 3_000 });
  t.true(Math.abs(first.share - 0.03) < 1e-9);
  t.is(first.servers.length, 3);
});

test("the share grows in steps and moves all requests in the end", (t) => {
  const shares = [0, 5_500, 6_300, 7_000].map((elapsedMs) =>
    share({ elapsedMs }).share
  );
  t.deepEqual(shares, [0.03, 0.1, 0.25, 1]);
});

test("all requests move earlier where answers last long", (t) => {
  // Guards against an order that is rolled back as streams of 5 s still run.
  t.is(share({ elapsedMs: 5_500, longestMs: 5_000 }).share, 1);
  t.true(share({ elapsedMs: 5_300, longestMs: 5_000 }).share < 1);
});

test("what the steps use before all requests move is below the bound", (t) => {
  let used = 0;
  for (let elapsedMs = 0; elapsedMs < 12_000; elapsedMs += 10) {
    const planned = share({ elapsedMs }).share;
    if (planned >= 1) break;
    used += planned * 10;
  }
  t.true(used < 0.6 * 0.1 * 12_000);
});

test("the share does not grow before every route was answered", (t) => {
  const lacking = routes(12);
  t.true(share({ elapsedMs: 7_400, routes: lacking }).share < 0.1);
  t.is(share({ elapsedMs: 8_200, routes: lacking }).share, 1);
});

test("a version that has answered nothing does not get all requests", (t) => {
  t.true(share({ elapsedMs: 9_000, routes: routes(0) }).share < 0.1);
});

test("all requests don't move on a few answers, however late it is", (t) => {
  // Guards against a bad version that had nine answers when its time came.
  t.true(share({ elapsedMs: 9_000, routes: routes(9) }).share < 0.1);
});

test("a service with few requests gets a larger first share", (t) => {
  const few = { routes: routes(1, 100), requests: 105, elapsedMs: 1_000 };
  const planned = share({ ...few, oldServers: 4 });
  t.true(planned.share > 0.03 && planned.share <= 0.06 + 1e-9);
  t.is(planned.servers.length, 1);
});

test("a service with very few requests uses the slack, and compares versions", (t) => {
  // Guards against a good version that is rolled back as nothing reached it.
  const few = { routes: routes(0, 4), requests: 4, elapsedMs: 2_000 };
  const planned = share({ ...few, oldServers: 4 });
  t.true(planned.share > 0.3 && planned.share <= 0.5);
});

test("where all requests are fewer than the slack, no answer is needed", (t) => {
  const few = { routes: routes(0, 9), requests: 9, elapsedMs: 9_000 };
  t.is(share(few).share, 1);
});

test("the first share does not vary with the requests", (t) => {
  // Guards against a plan that is announced anew twenty times a second.
  const few = { routes: routes(1, 100), requests: 105, elapsedMs: 1_000 };
  const raised = share(few).share;
  t.is(share({ ...few, requests: 9_000, share: raised }).share, raised);
});

test("all requests that have moved stay there", (t) => {
  t.is(share({ elapsedMs: 3_000, share: 1 }).share, 1);
});

test("without new servers nothing moves, without old ones everything does", (t) => {
  t.is(share({ newServers: [], elapsedMs: 8_000 }).share, 0);
  t.is(share({ oldServers: 0 }).share, 1);
});

test("all requests don't move to a few new servers", (t) => {
  const newServers = [brandId<BackendServerId>("i-1")];
  t.is(share({ elapsedMs: 8_000, newServers }).share, 0.25);
});

test("routes with few requests are not waited for", (t) => {
  t.is(lackingRoutes(routes(2, 10)).size, 0);
  t.is(lackingRoutes(routes(2, 100)).size, 1);
});

test("an order succeeds once no daemon has work at the old servers", (t) => {
  t.is(planEnd(ENDING), "succeeded");
  t.is(planEnd({ ...ENDING, oldWork: 1 }), "running");
  t.is(planEnd({ ...ENDING, lagging: 1 }), "running");
  t.is(planEnd({ ...ENDING, silent: 1 }), "running");
  t.is(planEnd({ ...ENDING, movedAllForMs: 100 }), "running");
  t.is(planEnd({ ...ENDING, movedAllForMs: undefined }), "running");
});

test("a version meets all requests for a second before an order succeeds", (t) => {
  // Guards against one that slows down as everything moves to it.
  t.is(planEnd({ ...ENDING, movedAllForMs: 1_100 }), "running");
  const late = { ...ENDING, elapsedMs: 10_500 };
  t.is(planEnd({ ...late, movedAllForMs: 700 }), "succeeded");
});

test("a bad version is rolled back at any time", (t) => {
  t.is(planEnd({ ...ENDING, isBad: true }), "rolled_back");
});

test("an order that is not done in time is rolled back, before the limit", (t) => {
  const late = { ...ENDING, elapsedMs: 11_400 };
  t.is(planEnd({ ...late, oldWork: 20 }), "rolled_back");
  t.is(planEnd({ ...late, movedAllForMs: undefined }), "rolled_back");
  t.is(planEnd({ ...late, silent: 20 }), "rolled_back");
});

test("a few daemons that have ended, or a straggler, don't undo an order", (t) => {
  const late = { ...ENDING, elapsedMs: 11_400 };
  t.is(planEnd({ ...late, silent: 4 }), "succeeded");
  t.is(planEnd({ ...late, oldWork: 2 }), "succeeded");
});
