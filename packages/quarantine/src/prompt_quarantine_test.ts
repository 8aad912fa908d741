import {
  type BackendServerId,
  brandId,
  type ModelName,
} from "@endivebend/types";
import test from "ava";
import {
  CrashEvidence,
  decodeQuarantine,
  encodeQuarantine,
  PromptQuarantine,
  type QuarantineChange,
  segmentOfModel,
  type SuspectKey,
} from "./mod.ts";

const MODEL = brandId<ModelName>("m");
const BAD = segmentOfModel(MODEL, "bad");
const RULES = segmentOfModel(MODEL, "rules");
/** The term of the first conviction. */
const TERM_MS = 60_000;

function create({ mayTry = true } = {}) {
  const evidence = new CrashEvidence();
  const changes: QuarantineChange[] = [];
  const quarantine = new PromptQuarantine({
    evidence,
    mayTry: () => mayTry,
    changed: (change) => changes.push(change),
  });
  let engines = 0;
  function crash(atMs: number, keys: readonly SuspectKey[] = [BAD]): void {
    engines += 1;
    evidence.recordCrash(
      { id: brandId<BackendServerId>(`e-${engines}`), startedAtMs: 1 },
      keys.map((key, depth) => ({ key, depth })),
      atMs,
    );
    quarantine.evaluate(atMs);
  }
  return { evidence, quarantine, changes, crash };
}

test("a segment is blocked after its third crash, others are not", (t) => {
  const { quarantine, crash } = create();
  crash(0);
  crash(400);
  t.is(quarantine.admit([RULES, BAD], 500).kind, "admitted");
  crash(900);
  const blocked = quarantine.admit([RULES, BAD], 1_000);
  t.like(blocked, { kind: "blocked", key: BAD, untilMs: 900 + TERM_MS });
  t.is(quarantine.admit([RULES], 1_000).kind, "admitted");
});

test("a segment that was at two crashes is not retried", (t) => {
  const { quarantine, crash, evidence } = create();
  crash(0);
  t.false(quarantine.isSuspected([RULES, BAD]));
  crash(400);
  t.true(quarantine.isSuspected([RULES, BAD]));
  evidence.recordAnswered([BAD], 500);
  t.false(quarantine.isSuspected([RULES, BAD]));
});

test("one request tries a segment after its term, and an answer releases it", (t) => {
  const { quarantine, crash, evidence, changes } = create();
  for (const atMs of [0, 400, 900]) crash(atMs);
  const dueMs = 900 + TERM_MS;
  t.is(quarantine.admit([BAD], dueMs - 1).kind, "blocked");
  t.is(quarantine.admit([BAD], dueMs).kind, "trial");
  t.is(quarantine.admit([BAD], dueMs + 1).kind, "blocked");
  evidence.recordAnswered([BAD], dueMs + 100);
  quarantine.evaluate(dueMs + 400);
  t.is(quarantine.admit([BAD], dueMs + 500).kind, "admitted");
  t.deepEqual(changes.map(({ kind }) => kind), ["quarantined", "released"]);
  // Crashes before the release count no more.
  quarantine.evaluate(dueMs + 600);
  t.is(changes.length, 2);
});

test("a trial that crashes its engine doubles the term", (t) => {
  const { quarantine, crash } = create();
  for (const atMs of [0, 400, 900]) crash(atMs);
  const dueMs = 900 + TERM_MS;
  t.is(quarantine.admit([BAD], dueMs).kind, "trial");
  crash(dueMs + 200);
  t.like(quarantine.admit([BAD], dueMs + 300), {
    kind: "blocked",
    untilMs: dueMs + 200 + 2 * TERM_MS,
  });
});

test("only one daemon tries a segment for the fleet", (t) => {
  const { quarantine, crash } = create({ mayTry: false });
  for (const atMs of [0, 400, 900]) crash(atMs);
  t.is(quarantine.admit([BAD], 10 * TERM_MS).kind, "blocked");
});

test("a trial without an outcome is repeated", (t) => {
  const { quarantine, crash } = create();
  for (const atMs of [0, 400, 900]) crash(atMs);
  t.is(quarantine.admit([BAD], 100_000).kind, "trial");
  t.is(quarantine.admit([BAD], 119_000).kind, "blocked");
  t.is(quarantine.admit([BAD], 120_001).kind, "trial");
});

test("crashes that different daemons have seen convict together", (t) => {
  const one = create();
  const two = create();
  one.crash(1_000);
  one.crash(1_400);
  two.crash(1_900, [RULES, BAD]);
  const report = {
    crashes: one.evidence.ownReports(2_000),
    answeredAgesMs: one.evidence.ownAnswerAges(2_000),
  };
  // Both name their first engine e-1, so the second daemon's is another one.
  const crashes = report.crashes.map((seen) => ({
    ...seen,
    server: brandId<BackendServerId>(`one-${seen.server}`),
  }));
  t.true(two.evidence.applyPeer({ ...report, crashes }, 2_000));
  two.quarantine.evaluate(2_000);
  t.is(two.quarantine.admit([BAD], 2_000).kind, "blocked");
  t.false(two.evidence.applyPeer({ ...report, crashes }, 2_000));
});

test("an answer that a peer has seen clears a suspect", (t) => {
  const one = create();
  const two = create();
  for (const evidence of [one.evidence, two.evidence]) {
    evidence.recordCrash(
      { id: brandId<BackendServerId>("e"), startedAtMs: 1 },
      [{ key: RULES, depth: 0 }],
      1_000,
    );
  }
  two.crash(1_400, [RULES]);
  one.evidence.recordAnswered([RULES], 1_600);
  two.evidence.applyPeer({
    crashes: [],
    answeredAgesMs: one.evidence.ownAnswerAges(1_900),
  }, 1_900);
  two.crash(2_000, [RULES]);
  t.is(two.quarantine.admit([RULES], 2_100).kind, "admitted");
});

test("one crash that several daemons have seen counts once", (t) => {
  const { quarantine, evidence } = create();
  const server = brandId<BackendServerId>("e");
  for (const ageMs of [900, 500, 10]) {
    evidence.applyPeer({
      crashes: [{ server, startedAtMs: 1, ageMs, suspects: [[BAD, 0]] }],
      answeredAgesMs: {},
    }, 1_000);
  }
  quarantine.evaluate(1_000);
  t.is(quarantine.admit([BAD], 1_000).kind, "admitted");
});

test("an engine that ends again under its id and entry counts again", (t) => {
  const { quarantine, evidence } = create();
  const server = { id: brandId<BackendServerId>("e"), startedAtMs: 0 };
  for (const atMs of [1_000, 5_000, 9_000]) {
    evidence.recordCrash(server, [{ key: BAD, depth: 0 }], atMs);
  }
  quarantine.evaluate(9_000);
  t.is(quarantine.admit([BAD], 9_000).kind, "blocked");
});

test("a stored quarantine holds for what is left of its term", (t) => {
  const { quarantine } = create();
  const record = { strikes: 2, untilWallMs: 1_000_000 };
  const at = { nowMs: 5_000, wallMs: 970_000 };
  quarantine.applyRecord(BAD, record, at);
  t.like(quarantine.admit([BAD], 5_000), {
    kind: "blocked",
    untilMs: 35_000,
  });
  quarantine.applyRecord(BAD, { ...record, strikes: 1 }, at);
  t.is(quarantine.entries()[0]?.strikes, 2);
});

test("a wall clock that is ahead does not end or prolong a term past its bound", (t) => {
  const { quarantine } = create();
  quarantine.applyRecord(BAD, { strikes: 1, untilWallMs: 9_000_000_000 }, {
    nowMs: 0,
    wallMs: 1_000,
  });
  t.true((quarantine.entries()[0]?.untilMs ?? 0) <= 3_600_000);
});

test("a record keeps its fields, and bytes of another form are none", (t) => {
  const record = { strikes: 3, untilWallMs: 1_796_000_000_000 };
  t.deepEqual(decodeQuarantine(encodeQuarantine(record)), record);
  for (
    const text of [
      "",
      "{",
      "[]",
      "null",
      '{"strikes":0}',
      '{"strikes":"1","untilWallMs":2}',
    ]
  ) {
    t.is(decodeQuarantine(Buffer.from(text)), undefined);
  }
});

test("peers are told of the likely causes first when a prompt has many segments", (t) => {
  const { evidence } = create();
  const keys = Array.from(
    { length: 40 },
    (_, depth) => segmentOfModel(MODEL, `part-${depth}`),
  );
  evidence.recordAnswered(keys.filter((_, depth) => depth !== 20), 100);
  evidence.recordCrash(
    { id: brandId<BackendServerId>("e"), startedAtMs: 1 },
    keys.map((key, depth) => ({ key, depth })),
    1_000,
  );
  const [report] = evidence.ownReports(1_100);
  t.is(report?.suspects[0]?.[0], keys[20]);
  t.is(report?.suspects[1]?.[0], keys[39]);
  t.true((report?.suspects.length ?? 0) < keys.length);
});
