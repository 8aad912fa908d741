import { logPosition } from "@endivebend/fleet";
import type { RolloutStatus } from "@endivebend/orders";
import type { SoftwareVersion } from "@endivebend/request-path";
import { brandId, type ServiceName } from "@endivebend/types";
import test from "ava";
import { createRolloutStatusLog } from "./rollout_status_log.ts";
import { StoreClient } from "./store_client.ts";
import { createRecordStore } from "./store_records.ts";
import { startStore, type StoreStandIn } from "./testing_store.ts";

function status(phase: RolloutStatus["phase"], service = "s"): RolloutStatus {
  return {
    service: brandId<ServiceName>(service),
    to: brandId<SoftwareVersion>("v2"),
    phase,
  };
}

function openLog(store: StoreStandIn) {
  return createRolloutStatusLog(new StoreClient(store.address));
}

/** The status records as the store has them. */
async function writtenIn(
  store: StoreStandIn,
): Promise<Record<string, unknown>> {
  const { records } = await new StoreClient(store.address)
    .newest("keyed.status");
  return Object.fromEntries(
    records.map(({ key, value }) => [key, JSON.parse(String(value))]),
  );
}

test("a status is written under the key and in the form that the operator reads", async (t) => {
  const store = await startStore();
  t.teardown(() => store.close());
  const log = openLog(store);
  const { end, statuses } = await log.read();
  t.deepEqual(statuses, []);
  const first = await log.append(status("running"), end);
  t.deepEqual(first, { kind: "appended", end: end + 1 });
  t.is((await log.append(status("succeeded"), end + 1)).kind, "appended");
  t.deepEqual(await writtenIn(store), {
    "rollout/s": { service: "s", phase: "succeeded", to: "v2" },
  });
  t.deepEqual((await log.read()).statuses, [status("succeeded")]);
});

test("a writer that has not read the last status writes nothing", async (t) => {
  // Guards against a paused holder that ends an order its successor drives.
  const store = await startStore();
  t.teardown(() => store.close());
  const [former, successor] = [openLog(store), openLog(store)];
  const { end } = await former.read();
  await former.append(status("running"), end);
  const read = await successor.read();
  await successor.append(status("running"), read.end);
  const late = await former.append(status("succeeded"), end + 1);
  t.deepEqual(late, { kind: "moved" });
  t.like(await writtenIn(store), { "rollout/s": { phase: "running" } });
});

test("a status whose answer was lost shows when it is read again", async (t) => {
  const store = await startStore();
  t.teardown(() => store.close());
  const log = openLog(store);
  const { end } = await log.read();
  store.faults.dropsAnswers = true;
  await t.throwsAsync(log.append(status("succeeded"), end));
  store.faults.dropsAnswers = false;
  const again = await log.read();
  t.is(again.end, end + 1);
  t.deepEqual(again.statuses, [status("succeeded")]);
});

test("a restore of the store counts as a change, also at the same end", async (t) => {
  const store = await startStore();
  t.teardown(() => store.close());
  const log = openLog(store);
  const { end } = await log.read();
  await log.append(status("running"), end);
  store.restore(1);
  await t.throwsAsync(log.append(status("succeeded"), end + 1));
  t.is((await log.append(status("succeeded"), end + 1)).kind, "moved");
  const { end: restoredEnd } = await log.read();
  t.true(restoredEnd >= logPosition(2, 0));
});

test("records of others in the topic are passed over", async (t) => {
  const store = await startStore();
  t.teardown(() => store.close());
  store.put("keyed.status", "other", { phase: "running" });
  store.putText("keyed.status", "rollout/a", "{");
  store.put("keyed.status", "rollout/b", { service: "b", phase: "paused" });
  store.put("keyed.status", "rollout/c", status("running", "c"));
  t.deepEqual((await openLog(store).read()).statuses, [status("running", "c")]);
});

test("the operator's order is read with its time limit", async (t) => {
  const store = await startStore();
  t.teardown(() => store.close());
  const client = new StoreClient(store.address);
  const records = createRecordStore(client);
  store.put("keyed.op", "rollout/s", {
    service: "s",
    to: "v2",
    duration_s: 12,
  });
  store.put("keyed.op", "rollout/t", { service: "t", to: 2, duration_s: 12 });
  const listed = await records.operatorRecords.newest();
  t.deepEqual(
    listed.records.map((record) => records.readOperatorRecord(record)),
    [
      {
        kind: "rollout",
        service: brandId<ServiceName>("s"),
        to: brandId<SoftwareVersion>("v2"),
        durationMs: 12_000,
      },
      { kind: "malformed" },
    ],
  );
});
