import test from "ava";
import { TestFleet } from "./testing_fleet.ts";

const TEAM = "st-mary";

function limits(rateTokensPerSecond: number, burstTokens: number) {
  return { [TEAM]: { rateTokensPerSecond, burstTokens } };
}

test("the only daemon of a fleet grants the whole burst, then the rate", async (t) => {
  const fleet = new TestFleet({
    domains: { a: ["vm1"] },
    limits: limits(1010, 300),
  });
  await fleet.time.advance(1000);
  const first = await fleet.charge("vm1", { team: TEAM, costTokens: 300 });
  t.true(first.granted);
  const second = await fleet.charge("vm1", { team: TEAM, costTokens: 100 });
  t.like(second, { granted: false, code: "rate_limited" });
  await fleet.time.advance(second.retryAfterMs ?? 0);
  const third = await fleet.charge("vm1", { team: TEAM, costTokens: 100 });
  t.true(third.granted);
});

test("a charge that waits is granted when its tokens have accrued", async (t) => {
  const fleet = new TestFleet({
    domains: { a: ["vm1"] },
    limits: limits(100, 100),
  });
  await fleet.time.advance(1000);
  await fleet.charge("vm1", { team: TEAM, costTokens: 100 });
  const waiting = fleet.charge("vm1", {
    team: TEAM,
    costTokens: 50,
    waitMs: 5000,
  });
  await fleet.time.advance(600);
  t.true((await waiting).granted);
});

test("a cost above the burst is refused at once", async (t) => {
  const fleet = new TestFleet({
    domains: { a: ["vm1"] },
    limits: limits(100, 100),
  });
  await fleet.time.advance(1000);
  const result = await fleet.charge("vm1", {
    team: TEAM,
    costTokens: 101,
    waitMs: 60_000,
  });
  t.like(result, { granted: false, code: "cost_exceeds_burst" });
});

test("charges are refused until the rights have been read once", async (t) => {
  const fleet = new TestFleet({ domains: {}, limits: limits(100, 100) });
  fleet.log.isDown = true;
  fleet.start("vm1", "a");
  await fleet.time.advance(1000);
  const result = await fleet.charge("vm1", { team: TEAM, costTokens: 1 });
  t.like(result, { granted: false, code: "not_ready" });
});

test("a VM that is not the holder charges at the holder of its domain", async (t) => {
  const fleet = new TestFleet({
    domains: { a: ["vm1", "vm2"] },
    limits: limits(100, 100),
  });
  await fleet.time.advance(1000);
  const results = await Promise.all(
    ["vm1", "vm2"].map((name) =>
      fleet.charge(name, { team: TEAM, costTokens: 60 })
    ),
  );
  const granted = results.filter((result) => result.granted);
  t.is(granted.length, 1);
});

test("a domain with all the load borrows the shares of the other domains", async (t) => {
  const fleet = new TestFleet({
    domains: { a: ["vm1"], b: ["vm2"], c: ["vm3"] },
    limits: limits(900, 900),
    floorFraction: 0.25,
  });
  await fleet.time.advance(1000);
  let granted = 0;
  for (let index = 0; index < 200; index++) {
    void fleet.charge("vm1", { team: TEAM, costTokens: 40, waitMs: 3000 })
      .then((result) => granted += result.granted ? 40 : 0);
    await fleet.time.advance(50);
  }
  await fleet.time.advance(3000);
  // 8,000 tokens are requested in 10 s, which the rate of 900 tokens/s covers.
  t.is(granted, 8000);
});

test("when a holder does not answer, holders in other domains charge", async (t) => {
  const fleet = new TestFleet({
    domains: { a: ["vm1", "vm2"], b: ["vm3"] },
    limits: limits(100, 100),
  });
  await fleet.time.advance(1000);
  fleet.log.isDown = true;
  const holders = ["vm1", "vm2"].filter((name) =>
    fleet.vm(name).rights.heldGroups().length > 0
  );
  for (const name of holders) fleet.vm(name).isReachable = false;
  const other = ["vm1", "vm2"].find((name) => !holders.includes(name));
  const chargingVm = other ?? "vm2";
  fleet.vm(chargingVm).isReachable = true;
  const result = await fleet.charge(chargingVm, { team: TEAM, costTokens: 30 });
  t.true(result.granted);
});

test("a restarted holder starts with empty buckets and keeps its groups", async (t) => {
  const fleet = new TestFleet({
    domains: { a: ["vm1"] },
    limits: limits(100, 100),
  });
  await fleet.time.advance(1000);
  fleet.start("vm1", "a");
  await fleet.time.advance(50);
  const resultBeforeAccrual = await fleet.charge("vm1", {
    team: TEAM,
    costTokens: 100,
  });
  t.false(resultBeforeAccrual.granted);
  await fleet.time.advance(1100);
  const resultAfterAccrual = await fleet.charge("vm1", {
    team: TEAM,
    costTokens: 100,
  });
  t.true(resultAfterAccrual.granted);
});

test("the other VM of the domain claims the groups of an ended VM", async (t) => {
  const fleet = new TestFleet({
    domains: { a: ["vm1", "vm2"] },
    limits: limits(100, 100),
  });
  await fleet.time.advance(1000);
  fleet.vm("vm1").isReachable = false;
  fleet.ended.add("vm1");
  fleet.vm("vm1").rights.stop();
  await fleet.time.advance(3000);
  t.is(fleet.vm("vm2").rights.heldGroups().length, 1024);
});

test("a drained VM releases its groups and another claims them", async (t) => {
  const fleet = new TestFleet({
    domains: { a: ["vm1", "vm2"], b: ["vm3"] },
    limits: limits(100, 100),
  });
  await fleet.time.advance(1000);
  const drained = fleet.vm("vm1").limits.drain({ release: true });
  await fleet.time.advance(100);
  fleet.vm("vm1").isReachable = false;
  await fleet.time.advance(10_000);
  await drained;
  t.is(fleet.vm("vm1").rights.heldGroups().length, 0);
  t.is(fleet.vm("vm2").rights.heldGroups().length, 1024);
});
