import type { RouteName, SoftwareVersion } from "@endivebend/request-path";
import {
  type BackendServerId,
  brandId,
  type ServiceName,
} from "@endivebend/types";
import test from "ava";
import { type ChoiceMoment, ServiceRollout } from "./service_rollout.ts";
import type { RolloutPlan } from "./version_order.ts";

const OLD = {
  id: brandId<BackendServerId>("o-1"),
  isNew: false,
  load: () => 4,
};
const NEW = { id: brandId<BackendServerId>("n-1"), isNew: true, load: () => 4 };
const SERVERS = { hasOld: true, hasNew: true, daemons: 1, oldLoad: 4 };

function startRollout(creditStart = 0.999) {
  return new ServiceRollout({
    service: brandId<ServiceName>("s"),
    to: brandId<SoftwareVersion>("v2"),
    durationMs: 12_000,
    position: 3,
  }, {
    bounds: { exposeShare: 0.1, exposeSlack: 50, rollbackMs: 5_000 },
    process: "vm-1/1",
    creditStart,
    orderedAtMs: 0,
    nowMs: 0,
  });
}

function request() {
  return { route: { name: brandId<RouteName>("r") } };
}

function moment(nowMs: number, fields: Partial<ChoiceMoment> = {}) {
  return { servers: SERVERS, goesOn: false, nowMs, ...fields };
}

function plan(fields: Partial<RolloutPlan> = {}): RolloutPlan {
  return {
    epoch: 1,
    share: 0.03,
    servers: [NEW.id],
    validMs: 1_500,
    ...fields,
  };
}

/** Which servers a request may use. */
function allowed(
  rollout: ServiceRollout,
  at: ChoiceMoment,
  from = request(),
): string {
  const old = rollout.allows(from, OLD, at) ? "old" : "";
  return old + (rollout.allows(from, NEW, at) ? "new" : "");
}

test("without a plan, and after its deadline, requests use the old version", (t) => {
  const rollout = startRollout();
  t.is(allowed(rollout, moment(0)), "old");
  rollout.setPlan(plan({ share: 1, servers: [] }), 0);
  t.is(allowed(rollout, moment(1_499)), "new");
  t.is(allowed(rollout, moment(1_500)), "old");
});

test("where no old server is listed, requests use what is listed", (t) => {
  const rollout = startRollout();
  const servers = { ...SERVERS, hasOld: false };
  t.true(rollout.allows(request(), NEW, moment(0, { servers })));
});

test("a request keeps its version until it finds no place there", (t) => {
  const rollout = startRollout();
  rollout.setPlan(plan(), 0);
  const one = request();
  t.is(allowed(rollout, moment(1), one), "new");
  t.is(allowed(rollout, moment(2), one), "new");
  t.true(rollout.fallsBack(one, "overloaded", moment(2)));
  t.is(allowed(rollout, moment(2), one), "old");
  t.false(rollout.fallsBack(one, "overloaded", moment(2)));
});

test("a request that was tried on the new version is repeated on the old one", (t) => {
  const rollout = startRollout();
  rollout.setPlan(plan(), 0);
  const one = request();
  t.is(allowed(rollout, moment(1), one), "new");
  rollout.noteSent({}, {
    request: one,
    server: NEW.id,
    isNew: true,
    tokensToRead: 0,
    nowMs: 1,
  });
  t.is(allowed(rollout, moment(2), one), "old");
});

test("once all requests have moved they don't go back for want of room", (t) => {
  const rollout = startRollout();
  rollout.setPlan(plan({ share: 1, servers: [] }), 0);
  const one = request();
  t.false(rollout.fallsBack(one, "overloaded", moment(1)));
  t.true(rollout.fallsBack(one, "no_server", moment(1)));
  t.is(allowed(rollout, moment(1), one), "old");
});

test("a new server takes no more than the load of an old one", (t) => {
  const rollout = startRollout();
  rollout.setPlan(plan(), 0);
  const full = { ...NEW, load: () => 8 };
  t.false(rollout.allows(request(), full, moment(1)));
});

test("a plan of a former holder changes nothing", (t) => {
  const rollout = startRollout();
  rollout.setPlan(plan({ epoch: 4 }), 0);
  rollout.setPlan(plan({ epoch: 3, share: 1 }), 1);
  t.is(rollout.applied(2), 0.03);
});

test("a bad version gets no new request, and begun streams for a while only", (t) => {
  const rollout = startRollout();
  rollout.setPlan(plan({ share: 1, servers: [], validMs: 60_000 }), 0);
  t.true(rollout.stop(1_000));
  t.is(allowed(rollout, moment(1_001)), "old");
  const goesOn = true;
  t.is(allowed(rollout, moment(3_900, { goesOn })), "oldnew");
  t.is(allowed(rollout, moment(4_000, { goesOn })), "old");
  rollout.finish("rolled_back", { oldIds: [OLD.id], nowMs: 2_000 });
  t.is(allowed(rollout, moment(4_000, { goesOn })), "old");
  t.is(allowed(rollout, moment(5_000)), "old");
});

test("a bad version does not serve at once when the old servers are gone", (t) => {
  const rollout = startRollout();
  rollout.stop(0);
  const servers = { ...SERVERS, hasOld: false };
  t.false(rollout.allows(request(), NEW, moment(29_000, { servers })));
  t.true(rollout.allows(request(), NEW, moment(30_000, { servers })));
});

test("after success the old servers get nothing, and others serve", (t) => {
  const rollout = startRollout();
  rollout.finish("succeeded", { oldIds: [OLD.id], nowMs: 0 });
  t.is(allowed(rollout, moment(1)), "new");
  const later = { ...OLD, id: brandId<BackendServerId>("o-2") };
  t.true(rollout.allows(request(), later, moment(1)));
  t.false(rollout.finish("rolled_back", { oldIds: [], nowMs: 2 }));
  t.is(rollout.phase, "succeeded");
});

test("the age that a daemon knows replaces one that was guessed", (t) => {
  const rollout = startRollout();
  rollout.noteAge({ ageMs: 900 }, 1_000);
  t.is(rollout.ageMs(1_000), 1_000);
  rollout.noteAge({ ageMs: 4_800, isAgeGuessed: true }, 1_000);
  t.is(rollout.ageMs(1_000), 1_000);
  const guessing = new ServiceRollout(rollout.order, {
    bounds: { exposeShare: 0.1, exposeSlack: 50, rollbackMs: 5_000 },
    process: "vm-2/1",
    creditStart: 0,
    orderedAtMs: undefined,
    nowMs: 1_000,
  });
  t.is(guessing.ageMs(1_000), 4_800);
  guessing.noteAge({ ageMs: 900 }, 1_000);
  t.is(guessing.ageMs(1_000), 900);
});

test("news hold the plan of the holder only, with the time that is left", (t) => {
  const rollout = startRollout();
  rollout.setPlan(plan({ epoch: 4 }), 0);
  t.is(rollout.news(500, 0).plan, undefined);
  t.like(rollout.news(500, 4), {
    phase: "running",
    applied: 0.03,
    plan: { epoch: 4, validMs: 1_000 },
  });
  t.is(rollout.news(2_000, 4).plan, undefined);
});

// Guards against credit that explained requests add: real ones would use it and
// get the new version more often than the share allows.
test("requests that are only explained are not counted and add no credit", (t) => {
  const rollout = startRollout(0);
  rollout.setPlan(plan({ share: 0.125 }), 0);
  for (let count = 0; count < 100; count++) {
    t.is(allowed(rollout, moment(10, { isTrial: true })), "old");
  }
  t.like(rollout.counts(), { requests: 0, exposed: 0 });
  for (let count = 0; count < 7; count++) {
    t.is(allowed(rollout, moment(10)), "old");
  }
  t.is(allowed(rollout, moment(10)), "new");
  rollout.setPlan(plan({ share: 1, servers: [] }), 20);
  t.is(allowed(rollout, moment(30, { isTrial: true })), "new");
});
