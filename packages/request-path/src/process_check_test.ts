import test from "ava";
import type { BackendServerId, VmId } from "@endivebend/types";
import {
  type Forwarder,
  ProcessCheck,
  RequestRun,
  type StatedProcess,
} from "./mod.ts";
import { hasOtherProcess } from "./process_check.ts";
import {
  answerHead,
  FakeCaller,
  listedServer,
  routedRequest,
  testContext,
  TestTime,
} from "./testing.ts";
import type { ListedServer } from "./types.ts";

const NO_ANSWER = new Promise<undefined>(() => {});

/** A check whose servers state the given starts, or do not answer. */
function checkOf(
  starts: Readonly<Record<string, number | "unstated" | "silent">>,
  time = new TestTime(),
) {
  const asked: string[] = [];
  const steps: string[] = [];
  const check = new ProcessCheck({
    ask: ({ id }: ListedServer): Promise<StatedProcess | undefined> => {
      asked.push(id);
      const start = starts[id];
      if (start === "silent" || start === undefined) return NO_ANSWER;
      const startedAtMs = start === "unstated" ? undefined : start;
      return Promise.resolve({ startedAtMs });
    },
    clock: time,
    scheduler: time,
    log: { decision: (step) => void steps.push(step) },
    metrics: { count() {}, observeMs() {} },
  });
  return { check, asked, steps, time };
}

function settle(): Promise<void> {
  return new Promise(setImmediate);
}

test("a process with the listed start is the listed one for a moment", async (t) => {
  const { registry } = testContext();
  const server = registry.get("one" as BackendServerId)!;
  const { check, steps, time } = checkOf({ one: 1 });
  t.false(check.isFresh(server, time.nowMs));
  t.true(await check.check(server));
  t.true(check.isFresh(server, time.nowMs));
  t.false(hasOtherProcess(server));
  t.false(check.isFresh(server, time.nowMs + 50));
  t.deepEqual(steps, []);
});

test("a process with another start is another one until its entry comes", async (t) => {
  const { registry } = testContext();
  const id = "one" as BackendServerId;
  const { check, steps } = checkOf({ one: 7 });
  t.true(await check.check(registry.get(id)!));
  t.true(hasOtherProcess(registry.get(id)!));
  t.deepEqual(steps, ["other_process"]);
  registry.upsert(listedServer("one", { startedAtMs: 7 }));
  t.false(hasOtherProcess(registry.get(id)!));
});

test("a process that does not state its start is taken as the listed one", async (t) => {
  const { registry } = testContext();
  const server = registry.get("one" as BackendServerId)!;
  t.true(await checkOf({ one: "unstated" }).check.check(server));
  t.false(hasOtherProcess(server));
});

test("a server is asked by one question at a time, for 250 ms at most", async (t) => {
  const { registry } = testContext();
  const server = registry.get("one" as BackendServerId)!;
  const { check, asked, time } = checkOf({ one: "silent" });
  const answers = [check.check(server), check.check(server)];
  t.deepEqual(asked, ["one"]);
  time.advance(250);
  t.deepEqual(await Promise.all(answers), [false, false]);
  void check.check(server);
  t.deepEqual(asked, ["one", "one"]);
});

/** A stream that has begun at `first` and breaks off beside two others. */
async function startBroken(
  starts: Readonly<Record<string, number | "unstated" | "silent">>,
  { forwarder }: { readonly forwarder?: Forwarder } = {},
) {
  const time = new TestTime();
  const { check, asked } = checkOf(starts, time);
  const context = testContext({
    processCheck: check,
    clock: time,
    scheduler: time,
  });
  const { registry, client, paths } = context;
  paths.forwarderFor = () => forwarder;
  registry.forgetMoved("one" as BackendServerId);
  registry.forgetMoved("second" as BackendServerId);
  registry.upsert(listedServer("first"));
  const caller = new FakeCaller();
  const request = routedRequest("resumable_stream");
  new RequestRun(context, request, caller).start();
  registry.upsert(listedServer("a"));
  registry.upsert(listedServer("b"));
  const { listener } = client.last;
  listener.sent();
  listener.head(answerHead());
  listener.data(Buffer.from("id: 1\ndata: a\n\n"));
  listener.failed({ kind: "broken", reason: "reset" });
  await settle();
  const serverIds = () => client.attempts.map(({ order }) => order.server.id);
  return { caller, asked, time, serverIds };
}

test("a stream goes on only where the process is the listed one", async (t) => {
  const starts = { first: "silent", a: 9, b: 9 } as const;
  for (const sound of ["a", "b"]) {
    const started = await startBroken({ ...starts, [sound]: 1 });
    started.time.advance(250);
    await settle();
    t.deepEqual(started.serverIds() as string[], ["first", sound]);
  }
  const { caller, serverIds, time } = await startBroken(starts);
  for (let count = 0; count < 5; count++) {
    time.advance(250);
    await settle();
  }
  t.is(serverIds().length, 1);
  t.true(caller.isAborted);
});

test("a stream goes past a server that does not say which process it is", async (t) => {
  for (const silent of ["a", "b"]) {
    const sound = silent === "a" ? "b" : "a";
    const starts = { first: "silent", [silent]: "silent", [sound]: 1 } as const;
    const { serverIds, time } = await startBroken(starts);
    time.advance(250);
    await settle();
    await settle();
    t.deepEqual(serverIds() as string[], ["first", sound]);
  }
});

test("a stream goes nowhere when another process than listed may have begun it", async (t) => {
  const { caller, serverIds, asked } = await startBroken({
    first: 9,
    a: 1,
    b: 1,
  });
  t.true(asked.includes("first"));
  t.is(serverIds().length, 1);
  t.true(caller.isAborted);
});

// A VM that has lost its links to half of the servers reaches them so.
test("a stream goes on through another VM at a server that can't be asked", async (t) => {
  const forwarder = { vm: "vm-2" as VmId, address: "10.0.0.2:1" };
  const { serverIds, asked } = await startBroken({}, { forwarder });
  t.is(serverIds().length, 2);
  t.deepEqual(asked, []);
});
