/**
 * Counts the calls served and refused before, during and after an outage of the
 * platform's log, for a mix of routes, in virtual time.
 *
 * Run it with `npx tsx packages/router/src/commitments/testing/measure_refusals.ts`;
 * `SEED` selects another sequence of calls.
 *
 * @module
 */

import fc from "fast-check";
import type { RouteRule } from "../../ports.ts";
import { type CallResult, Fleet } from "./fleet.ts";

const seed = Number(process.env["SEED"] ?? 1);
const VM_COUNT = 8;
const CALLS_PER_SECOND = 40;
const OUTAGE_FROM_MS = 60_000;
const OUTAGE_UNTIL_MS = 360_000;
const END_MS = 420_000;
/** A repeated call reuses one of this many latest keys of bookings. */
const REPEAT_WINDOW = 200;

interface RouteKind {
  readonly name: string;
  /** Share of all calls, in percent. */
  readonly weight: number;
  readonly route: Partial<RouteRule>;
  readonly isKeyed: boolean;
  readonly isRepeat: boolean;
}

/** Shares as in the two deployments: look-ups outnumber bookings and orders. */
const ROUTE_KINDS: readonly RouteKind[] = [
  {
    name: "look-up (repeatable)",
    weight: 55,
    route: { repeatable: true },
    isKeyed: false,
    isRepeat: false,
  },
  {
    name: "open page",
    weight: 10,
    route: { open: true },
    isKeyed: false,
    isRepeat: false,
  },
  {
    name: "booking, new key",
    weight: 15,
    route: {},
    isKeyed: true,
    isRepeat: false,
  },
  {
    name: "booking, repeated key",
    weight: 5,
    route: {},
    isKeyed: true,
    isRepeat: true,
  },
  {
    name: "die order (service deduplicates)",
    weight: 10,
    route: { deduplicates: true },
    isKeyed: true,
    isRepeat: false,
  },
  {
    name: "notice (unkeyed)",
    weight: 5,
    route: { unkeyed: true },
    isKeyed: false,
    isRepeat: false,
  },
];

interface PlannedCall {
  readonly kind: RouteKind;
  readonly vm: number;
  readonly keyAge: number;
}

type Phase = "before" | "away" | "after";
type Count = Record<"calls" | "answered" | "notRun" | "unknown", number>;

function planCalls(count: number): readonly PlannedCall[] {
  const [first, ...rest] = ROUTE_KINDS.map((kind) => ({
    weight: kind.weight,
    arbitrary: fc.constant(kind),
  }));
  if (first === undefined) return [];
  const call = fc.record({
    kind: fc.oneof(first, ...rest),
    vm: fc.nat(VM_COUNT - 1),
    keyAge: fc.integer({ min: 1, max: REPEAT_WINDOW }),
  });
  return fc.sample(call, { seed, numRuns: count });
}

function phaseAt(atMs: number): Phase {
  if (atMs < OUTAGE_FROM_MS) return "before";
  return atMs < OUTAGE_UNTIL_MS ? "away" : "after";
}

function countResult(count: Count, result: CallResult): void {
  count.calls++;
  if (result.answer !== undefined) count.answered++;
  if (result.ran === "not_run") count.notRun++;
  if (result.ran === "unknown") count.unknown++;
}

/** Sends all calls and counts their results by phase and kind. */
async function run() {
  const fleet = new Fleet({ lagsMs: Array(VM_COUNT).fill(2) });
  fleet.log.outages.push({ fromMs: OUTAGE_FROM_MS, untilMs: OUTAGE_UNTIL_MS });
  const callIntervalMs = 1000 / CALLS_PER_SECOND;
  const counts = new Map<string, Count>();
  const bookingKeys: string[] = [];
  const calls: Promise<void>[] = [];
  for (const [index, planned] of planCalls(END_MS / callIntervalMs).entries()) {
    const atMs = index * callIntervalMs;
    await fleet.time.runUntil(atMs);
    const { kind, vm, keyAge } = planned;
    const repeatedKey = kind.isRepeat ? bookingKeys.at(-keyAge) : undefined;
    const key = kind.isKeyed ? repeatedKey ?? `key-${index}` : undefined;
    if (kind.name.startsWith("booking") && key) bookingKeys.push(key);
    const name = `${phaseAt(atMs)} ${kind.name}`;
    const emptyCount = { calls: 0, answered: 0, notRun: 0, unknown: 0 };
    const count = counts.get(name) ?? emptyCount;
    counts.set(name, count);
    calls.push(
      fleet.call(vm, key, { route: kind.route })
        .then((result) => countResult(count, result)),
    );
  }
  await fleet.time.runUntil(END_MS + 20_000);
  await Promise.all(calls);
  return { counts, log: fleet.log };
}

function print(counts: ReadonlyMap<string, Count>, phase: Phase): void {
  console.log(
    `\nlog ${phase === "away" ? "away" : `up (${phase} the outage)`}`,
  );
  console.log("| route | calls | answered | not_run | unknown |");
  const total = { calls: 0, answered: 0, notRun: 0, unknown: 0 };
  for (const { name } of ROUTE_KINDS) {
    const count = counts.get(`${phase} ${name}`);
    if (count === undefined) continue;
    printRow(name, count);
    for (const field of Object.keys(total) as (keyof Count)[]) {
      total[field] += count[field];
    }
  }
  printRow("all", total);
  const share = (100 * total.notRun / total.calls).toFixed(1);
  console.log(`refused: ${share}% of all calls`);
}

function printRow(name: string, count: Count): void {
  const { calls, answered, notRun, unknown } = count;
  console.log(`| ${name} | ${calls} | ${answered} | ${notRun} | ${unknown} |`);
}

const { counts, log } = await run();
console.log(`seed ${seed}, ${VM_COUNT} VMs, ${CALLS_PER_SECOND} calls/s`);
for (const phase of ["before", "away", "after"] as const) print(counts, phase);
console.log(`\n${log.records.length} records in ${log.appends} appends`);
