import test from "ava";
import {
  createTeamState,
  type HoldingStart,
  type LimitsEffect,
  nextWakeAtMs,
  step,
  type TeamState,
  type TeamTerms,
} from "./mod.ts";

const FULL: HoldingStart = {
  sinceMs: 0,
  quarantineUntilMs: 0,
  startsFull: true,
};

function terms(overrides: Partial<TeamTerms> = {}): TeamTerms {
  const amount = { rateMilli: 1_010_000, capacityTokens: 100 };
  return {
    share: amount,
    limit: amount,
    floorFraction: 0,
    leaseMs: 1000,
    lenders: [],
    ...overrides,
  };
}

let chargeCount = 0;

function charge(
  state: TeamState,
  options: {
    readonly costTokens: number;
    readonly nowMs: number;
    readonly waitMs?: number;
  },
): LimitsEffect[] {
  return step(state, {
    kind: "charge",
    id: String(chargeCount++),
    costTokens: options.costTokens,
    deadlineMs: options.nowMs + (options.waitMs ?? 0),
  }, options.nowMs);
}

function kinds(effects: readonly LimitsEffect[]): string[] {
  return effects.map((effect) => effect.kind);
}

function requestedTokens(effects: readonly LimitsEffect[]): number {
  return effects.reduce(
    (sum, effect) => sum + (effect.kind === "borrow" ? effect.wantTokens : 0),
    0,
  );
}

test("charges are granted in the order in which they came", (t) => {
  const state = createTeamState(terms(), FULL);
  charge(state, { costTokens: 100, nowMs: 10 });
  charge(state, { costTokens: 60, nowMs: 10, waitMs: 1000 });
  t.deepEqual(charge(state, { costTokens: 1, nowMs: 40, waitMs: 1000 }), []);
  const effects = step(state, { kind: "wake" }, 80);
  t.deepEqual(kinds(effects), ["granted", "granted"]);
});

test("an unmeetable charge is refused at once with a valid retry time", (t) => {
  const state = createTeamState(terms(), FULL);
  charge(state, { costTokens: 100, nowMs: 10 });
  const [refusal] = charge(state, { costTokens: 50, nowMs: 10, waitMs: 20 });
  t.is(refusal?.kind, "refused");
  const waitMs = refusal?.kind === "refused" ? refusal.retryAfterMs : 0;
  t.deepEqual(
    kinds(charge(state, { costTokens: 50, nowMs: 10 + waitMs })),
    ["granted"],
  );
});

test("frequent events do not create tokens by rounding", (t) => {
  const state = createTeamState(
    terms({ share: { rateMilli: 1, capacityTokens: 100 } }),
    FULL,
  );
  charge(state, { costTokens: 100, nowMs: 1 });
  for (let nowMs = 2; nowMs < 1_009_000; nowMs += 500) {
    step(state, { kind: "wake" }, nowMs);
    t.true(state.levelUnits < 1_010_000);
  }
});

test("a lender reuses lent capacity only after lease and clock drift", (t) => {
  const state = createTeamState(terms(), FULL);
  const request = {
    kind: "borrow_requested",
    borrower: "vm2",
    wantCapacityTokens: 80,
    wantTokens: 0,
  } as const;
  t.like(step(state, request, 10), [{ capacityTokens: 80, tokens: 80 }]);
  t.deepEqual(kinds(charge(state, { costTokens: 50, nowMs: 1015 })), [
    "refused",
  ]);
  t.deepEqual(kinds(charge(state, { costTokens: 50, nowMs: 1100 })), [
    "granted",
  ]);
});

test("an unexpected loan answer adds no tokens", (t) => {
  const state = createTeamState(terms({ lenders: ["b"] }), FULL);
  charge(state, { costTokens: 100, nowMs: 10 });
  const answer = {
    kind: "loan_received",
    lender: "b",
    capacityTokens: 0,
    tokens: 90,
    leaseMs: 1000,
    requestedAtMs: 10,
  } as const;
  step(state, answer, 11);
  t.true(state.levelUnits < 10 * 1_010_000);
});

test("tokens in transit count against the borrower's capacity", (t) => {
  const share = { rateMilli: 1_010_000, capacityTokens: 50 };
  const state = createTeamState(terms({ share, lenders: ["b"] }), FULL);
  charge(state, { costTokens: 50, nowMs: 10 });
  const requested = requestedTokens(
    charge(state, { costTokens: 40, nowMs: 11, waitMs: 9000 }),
  );
  t.true(requested > 0);
  step(state, { kind: "charge_cancelled", id: String(chargeCount - 1) }, 12);
  // The level refills meanwhile, but leaves room for the requested tokens.
  step(state, { kind: "wake" }, 5000);
  t.is(state.levelUnits, (50 - requested) * 1_010_000);
});

test("tokens that arrive after the lease need the reserved room", (t) => {
  const share = { rateMilli: 0, capacityTokens: 50 };
  const state = createTeamState(terms({ share, lenders: ["b"] }), FULL);
  const requested = requestedTokens([
    ...charge(state, { costTokens: 50, nowMs: 10 }),
    ...charge(state, { costTokens: 90, nowMs: 11, waitMs: 9000 }),
  ]);
  step(state, {
    kind: "loan_received",
    lender: "b",
    capacityTokens: 40,
    tokens: requested + 40,
    leaseMs: 1000,
    requestedAtMs: 11,
  }, 2000);
  t.is(state.levelUnits, requested * 1_010_000);
});

test("a loan ends when its suspended borrower resumes after the lease", (t) => {
  const share = { rateMilli: 0, capacityTokens: 10 };
  const state = createTeamState(terms({ share, lenders: ["b"] }), FULL);
  charge(state, { costTokens: 90, nowMs: 10, waitMs: 5000 });
  step(state, {
    kind: "loan_received",
    lender: "b",
    capacityTokens: 90,
    tokens: 70,
    leaseMs: 1000,
    requestedAtMs: 10,
  }, 12);
  step(state, { kind: "time_missed", missedMs: 2000 }, 13);
  t.true(state.levelUnits <= 10 * 1_010_000);
});

test("holders whose first charges exceed their shares yield in turn", (t) => {
  const share = { rateMilli: 0, capacityTokens: 50 };
  const state = createTeamState(terms({ share, lenders: ["b"] }), FULL);
  charge(state, { costTokens: 80, nowMs: 10, waitMs: 60_000 });
  const lentAt = (nowMs: number) => {
    const [effect] = step(state, {
      kind: "borrow_requested",
      borrower: "vm2",
      wantCapacityTokens: 50,
      wantTokens: 0,
    }, nowMs);
    return effect?.kind === "lent" ? effect.capacityTokens : 0;
  };
  t.deepEqual([lentAt(100), lentAt(2100)].sort(), [0, 50]);
});

test("no wake-up is due for a team without waiting charges", (t) => {
  const state = createTeamState(terms({ lenders: ["b"] }), FULL);
  charge(state, { costTokens: 1, nowMs: 10 });
  t.is(nextWakeAtMs(state, 10), Infinity);
});
