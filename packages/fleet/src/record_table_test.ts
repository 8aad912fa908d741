import test from "ava";
import { type KeyedRecord, RecordTable } from "./mod.ts";

function record(key: string, offset: number, text?: string): KeyedRecord {
  return {
    key,
    offset,
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
  t.deepEqual(heard.map(({ offset }) => offset), [5]);
});

test("a key that is missing from a full listing is removed", (t) => {
  const { heard, table } = newTable();
  table.apply([record("a", 1, "x"), record("b", 2, "y")]);
  table.apply([record("a", 1, "x")], new Set(["a"]));
  t.is(heard.at(-1)?.key, "b");
  t.is(heard.at(-1)?.value, undefined);
});

test("peers get the records newer than their own, removals included", (t) => {
  const { table } = newTable();
  table.apply([record("a", 1, "x"), record("b", 2, "y"), record("a", 3)]);
  t.deepEqual(table.since(1).map(({ key, offset }) => [key, offset]), [
    ["b", 2],
    ["a", 3],
  ]);
});
