import test from "ava";
import fc from "fast-check";
import {
  applyRecord,
  awaitSnapshotAfterGap,
  createConfigurationState,
  createSnapshotParts,
  keyIdOf,
  listSnapshotEntries,
  MAX_PART_BYTES,
  planSnapshot,
  restoreState,
  serializeState,
} from "./mod.ts";
import type { ConfigurationState } from "./mod.ts";
import { brandId, type Sha256Digest } from "@endivebend/types";
import {
  applyValues,
  makeBody,
  makeDigest,
  makeRecord,
} from "./test_support.ts";

const SEED = Number(process.env.SEED ?? 20_260_101);

const name = fc.constantFrom("t1", "t2", "t3");
const number = fc.integer({ min: 1, max: 4 });
const digest = number.map(makeDigest);
const body = fc.record({ rate: number, cost: number }).map(({ rate, cost }) =>
  makeBody({
    parameters: {
      tokenRatePerSecond: { default: rate, maximum: rate + 1 },
      burstTokens: { default: 3 },
    },
    routes: [{ ...makeBody().routes[0], costTokens: cost }],
  })
);
const change = fc.oneof(
  fc.record({ kind: fc.constant("template_published"), template: name, body }),
  fc.record({
    kind: fc.constant("template_amended"),
    template: name,
    amendsRevision: number,
    body,
  }),
  fc.record({
    kind: fc.constant("team_created"),
    team: name,
    template: name,
    parameters: fc.record({ tokenRatePerSecond: number }, { requiredKeys: [] }),
  }),
  fc.record({ kind: fc.constant("team_removed"), team: name }),
  fc.record({ kind: fc.constant("key_granted"), team: name, digest }),
  fc.record({
    kind: fc.constant("key_withdrawn"),
    keyId: digest.map((text) => keyIdOf(brandId<Sha256Digest>(text))),
  }),
  fc.record({ kind: fc.constant("vm_drain_requested"), vmId: name }),
  fc.record({ kind: fc.constant("vm_drain_cancelled"), vmId: name }),
  fc.jsonValue(),
);
const field = fc.constantFrom("kind", "team", "body", "digest", "recordId");
const corruption = fc.oneof(
  { weight: 9, arbitrary: fc.constant(null) },
  { weight: 1, arbitrary: fc.tuple(field, fc.jsonValue()) },
);
const recordId = fc.integer({ min: 0, max: 40 });
// Some records repeat an id, and some have one field replaced by any JSON
// value.
const values = fc.array(
  fc.tuple(change, recordId, corruption).map(([value, id, corruptedField]) => {
    const isRecord = typeof value === "object" && value !== null &&
      !Array.isArray(value);
    if (!isRecord) return value;
    const record = { ...value, recordId: `r-${id}` };
    return corruptedField === null
      ? { ...record }
      : { ...record, [corruptedField[0]]: corruptedField[1] };
  }),
  { minLength: 1, maxLength: 40 },
);
const START = [
  {
    recordId: "s0",
    kind: "template_published",
    template: "t1",
    body: makeBody(),
  },
  { recordId: "s1", kind: "team_created", team: "t1", template: "t1" },
];

function entriesOf(state: ConfigurationState) {
  return JSON.stringify([state.appliedOffset, ...listSnapshotEntries(state)]);
}

/**
 * Inserts a snapshot as of `cutOffset` into the log, `recordsInBetween` records
 * later.
 */
function insertSnapshot(
  allValues: readonly unknown[],
  options: { readonly cutOffset: number; readonly recordsInBetween: number },
) {
  const before = allValues.slice(0, options.cutOffset + 1);
  const parts = createSnapshotParts(applyValues(before).state, {
    snapshotId: "snap",
    maxPartBytes: 1_400,
  });
  const insertIndex = options.cutOffset + 1 + options.recordsInBetween;
  return [
    ...allValues.slice(0, insertIndex),
    ...parts,
    ...allValues.slice(insertIndex),
  ];
}

// Guards against a new VM that decides later changes differently from one that
// read the whole log, whichever part of the log is still retained.
test("the state from a snapshot equals the state from the whole log", (t) => {
  t.log(`seed ${SEED}; set SEED for another`);
  const fraction = fc.double({ min: 0, max: 1, noNaN: true });
  const property = fc.property(
    fc.tuple(values, fraction, fraction, fraction),
    ([random, cutFraction, delayFraction, firstFraction]) => {
      const allValues = [...START, ...random];
      const cutOffset = Math.floor(cutFraction * (allValues.length - 1));
      const recordsInBetween = Math.floor(
        delayFraction * (allValues.length - 1 - cutOffset),
      );
      const log = insertSnapshot(allValues, {
        cutOffset,
        recordsInBetween,
      });
      const first = Math.floor(firstFraction * (cutOffset + 1));
      const reader = createConfigurationState();
      awaitSnapshotAfterGap(reader, first);
      log.forEach((value, offset) => {
        if (offset >= first) applyRecord(reader, makeRecord(offset, value));
      });
      return entriesOf(reader) === entriesOf(applyValues(log).state);
    },
  );
  t.notThrows(() => fc.assert(property, { seed: SEED, numRuns: 300 }));
});

// Guards against a peer's snapshot that loses or reverts records.
test("a state restored from a peer equals the peer's and never reverts", (t) => {
  t.log(`seed ${SEED}; set SEED for another`);
  const property = fc.property(values, (random) => {
    const peer = applyValues([...START, ...random]).state;
    const reader = applyValues(START).state;
    const json = serializeState(peer);
    const restored = restoreState(reader, { json, offset: peer.appliedOffset });
    const secondRestore = restoreState(reader, {
      json,
      offset: peer.appliedOffset,
    });
    return restored && !secondRestore && entriesOf(reader) === entriesOf(peer);
  });
  t.notThrows(() => fc.assert(property, { seed: SEED, numRuns: 100 }));
  const reader = applyValues(START).state;
  t.false(restoreState(reader, { json: '{"entries":[["x"]]}', offset: 99 }));
  t.is(reader.teams.size, 1);
});

// Guards against a snapshot that is treated as complete although its writer
// stopped before the last part.
test("an incomplete snapshot leaves the state unchanged", (t) => {
  const log = insertSnapshot([...START, {}, {}], {
    cutOffset: 3,
    recordsInBetween: 0,
  });
  const reader = applyValues(START.slice(0, 1)).state;
  awaitSnapshotAfterGap(reader, 3);
  const kinds = log.slice(3, -1).map((value, index) =>
    applyRecord(reader, makeRecord(index + 3, value)).kind
  );
  t.deepEqual([...new Set(kinds)], ["deferred"]);
  t.is(reader.appliedOffset, 0);
  t.is(reader.templates.size, 1);
});

// Guards against parts that the platform refuses as too large.
test("parts stay within the size limit at 3,000 teams", (t) => {
  const { state } = applyValues([
    START[0],
    ...Array.from({ length: 3_000 }, (_, index) => ({
      recordId: `team-${index}`,
      kind: "team_created",
      team: `team-${index}`,
      template: "t1",
    })),
  ]);
  const parts = createSnapshotParts(state, { snapshotId: "snap" });
  t.true(parts.length > 1);
  for (const part of parts) {
    t.true(Buffer.byteLength(JSON.stringify(part)) <= MAX_PART_BYTES);
  }
});

// Guards against records that the log drops before the next snapshot is
// written.
test("a snapshot is due at half of the retention, counted from the first part of the last one", (t) => {
  const { state } = applyValues(START);
  const retentionMs = 1000;
  t.false(planSnapshot(state, { retentionMs, nowMs: 499 }).due);
  t.true(planSnapshot(state, { retentionMs, nowMs: 500 }).due);
  const parts = createSnapshotParts(state, { snapshotId: "snap" });
  parts.forEach((part, index) =>
    applyRecord(state, makeRecord(400 + index, part))
  );
  t.false(planSnapshot(state, { retentionMs, nowMs: 500 }).due);
  t.false(planSnapshot(state, { retentionMs, nowMs: 899 }).due);
  t.true(planSnapshot(state, { retentionMs, nowMs: 900 }).due);
});
