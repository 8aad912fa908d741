import test from "ava";
import {
  brandId,
  type FailureDomainId,
  type RequestId,
  type ServiceName,
} from "@endivebend/types";
import {
  balanceCostMs,
  type BalanceState,
  decideBalance,
  DomainBalance,
  type DomainSums,
  NO_BALANCE,
} from "./domain_balance.ts";
import { placeRequest } from "./placement.ts";
import { ServerRegistry } from "./server_registry.ts";
import { listedServer, routedRequest, testContext } from "./testing.ts";
import { type DomainOutcome, replayDomains } from "./testing_domain_load.ts";

const SEEDS = [1, 2, 3, 4, 5];
const SERVICE = brandId<ServiceName>("llm");
const [A, B, C] = ["a", "b", "c"].map((name) =>
  brandId<FailureDomainId>(name)
) as [FailureDomainId, FailureDomainId, FailureDomainId];

/** Sums of a domain whose demand is a share of its capacity. */
function sumsOf(
  domain: FailureDomainId,
  load: number,
  fields: Partial<DomainSums> = {},
): DomainSums {
  const work = { running: load * 100, prefillTokens: 0 };
  return {
    domain,
    demand: work,
    placed: work,
    slots: 100,
    tokensPerMs: 200,
    isCutOff: false,
    ...fields,
  };
}

/** The state after the sums have stayed the same for some seconds. */
function settle(
  sums: readonly DomainSums[],
  before: BalanceState = NO_BALANCE,
): BalanceState {
  let state = before;
  for (let nowMs = 0; nowMs <= 5_000; nowMs += 200) {
    state = decideBalance(state, { own: A, sums, nowMs });
  }
  return state;
}

const SWINGS = [
  // The net flow between two domains turns twice in a period by itself.
  { domains: 2, crossed: 0.75, late: 1, turns: 4 },
  { domains: 3, crossed: 0.5, late: 0.6, turns: 12 },
  { domains: 4, crossed: 0.5, late: 0.6, turns: 24 },
  // Larger fleets hear of each other's work through relays after 800 ms, and
  // daemons that place by it move together.
  {
    domains: 3,
    gossipMs: 800,
    utilization: 0.6,
    crossed: 0.5,
    late: 0.6,
    turns: 14,
  },
];

for (const { crossed, late, turns, ...fields } of SWINGS) {
  const { domains, gossipMs = 200 } = fields;
  test(`demand that swings between ${domains} domains crosses less and is answered sooner, gossip every ${gossipMs} ms`, (t) => {
    const load = { utilization: 0.75, swing: 0.55, ...fields };
    const worst = { off: "", on: "", late: -1 };
    for (const seed of SEEDS) {
      const off = replayDomains({ ...load, seed, hasBalance: false });
      const on = replayDomains({ ...load, seed, hasBalance: true });
      t.true(on.crossed <= crossed * off.crossed, `${seed}: ${show(on)}`);
      t.true(on.late <= late * off.late, `${seed}: ${show(on)}`);
      t.true(on.reversals <= turns, `${seed}: ${show(on)}`);
      // Each domain has two peaks; noise may begin one of them twice.
      t.true(on.starts <= 3 * domains, `${seed}: ${show(on)}`);
      if (on.late <= worst.late) continue;
      Object.assign(worst, { late: on.late, off: show(off), on: show(on) });
    }
    t.log(`worst seed: off ${worst.off}; on ${worst.on}`);
  });
}

for (const utilization of [0.3, 0.6]) {
  test(`equal demand at ${utilization} of the capacity is placed as without a balance`, (t) => {
    for (const seed of SEEDS) {
      const load = { domains: 3, utilization, swing: 0, seed };
      t.deepEqual(
        replayDomains({ ...load, hasBalance: true }),
        replayDomains({ ...load, hasBalance: false }),
      );
    }
  });
}

test("no surplus goes to a domain that is cut off, and it goes there again afterwards", (t) => {
  const cut = { domain: 1, fromMs: 8_000, untilMs: 14_000 };
  for (const seed of SEEDS) {
    const { crossedCutAtMs } = replayDomains({
      seed,
      domains: 3,
      hasBalance: true,
      utilization: 0.6,
      swing: 0.55,
      cut,
    });
    const sum = (fromMs: number, untilMs: number) =>
      crossedCutAtMs.slice(fromMs / 100, untilMs / 100)
        .reduce((total, count) => total + (count ?? 0), 0);
    // Daemons find the cut by the silence of the others.
    t.is(sum(cut.fromMs + 700, cut.untilMs), 0, `seed ${seed}`);
    t.true(sum(cut.untilMs + 700, 26_000) > 0, `seed ${seed}`);
  }
});

test("a surplus goes to the domain with most spare capacity", (t) => {
  const state = settle([sumsOf(A, 1.6), sumsOf(B, 0.3), sumsOf(C, 0.8)]);
  t.true(balanceCostMs(state, B) < 10);
  t.true(balanceCostMs(state, C) > 50);
});

test("a domain without a surplus keeps its requests", (t) => {
  const state = settle([sumsOf(A, 0.3), sumsOf(B, 1.6), sumsOf(C, 0.3)]);
  t.is(balanceCostMs(state, B), balanceCostMs(state, C));
  t.true(balanceCostMs(state, B) > 50);
});

test("domains with one service's servers only in one of them aren't told apart", (t) => {
  t.false(settle([sumsOf(A, 1.6), sumsOf(B, 0.2, { slots: 0 })]).isOn);
});

test("the difference between a few requests doesn't start the balance", (t) => {
  const few = (running: number) => ({ demand: { running, prefillTokens: 0 } });
  const small = { slots: 6, tokensPerMs: 200 };
  const sums = [
    sumsOf(A, 0, { ...small, ...few(5) }),
    sumsOf(B, 0, { ...small, ...few(1) }),
  ];
  t.false(settle(sums).isOn);
});

test("a short difference doesn't start the balance", (t) => {
  const sums = [sumsOf(A, 1.6), sumsOf(B, 0.3)];
  let state = decideBalance(NO_BALANCE, { own: A, sums, nowMs: 0 });
  state = decideBalance(state, { own: A, sums, nowMs: 1_000 });
  t.false(state.isOn);
  const equal = [sumsOf(A, 0.9), sumsOf(B, 0.9)];
  state = decideBalance(state, { own: A, sums: equal, nowMs: 1_200 });
  state = decideBalance(state, { own: A, sums, nowMs: 2_400 });
  t.false(state.isOn);
});

test("the surplus comes back when demand falls, and the balance ends", (t) => {
  const high = settle([sumsOf(A, 1.6), sumsOf(B, 0.3)]);
  t.is(high.surplusLevel, 1);
  const lower = settle([sumsOf(A, 0.6), sumsOf(B, 0.3)], high);
  t.true(lower.isOn);
  t.is(lower.surplusLevel, 0);
  t.deepEqual(settle([sumsOf(A, 0.6), sumsOf(B, 0.55)], lower), NO_BALANCE);
});

test("noise in the sums moves no level", (t) => {
  let state = settle([sumsOf(A, 1.1), sumsOf(B, 0.3)]);
  const { surplusLevel } = state;
  for (let step = 0; step < 100; step++) {
    const load = 1.1 + 0.15 * Math.sin(step * 2.4);
    const sums = [sumsOf(A, load), sumsOf(B, 0.3)];
    state = decideBalance(state, { own: A, sums, nowMs: step * 200 });
    t.is(state.surplusLevel, surplusLevel);
  }
});

test("daemons whose sums differ by noise come to the same level", (t) => {
  let [one, other] = [NO_BALANCE, NO_BALANCE];
  let differing = 0;
  for (let nowMs = 0; nowMs < 26_000; nowMs += 200) {
    const load = 0.9 + 0.7 * Math.sin(nowMs / 13_000 * 2 * Math.PI);
    const sums = (factor: number) => [sumsOf(A, load * factor), sumsOf(B, 0.2)];
    one = decideBalance(one, { own: A, sums: sums(0.97), nowMs });
    other = decideBalance(other, { own: A, sums: sums(1.03), nowMs });
    if (one.surplusLevel !== other.surplusLevel) differing += 1;
  }
  t.true(differing <= 13, `${differing} of 130 rounds`);
});

const CUTS = {
  "the other domain": [sumsOf(A, 1.6), sumsOf(B, 0.3, { isCutOff: true })],
  "the own domain": [
    sumsOf(A, 1.6),
    sumsOf(B, 0.3, { isCutOff: true }),
    sumsOf(C, 0.3, { isCutOff: true }),
  ],
};

for (const [name, sums] of Object.entries(CUTS)) {
  test(`a cut of ${name} ends the move in the next decision`, (t) => {
    const before = settle(sums.map((sum) => ({ ...sum, isCutOff: false })));
    t.true(balanceCostMs(before, B) < 10);
    const state = decideBalance(before, { own: A, sums, nowMs: 5_200 });
    t.true(balanceCostMs(state, B) > 50);
  });
}

function balanceOf(registry: ServerRegistry, silent: Set<FailureDomainId>) {
  const changes: string[] = [];
  const work = { "a-1": [30, 0], "b-1": [3, 0] };
  const balance = new DomainBalance({
    failureDomain: A,
    registry,
    senders: () => [
      { failureDomain: A, work },
      { failureDomain: B, work: { "b-1": [1, 0] } },
    ],
    silentDomains: () => silent,
    gossipRoundMs: () => 200,
    changed: (_service, { isOn, surplusLevel }) =>
      changes.push(`${isOn ? "on" : "off"} ${surplusLevel}`),
  });
  return { balance, changes };
}

function twoDomains(): ServerRegistry {
  const registry = new ServerRegistry();
  for (const domain of [A, B]) {
    registry.upsert(listedServer(`${domain}-1`, {
      service: SERVICE,
      failureDomain: domain,
      slots: 16,
    }));
  }
  return registry;
}

test("the work that daemons tell of is summed by their domain and by the server's", (t) => {
  const registry = twoDomains();
  const silent = new Set<FailureDomainId>();
  const { balance, changes } = balanceOf(registry, silent);
  const [home, away] = [...registry.all()];
  for (let nowMs = 0; nowMs <= 4_000; nowMs += 100) {
    t.is(balance.costMs(home!, nowMs), 0);
    balance.costMs(away!, nowMs);
  }
  t.deepEqual(changes, ["on 1"]);
  t.true(balance.costMs(away!, 4_000) < 10);
  silent.add(B);
  t.true(balance.costMs(away!, 4_300) > 50);
});

test("a domain most of whose servers are avoided takes no surplus", (t) => {
  const registry = twoDomains();
  const { balance } = balanceOf(registry, new Set());
  const away = registry.get(listedServer("b-1").id)!;
  for (let nowMs = 0; nowMs <= 4_000; nowMs += 200) {
    balance.costMs(away, nowMs);
  }
  registry.recordFailure(away.listed.id, 4_100);
  t.true(balance.costMs(away, 4_300) > 50);
});

test("a placement of a prompt adds the cost of the domain, and tells it", (t) => {
  const registry = twoDomains();
  const request = routedRequest("resumable_stream", {
    service: SERVICE,
    requestId: brandId<RequestId>("r"),
  });
  const context = testContext({ failureDomain: A });
  const place = (balance: { costMs(): number } | undefined) =>
    placeRequest(request, {
      ...context,
      registry,
      balance,
      exclude: new Set(),
      hasBegun: false,
      nowMs: 1,
    });
  const without = place(undefined);
  t.deepEqual(place({ costMs: () => 0 }), without);
  if (without.kind !== "placed") return t.fail();
  const plain = placeRequest({ ...request, work: undefined }, {
    ...context,
    registry,
    balance: { costMs: () => 50 },
    exclude: new Set(),
    hasBegun: false,
    nowMs: 1,
  });
  t.is(plain.kind === "placed" && plain.choice.balanceMs, undefined);
  const with50 = place({ costMs: () => 50 });
  if (with50.kind !== "placed") return t.fail();
  t.is(with50.choice.scoreMs, without.choice.scoreMs + 50);
  t.is(with50.choice.balanceMs, 50);
});

function show({ requests, ...outcome }: DomainOutcome): string {
  const { crossed, late, p95Ms, reversals, starts } = outcome;
  return `${requests} requests, ${crossed} crossed, ${late} late, 95% within ` +
    `${p95Ms} ms, ${reversals} turns, ${starts} starts`;
}
