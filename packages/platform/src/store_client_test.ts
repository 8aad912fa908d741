import test from "ava";
import { logPosition } from "@endivebend/fleet";
import { brandId, type VmId } from "@endivebend/types";
import type { LeaseRecord } from "@endivebend/orders";
import { createRolloutLeaseLog } from "./rollout_lease_log.ts";
import { StoreClient } from "./store_client.ts";
import { startStore } from "./testing_store.ts";

const vm = (name: string) => brandId<VmId>(name);

test("keyed records are listed and followed with their offsets", async (t) => {
  const store = await startStore();
  const client = new StoreClient(store.address);
  store.put("keyed.op", "config", { version: 1 });
  const { records, next } = await client.newest("keyed.op");
  t.deepEqual(records.map(({ key, position }) => [key, position]), [
    ["config", logPosition(1, 0)],
  ]);
  const following = client.keyedRecordSource("keyed.op").read(next, 1_000);
  store.remove("keyed.op", "config");
  const answer = await following;
  t.is(answer.kind, "records");
  if (answer.kind === "records") {
    t.like(answer.records[0], {
      key: "config",
      value: undefined,
      position: logPosition(1, 1),
    });
  }
  store.close();
});

function leaseRecord(
  holder: string,
  fields: Partial<LeaseRecord> = {},
): LeaseRecord {
  return {
    holder: vm(holder),
    incarnation: "1",
    kind: "claim",
    permitsOrders: false,
    waitMs: 0,
    ...fields,
  };
}

test("the log of the rollout lease takes one record at each position", async (t) => {
  const store = await startStore();
  const log = createRolloutLeaseLog(new StoreClient(store.address));
  const { end, newest } = await log.read(undefined);
  t.is(newest, "unknown", "the store may have lost earlier records");
  const first = await log.append(leaseRecord("vm-1"), end);
  t.deepEqual(first, { kind: "appended", end: end + 1 });
  t.deepEqual(await log.append(leaseRecord("vm-2"), end), { kind: "moved" });
  t.deepEqual(await log.read(end + 1), {
    end: end + 1,
    newest: leaseRecord("vm-1"),
  });
  const second = await log.append(
    leaseRecord("vm-2", { kind: "renewal", waitMs: 7 }),
    end + 1,
  );
  t.is(second.kind, "appended");
  for (const knownEnd of [undefined, end + 1, end + 2, end + 9]) {
    t.deepEqual(await log.read(knownEnd), {
      end: end + 2,
      newest: leaseRecord("vm-2", { kind: "renewal", waitMs: 7 }),
    });
  }
  store.close();
});

test("a malformed record of the rollout lease names no holder", async (t) => {
  const store = await startStore();
  const client = new StoreClient(store.address);
  const log = createRolloutLeaseLog(client);
  for (const text of ["", "vm-1", "null", '{"holder":"vm-1"}']) {
    await client.append("weights-lease", Buffer.from(text));
    t.is((await log.read(undefined)).newest, "unknown");
  }
  store.close();
});

for (const kept of [0, 1, 2]) {
  test(`a restore that keeps ${kept} records of the lease is told, and the end is higher`, async (t) => {
    const store = await startStore();
    const holder = createRolloutLeaseLog(new StoreClient(store.address));
    const other = createRolloutLeaseLog(new StoreClient(store.address));
    const { end } = await other.read(undefined);
    await other.append(leaseRecord("vm-2"), end);
    await holder.append(leaseRecord("vm-1"), end + 1);
    store.restore(kept);
    const renewal = leaseRecord("vm-1", { kind: "renewal" });
    await t.throwsAsync(holder.append(renewal, end + 2));
    t.is((await holder.append(renewal, end + 2)).kind, "restored");
    const state = await other.read(end + 2);
    t.is(state.newest, "unknown", "later records may be lost");
    t.true(state.end > end + 2);
    const next = await other.append(leaseRecord("vm-2"), state.end);
    t.deepEqual(next, { kind: "appended", end: state.end + 1 });
    t.like((await holder.read(end + 2)).newest, { holder: vm("vm-2") });
    store.close();
  });
}

test("a store that answers 503 is unreachable until it answers a call", async (t) => {
  const store = await startStore();
  const client = new StoreClient(store.address);
  store.faults.isDown = true;
  await t.throwsAsync(client.newest("keyed.op"));
  t.false(client.isReachable);
  store.faults.isDown = false;
  await client.newest("keyed.op");
  t.true(client.isReachable);
  store.close();
});

test("a restored store has a gap for readers of the time before, and later positions", async (t) => {
  const store = await startStore();
  const client = new StoreClient(store.address);
  for (const version of [1, 2]) store.put("keyed.op", "config", { version });
  const source = client.keyedRecordSource("keyed.op");
  const before = await source.newest();
  const held = source.read(before.next, 20_000);
  await t.notThrowsAsync(source.read(before.next, 0));
  store.restore(1);
  await t.throwsAsync(held);
  store.put("keyed.op", "config", { version: 2 });
  t.deepEqual(await source.read(before.next, 0), { kind: "gap" });
  const after = await source.newest();
  t.is(after.records[0]?.position, logPosition(2, 1));
  t.true(after.next > before.next);
  const [held2, other] = [source.read(after.next, 20_000), client.era];
  t.is(other, 2);
  store.put("keyed.op", "config", { version: 3 });
  t.is((await held2).kind, "records");
  store.close();
});
