import test from "ava";
import { type KeyedRecord, logPosition, RecordTable } from "./mod.ts";

function record(
  key: string,
  offset: number,
  text?: string,
  era = 0,
): KeyedRecord {
  return {
    key,
    position: logPosition(era, offset),
    value: text === undefined ? undefined : Buffer.from(text),
  };
}

function newTable() {
  const heard: KeyedRecord[] = [];
  const table = new RecordTable((records) => heard.push(...records));
  return { heard, table };
}

test("an older record never replaces a newer one", (t) => {
  const { heard, table } = newTable();
  table.apply([record("config", 5, "new")]);
  table.apply([record("config", 4, "old")]);
  t.deepEqual(heard.map(({ position }) => Number(position)), [5]);
});

test("a key that is missing from a full listing is removed", (t) => {
  const { heard, table } = newTable();
  table.apply([record("a", 1, "x"), record("b", 2, "y")]);
  table.apply([record("a", 1, "x")], {
    keys: new Set(["a"]),
    isComplete: true,
  });
  t.is(heard.at(-1)?.key, "b");
  t.is(heard.at(-1)?.value, undefined);
});

test("peers get the records newer than their own, removals included", (t) => {
  const { table } = newTable();
  table.apply([record("a", 1, "x"), record("b", 2, "y"), record("a", 3)]);
  t.deepEqual(
    table.since(1).map(({ key, position }) => [key, Number(position)]),
    [
      ["b", 2],
      ["a", 3],
    ],
  );
});

// The store gives out the offsets of lost records again.
test("a record written after a restore replaces one with a higher offset", (t) => {
  const { heard, table } = newTable();
  table.apply([record("config", 5, "lost")]);
  table.apply([record("config", 3, "written again", 1)]);
  table.apply([record("config", 4, "late", 0)]);
  t.deepEqual(heard.map(({ value }) => String(value)), [
    "lost",
    "written again",
  ]);
  t.deepEqual(table.since(logPosition(0, 5)).length, 1);
});

// A peer may tell of a copy before this daemon has found the restore itself.
test("a copy is ordered by its content until its era is settled", (t) => {
  const heard: string[] = [];
  const table = new RecordTable(
    (records) => heard.push(...records.map(({ value }) => String(value))),
    (one, other) => String(one.value) < String(other.value),
  );
  table.settle(0);
  table.apply([record("config", 5, "9")]);
  table.apply([record("config", 2, "7", 1)]);
  t.deepEqual(heard, ["9"]);
  table.apply([record("gone", 6, "3"), record("gone", 7)]);
  table.apply([record("gone", 3, "3", 1)]);
  t.is(heard.at(-1), "undefined", "what was removed stays removed");
  table.apply([record("gone", 4, "4", 1)]);
  t.is(heard.at(-1), "4", "unless it is written again");
  table.settle(1);
  table.apply([record("config", 2, "7", 1)]);
  t.is(heard.at(-1), "7");
});

/** A table that lists the store's records before the offset. */
function listedTable(records: readonly KeyedRecord[], end: number) {
  const { heard, table } = newTable();
  const keys = new Set(records.map(({ key }) => key));
  const upTo = logPosition(0, end);
  return {
    heard,
    table,
    list: () => table.apply(records, { keys, isComplete: false, upTo }),
  };
}

// A listing has no removals, and what a peer holds may be older than it.
for (const first of ["the listing", "the peer's records"]) {
  test(`a record that was removed before a listing is not taken from a peer, ${first} first`, (t) => {
    const { heard, table, list } = listedTable([record("a", 1, "x")], 4);
    const pull = () => {
      table.apply([record("a", 1, "x"), record("b", 2, "y")]);
    };
    if (first === "the listing") list();
    pull();
    if (first !== "the listing") list();
    const last = heard.findLast(({ key }) => key === "b");
    t.is(last?.value, undefined);
    table.apply([record("b", 4, "back")]);
    t.is(String(heard.at(-1)?.value), "back");
  });
}

test("records of another era than the listing's stay while it may lack some", (t) => {
  const { heard, table } = newTable();
  table.apply([record("lost", 5, "x")]);
  table.apply([record("a", 0, "x", 1)], {
    keys: new Set(["a"]),
    isComplete: false,
    upTo: logPosition(1, 2),
  });
  t.deepEqual(heard.map(({ key }) => key), ["lost", "a"]);
  t.is(table.newest, logPosition(1, 1));
});

test("a peer that lacks removals passes on all that is left", (t) => {
  const { table: peer, list } = listedTable([record("a", 1, "x")], 4);
  list();
  t.is(Number(peer.newest), 3);
  const { heard, table } = newTable();
  table.apply([record("a", 1, "x"), record("b", 2, "y")]);
  table.applyChanges(peer.changesSince(table.newest));
  t.like(heard.at(-1), { key: "b", value: undefined });
  t.is(Number(table.newest), 3);
  peer.apply([record("a", 4)]);
  const changes = peer.changesSince(table.newest);
  t.is(changes.listedTo, undefined, "nothing is missing after the listing");
  t.deepEqual(changes.records.map(({ key }) => key), ["a"]);
});
