import test from "ava";
import type { PeerClient } from "@endivebend/peers";
import {
  type BackendServerId,
  brandId,
  type FailureDomainId,
  type IncarnationId,
  type RequestId,
  type TeamId,
  type VmEntry,
  type VmId,
} from "@endivebend/types";
import { EngineDirectory } from "./engine_directory.ts";
import { SlotClient } from "./slot_client.ts";
import { SlotsTask } from "./slots_task.ts";

const clock = { wallMs: () => 0, elapsedMs: () => 0 };
const metrics = { increment() {}, gauge() {}, timing() {} };
const domain = brandId<FailureDomainId>("a");

function makeVm(id: string, role: VmEntry["role"]): VmEntry {
  return {
    vmId: brandId<VmId>(id),
    role,
    state: "live",
    address: "127.0.0.1:1",
    failureDomain: domain,
  };
}

// Guards against a request that spends its whole wait at a watcher behind a
// partition, where the call neither fails nor returns.
test("a wait ends when its watcher becomes silent, and an engine is selected again", async (t) => {
  const timers: (() => void)[] = [];
  const scheduler = {
    after(_delayMs: number, task: () => void) {
      timers.push(task);
      return () => {};
    },
  };
  let silenceMs = 0;
  let calls = 0;
  const watcher = {
    acquireSlot: (_request: unknown, { signal }: { signal: AbortSignal }) => {
      calls++;
      return new Promise((_resolve, reject) => {
        signal.addEventListener("abort", () => reject(new Error("aborted")));
      });
    },
    releaseSlot: () => Promise.resolve({}),
  } as unknown as PeerClient;
  const slots = new SlotsTask({
    takesNewWork: () => true,
    clock,
    scheduler,
    metrics,
  });
  const client = new SlotClient({
    identity: {
      vmId: brandId<VmId>("self"),
      incarnation: brandId<IncarnationId>("i"),
      failureDomain: domain,
    },
    entryVms: () => [makeVm("watcher", "entry")],
    silenceMs: () => silenceMs,
    peers: { at: () => watcher, setTls() {} },
    directory: new EngineDirectory(clock),
    slots,
    clock,
    scheduler,
    metrics,
  });
  const request = {
    engine: brandId<BackendServerId>("e1"),
    requestId: brandId<RequestId>("r-1"),
    team: brandId<TeamId>("st-mary"),
    costTokens: 10,
    prefillTokens: 10,
    deadlineElapsedMs: 10_000,
    maxQueueMs: Infinity,
  };
  const engine = makeVm("e1", "engine");
  const acquiring = client.acquire(engine, request);
  timers.shift()?.();
  silenceMs = 3000;
  timers.shift()?.();
  t.deepEqual(await acquiring, { kind: "moved" });
  const retried = await client.acquire(engine, request);
  t.is(
    retried.kind,
    "granted",
    "the local queue replaces that of a silent watcher",
  );
  t.is(calls, 1);
});
