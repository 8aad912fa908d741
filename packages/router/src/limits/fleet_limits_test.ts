import test from "ava";
import fc from "fast-check";
import { Ledger } from "@endivebend/limits";
import { TestFleet } from "./testing_fleet.ts";

const SEED = Number(process.env.SEED ?? 20_261_204);
const RUNS = Number(process.env.RUNS ?? 6);
const TEAM = "st-mary";
const LIMIT = { rateTokensPerSecond: 500, burstTokens: 1000 };
const DOMAINS = { a: ["a1", "a2"], b: ["b1", "b2"], c: ["c1"] };
const NAMES = Object.values(DOMAINS).flat();

const action = fc.record({
  kind: fc.constantFrom(
    "charge",
    "charge",
    "charge",
    "charge",
    "restart",
    "cut",
    "log",
    "hand_over",
  ),
  name: fc.constantFrom(...NAMES),
  costTokens: fc.integer({ min: 1, max: 600 }),
  afterMs: fc.integer({ min: 0, max: 250 }),
});
type Action = typeof action extends fc.Arbitrary<infer Value> ? Value : never;

const ACTIONS: Readonly<
  Record<string, (fleet: TestFleet, each: Action, ledger: Ledger) => void>
> = {
  charge: (fleet, { name, costTokens }, ledger) => {
    void fleet.charge(name, { team: TEAM, costTokens, waitMs: 1000 })
      .then((result) => {
        const atUs = Math.round(fleet.time.elapsedMs() * 1000);
        if (result.granted) ledger.recordGrant(costTokens, atUs);
      });
  },
  restart: (fleet, { name }) => {
    fleet.start(name, name.slice(0, 1));
  },
  cut: (fleet, { name }) => {
    const vm = fleet.vm(name);
    vm.isReachable = !vm.isReachable;
  },
  log: (fleet) => {
    fleet.log.isDown = !fleet.log.isDown;
  },
  hand_over: (fleet, { name }) => {
    const { rights, domain } = fleet.vm(name);
    const other = NAMES.find((each) =>
      each !== name && fleet.vm(each).domain === domain
    );
    const to = other === undefined ? undefined : fleet.vm(other).vmId;
    void rights.giveUpGroups(rights.heldGroups(), to);
  },
};

async function excessTokensOf(actions: readonly Action[]): Promise<number> {
  const fleet = new TestFleet({
    domains: DOMAINS,
    limits: { [TEAM]: LIMIT },
    floorFraction: 0.25,
  });
  const { rateTokensPerSecond, burstTokens } = LIMIT;
  const ledger = new Ledger({
    rateMilli: rateTokensPerSecond * 1000,
    burstTokens,
  });
  await fleet.time.advance(1000);
  for (const each of actions) {
    ACTIONS[each.kind]?.(fleet, each, ledger);
    await fleet.time.advance(each.afterMs);
  }
  await fleet.time.advance(2000);
  fleet.stop();
  return ledger.excessTokens();
}

test("the daemon's tasks never grant more than the limit", async (t) => {
  t.log(`SEED=${SEED} RUNS=${RUNS}`);
  const actions = fc.array(action, { minLength: 40, maxLength: 120 });
  const property = fc.asyncProperty(
    actions,
    async (each) => (await excessTokensOf(each)) === 0,
  );
  await fc.assert(property, { seed: SEED, numRuns: RUNS });
  t.pass();
});
