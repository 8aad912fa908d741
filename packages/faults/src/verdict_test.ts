import test from "ava";
import type { RanCall } from "@endivebend/stand-ins";
import { computeFigures } from "./mod.ts";
import type { Booking } from "./load/booking_call.ts";
import type { Outcome } from "./load/outcome.ts";
import { largestExcess } from "./scenarios/rates.ts";

function outcome(fields: Partial<Outcome>): Outcome {
  const times = { startedAtMs: 0, endedAtMs: 1000 };
  return { kind: "answered", call: "booking", vmId: "e1", ...times, ...fields };
}

function booking(token: string, ...attempts: Outcome[]): Booking {
  return { token, key: `key-${token}`, attempts };
}

function run(token: string, requestId: string): RanCall {
  return { body: JSON.stringify({ token }), requestId } as RanCall;
}

function judge(bookings: readonly Booking[], ran: readonly RanCall[]) {
  const outcomes = bookings.flatMap(({ attempts }) => attempts);
  return computeFigures({ outcomes, bookings, ran, faultAtMs: 200 });
}

const notRun = (requestId: string) =>
  outcome({ kind: "refused", ran: "not_run", requestId });

test("a booking that ran twice is counted as doubled", (t) => {
  const figures = judge(
    [booking("a", outcome({}))],
    [run("a", "r1"), run("a", "r2")],
  );
  t.like(figures, { doubled: 1, lost: 0 });
});

test("an answered booking that never ran is counted as lost", (t) => {
  t.is(judge([booking("a", outcome({}))], []).lost, 1);
});

test("a refusal of the very request that ran is a false not_run", (t) => {
  const repeated = booking("a", notRun("r1"), outcome({ requestId: "r2" }));
  t.is(judge([repeated], [run("a", "r1")]).falseNotRun, 1);
  t.is(judge([repeated], [run("a", "r2")]).falseNotRun, 0);
});

test("a booking that ran though all attempts say not_run is false", (t) => {
  const refused = booking("a", notRun("r1"), notRun("r2"));
  t.is(judge([refused], [run("a", "r3")]).falseNotRun, 1);
});

test("recovery ends with the last call that was harmed", (t) => {
  const calls = [
    outcome({ kind: "cut", endedAtMs: 700 }),
    outcome({ kind: "answered", endedAtMs: 900 }),
  ];
  t.is(judge([booking("a", ...calls)], [run("a", "r1")]).recoverSeconds, 0.5);
});

test("an excess within a short span is found though the whole span has none", (t) => {
  const rate = { tokenRatePerSecond: 10, burstTokens: 20 };
  const at = (fromMs: number, costTokens: number) => ({
    fromMs,
    toMs: fromMs + 100,
    costTokens,
  });
  t.is(largestExcess([at(0, 5), at(9000, 15), at(9000, 10)], rate), 4);
  t.true(largestExcess([at(0, 5), at(9000, 15), at(9000, 5)], rate) <= 0);
});
