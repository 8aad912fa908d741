import { brandId } from "@endivebend/types";
import type { RouteName } from "@endivebend/request-path";
import type { ServiceName } from "@endivebend/types";
import test from "ava";
import { findFault, FleetEvidence, type RouteSums } from "./fleet_evidence.ts";
import type { RouteCounts, VersionCounts } from "./version_order.ts";

function counts(
  routes: Record<string, RouteCounts>,
  fields: Partial<VersionCounts> = {},
): VersionCounts {
  return {
    service: brandId<ServiceName>("s"),
    order: 1,
    routes: routes as VersionCounts["routes"],
    requests: 100,
    exposed: 3,
    ...fields,
  };
}

function sums(entries: Record<string, [number, number, number, number]>) {
  return new Map<RouteName, RouteSums>(
    Object.entries(entries).map(([route, [answers, bad, others, otherBad]]) => [
      brandId<RouteName>(route),
      {
        answers,
        failed: bad,
        slow: 0,
        ended: answers,
        otherAnswers: others,
        otherFailed: otherBad,
        otherSlow: 0,
      },
    ]),
  );
}

test("a third of failures shows within twenty answers", (t) => {
  t.truthy(findFault(sums({ a: [20, 6, 500, 5] })));
});

test("a version whose first answers all fail is found after a handful", (t) => {
  t.truthy(findFault(sums({ a: [4, 4, 0, 0] })));
});

test("failures that the other versions have too are no fault", (t) => {
  // Old servers fail up to 0.14 of a route's requests.
  t.is(
    findFault(sums({ a: [60, 12, 800, 112], b: [40, 1, 900, 9] })),
    undefined,
  );
});

test("a fault on one route of several is named with its route", (t) => {
  const fault = findFault(sums({
    a: [200, 2, 2_000, 20],
    b: [20, 8, 300, 3],
  }));
  t.is(fault?.route, brandId<RouteName>("b"));
});

test("small faults on every route add up", (t) => {
  const routes = sums({
    a: [16, 3, 500, 5],
    b: [16, 3, 500, 5],
    c: [16, 3, 500, 5],
    d: [16, 3, 500, 5],
  });
  const fault = findFault(routes);
  t.is(fault?.route, undefined);
  t.is(fault?.bad, 12);
});

test("counters of a process replace its earlier ones and those of its next life add", (t) => {
  const evidence = new FleetEvidence();
  evidence.apply("p1", counts({ a: [3, 1, 3, 10, 0, 0, 10, 1_000] }), 0);
  evidence.apply("p1", counts({ a: [5, 2, 5, 20, 1, 0, 20, 2_000] }), 100);
  evidence.apply("p2", counts({ a: [2, 1, 2, 4, 0, 0, 4, 400] }), 100);
  t.deepEqual(evidence.routes().get(brandId<RouteName>("a")), {
    answers: 7,
    failed: 3,
    slow: 0,
    ended: 7,
    otherAnswers: 24,
    otherFailed: 1,
    otherSlow: 0,
  });
  t.deepEqual(evidence.exposure, { requests: 200, exposed: 6 });
});

test("a message that comes late does not count back", (t) => {
  const evidence = new FleetEvidence();
  const newer = counts({ a: [5, 1, 5, 9, 0, 0, 9, 900] }, { requests: 200 });
  evidence.apply("p1", newer, 0);
  evidence.apply("p1", counts({ a: [3, 1, 3, 5, 0, 0, 5, 500] }), 100);
  t.is(evidence.routes().get(brandId<RouteName>("a"))?.answers, 5);
});

test("a server that crashes with all its requests is no fault of its version", (t) => {
  const evidence = new FleetEvidence();
  for (let daemon = 0; daemon < 12; daemon++) {
    const doubtful = { "i-1": { a: [1, 0] } } as unknown as
      & VersionCounts["doubtful"]
      & object;
    const routes: Record<string, RouteCounts> = {
      a: [5, 0, 5, 200, 2, 0, 200, 20_000],
    };
    evidence.apply(`p${daemon}`, counts(routes, { doubtful }), 1_000 + daemon);
  }
  t.is(evidence.routes().get(brandId<RouteName>("a"))?.failed, 3);
  t.is(findFault(evidence.routes()), undefined);
});

test("connections that a version loses again and again are its fault", (t) => {
  const evidence = new FleetEvidence();
  for (let second = 1; second <= 4; second++) {
    const doubtful = {
      "i-1": { a: [2 * second, 0] },
      "i-2": { a: [2 * second, 0] },
    } as unknown as VersionCounts["doubtful"] & object;
    const routes: Record<string, RouteCounts> = {
      a: [
        10 * second,
        0,
        10 * second,
        300 * second,
        second,
        0,
        300 * second,
        30_000 * second,
      ],
    };
    evidence.apply("p", counts(routes, { doubtful }), second * 1_000);
  }
  t.truthy(findFault(evidence.routes()));
});

test("the pace is that of the last seconds", (t) => {
  const evidence = new FleetEvidence();
  const route = brandId<RouteName>("a");
  evidence.apply("p", counts({ a: [0, 0, 0, 100, 0, 0, 100, 10_000] }), 0);
  evidence.apply("p", counts({ a: [0, 0, 0, 200, 0, 0, 200, 40_000] }), 6_000);
  const pace = evidence.paceOf(route, 6_000);
  t.true(pace !== undefined && pace.mean > 2.5 && pace.isFresh);
  t.false(evidence.paceOf(route, 60_000)?.isFresh);
});

test("slower answers have to exceed what a few slow servers explain", (t) => {
  // Servers of one deployment have speeds of 0.6 to 1.6, and the first new ones
  // may all be of the slowest kind.
  const slowSums = (answers: number, slow: number) =>
    new Map<RouteName, RouteSums>([[brandId<RouteName>("a"), {
      answers,
      failed: 0,
      slow,
      ended: answers,
      otherAnswers: 3_000,
      otherFailed: 20,
      otherSlow: 150,
    }]]);
  t.is(findFault(slowSums(150, 23)), undefined);
  t.is(findFault(slowSums(150, 50))?.kind, "slow");
});

test("answers that end after all requests have moved don't change the pace", (t) => {
  // Guards against old streams that end later and make the new version look slow.
  const evidence = new FleetEvidence();
  const route = brandId<RouteName>("a");
  evidence.apply("p", counts({ a: [0, 0, 0, 20, 0, 0, 100, 10_000] }), 0);
  evidence.apply("p", counts({ a: [0, 0, 0, 100, 0, 0, 100, 10_000] }), 2_000);
  t.is(evidence.paceOf(route, 2_000)?.mean, 1);
});
