import test from "ava";
import { logPosition } from "@endivebend/fleet";
import { StoreClient } from "./store_client.ts";
import { createStreamOriginLog } from "./stream_origin_log.ts";
import { startStore } from "./testing_store.ts";

const RATES = { writesPerS: 400, keepMs: 300_000 };

test("records of origins are read to the end, from where the last read ended", async (t) => {
  const store = await startStore();
  const log = createStreamOriginLog(new StoreClient(store.address), RATES);
  const empty = await log.read(undefined);
  t.like(empty, { records: [], next: logPosition(1, 0), isEnd: true });
  t.is(await log.append(Buffer.from("a")), logPosition(1, 0));
  t.is(await log.append(Buffer.from("b")), logPosition(1, 1));
  const read = await log.read(empty.next);
  t.deepEqual(read.records.map(String), ["a", "b"]);
  t.is(read.next, logPosition(1, 2));
  t.deepEqual((await log.read(read.next)).records, []);
  store.close();
});

test("a daemon that starts reads the records that are not deleted", async (t) => {
  const store = await startStore();
  const log = createStreamOriginLog(new StoreClient(store.address), RATES);
  for (const text of ["a", "b", "c"]) await log.append(Buffer.from(text));
  await log.trim(logPosition(1, 2));
  const { records, next } = await log.read(undefined);
  t.deepEqual(records.map(String), ["c"]);
  t.is(next, logPosition(1, 3));
  store.close();
});

test("a restored store shows in the position after a read", async (t) => {
  const store = await startStore();
  const log = createStreamOriginLog(new StoreClient(store.address), RATES);
  await log.append(Buffer.from("a"));
  const { next } = await log.read(undefined);
  await log.append(Buffer.from("b"));
  store.restore(1);
  // The store has closed the connection of the first read.
  const read = await log.read(next).catch(() => log.read(next));
  t.is(read.next, logPosition(2, 1));
  t.is(log.era, 2);
  store.close();
});
