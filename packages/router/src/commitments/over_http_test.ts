import test, { type ExecutionContext } from "ava";
import { createPlatformClient } from "@endivebend/platform-client";
import { startPlatform } from "@endivebend/stand-ins";
import type {
  FailureDomainId,
  IncarnationId,
  RequestId,
  TeamId,
  VmId,
} from "@endivebend/types";
import { LogFollower } from "../log/follower.ts";
import type {
  MembershipView,
  Scheduler,
  ServiceCall,
  StreamFold,
} from "../ports.ts";
import { createClock } from "@endivebend/clock";
import { defaultCommitmentSettings } from "./settings.ts";
import { createCommitmentTask } from "./task.ts";
import { bookingRoute } from "./testing/fleet.ts";

const clock = createClock();
/** Unlike a daemon's timers, these keep the test process alive. */
const scheduler: Scheduler = {
  after(delayMs, task) {
    const timer = setTimeout(task, delayMs);
    return () => clearTimeout(timer);
  },
};
const noMetrics = { increment() {}, gauge() {}, timing() {} };
const noMembership = {
  incarnationOf: () => undefined,
  hasEnded: () => false,
  onChange: () => () => {},
} as unknown as MembershipView;

/** Starts two VMs with the platform stand-in and the daemon's log follower. */
async function startVms(t: ExecutionContext) {
  const platform = await startPlatform();
  const runs: string[] = [];
  const vms = ["vm-1", "vm-2"].map((vmId) => {
    const client = createPlatformClient({
      baseUrl: `http://${platform.address}`,
      timeoutMs: 500,
    });
    const fold: StreamFold = { apply: (record) => task.apply(record) };
    const follower = new LogFollower({
      stream: "commitments",
      fold,
      log: client,
      peers: { fetch: () => Promise.resolve(undefined) },
      clock,
      scheduler,
      logger: { info() {}, warn() {}, error() {} },
      pollWaitMs: 200,
    });
    const task = createCommitmentTask({
      identity: {
        vmId: vmId as VmId,
        incarnation: "i1" as IncarnationId,
        failureDomain: "d1" as FailureDomainId,
      },
      stream: follower,
      membership: noMembership,
      dispatcher: {
        dispatchOnce(call) {
          const body = Buffer.from(`booking ${runs.push(call.requestId)}`);
          return Promise.resolve({ status: 201, headers: {}, body });
        },
      },
      clock,
      scheduler,
      metrics: noMetrics,
      explainer: { record() {}, explain: () => undefined },
      settings: defaultCommitmentSettings({ retentionMs: 3_600_000 }),
    });
    const ended = follower.start();
    t.teardown(async () => {
      task.stop();
      follower.stop();
      await ended;
      await client.close();
    });
    return { task, follower };
  });
  t.teardown(() => platform.close());
  return { platform, runs, vms };
}

let requests = 0;

function callOf(key: string): ServiceCall {
  return {
    requestId: `r-${++requests}` as RequestId,
    team: "st-mary" as TeamId,
    route: bookingRoute,
    method: "POST",
    path: "/bookings",
    headers: {},
    body: Buffer.from("{}"),
    idempotencyKey: key,
    deadlineElapsedMs: clock.elapsedMs() + 20_000,
  };
}

async function whenCaughtUp(follower: LogFollower): Promise<void> {
  while (!follower.isCaughtUp()) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

test("over HTTP, calls whose appends lose their answers run once and are replayed", async (t) => {
  const { platform, runs, vms } = await startVms(t);
  for (const { follower } of vms) await whenCaughtUp(follower);
  await platform.control({ loseAppendAnswers: 4 });
  const keys = Array.from({ length: 20 }, (_, n) => `key-${n}`);
  // The same keys on both VMs at once, then again on each.
  for (let round = 0; round < 2; round++) {
    const answers = await Promise.all(keys.map(async (key) => {
      const both = vms.map(({ task }) => task.run(callOf(key)));
      return (await Promise.all(both)).map(({ body }) => body.toString());
    }));
    t.true(answers.every(([first, second]) => first === second));
    t.is(new Set(answers.flat()).size, keys.length);
  }
  t.is(runs.length, keys.length);
});

test("over HTTP, a call refused while the platform refuses appends has not run", async (t) => {
  const { platform, runs, vms } = await startVms(t);
  const [first, second] = vms;
  if (!first || !second) return t.fail();
  await whenCaughtUp(first.follower);
  await whenCaughtUp(second.follower);
  await platform.control({ refuseAppends: true });
  await t.throwsAsync(first.task.run(callOf("k")), {
    message: /did not take the call's intent/,
  });
  await platform.control({ refuseAppends: false });
  const answer = await second.task.run(callOf("k"));
  t.is(answer.body.toString(), "booking 1");
  t.is(runs.length, 1);
});
