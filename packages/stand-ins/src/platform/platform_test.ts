import test, { type ExecutionContext } from "ava";
import type { VmEntry, VmList } from "@endivebend/types";
import { request } from "undici";
import { type PlatformOptions, startPlatform } from "../mod.ts";

interface ReadAnswer {
  readonly statusCode: number;
  readonly records: readonly { readonly value: unknown }[];
  readonly firstOffset: number;
  readonly nextOffset: number;
}

async function start(t: ExecutionContext, options: PlatformOptions = {}) {
  const platform = await startPlatform(options);
  t.teardown(() => platform.close());
  const path = `http://${platform.address}/v1/streams/orders/records`;
  const append = (...records: unknown[]) =>
    request(path, { method: "POST", body: JSON.stringify({ records }) });
  const read = async (query: string) => {
    const { statusCode, body } = await request(`${path}?${query}`);
    return { statusCode, ...(await body.json() as object) } as ReadAnswer;
  };
  return { platform, append, read };
}

test("offsets are contiguous and a long poll wakes at an append", async (t) => {
  const { append, read } = await start(t);
  const first = await (await append("a", "b")).body.json();
  t.deepEqual(first, { firstOffset: 0, lastOffset: 1 });
  const polled = read("from=2&waitMs=5000&limit=10");
  await append("c");
  const { records, nextOffset } = await polled;
  t.deepEqual(records.map((record) => record.value), ["c"]);
  t.is(nextOffset, 3);
});

test("a read below the retained records is answered 410", async (t) => {
  const { append, read } = await start(t, { retentionRecords: 2 });
  await append("a", "b", "c");
  t.like(await read("from=0"), { statusCode: 410, firstOffset: 1 });
  t.like(await read("from=1&limit=1"), { firstOffset: 1, nextOffset: 3 });
});

test("an append whose answer is lost has taken effect", async (t) => {
  const { platform, append, read } = await start(t);
  await platform.control({ loseAppendAnswers: 1 });
  await t.throwsAsync(append("a"));
  t.is((await read("from=0")).nextOffset, 1);
  t.is((await append("b")).statusCode, 200);
});

test("appends over the rate are refused and take no effect", async (t) => {
  const { append, read } = await start(t, { appendsPerSecond: 1 });
  const { statusCode } = await append("a");
  t.is(statusCode, 200);
  t.is((await append("b")).statusCode, 429);
  t.is((await read("from=0")).nextOffset, 1);
});

test("a platform that was down keeps its log and its port", async (t) => {
  const { platform, append, read } = await start(t);
  await append("a");
  await platform.control({ down: true });
  await t.throwsAsync(append("b"), { code: "ECONNREFUSED" });
  await platform.control({ down: false });
  t.is((await read("from=0")).nextOffset, 1);
});

test("the VM list shows a change only after its lag", async (t) => {
  const vm = { vmId: "e1", role: "engine", state: "live" } as VmEntry;
  const { platform } = await start(t, { vms: [vm], vmListLagMs: 3_600_000 });
  const list = async () => {
    const { body } = await request(`http://${platform.address}/v1/vms`);
    return await body.json() as VmList;
  };
  await platform.control({ remove_vm: { vmId: "e1" } });
  t.is((await list()).vms.length, 1);
  await platform.control({ vmListLagMs: 0 });
  t.is((await list()).vms.length, 0);
});
