import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { createPeerClients, createPeerServer } from "@endivebend/peers";
import { type BackendServerId, brandId } from "@endivebend/types";
import { createClock, createScheduler } from "@endivebend/clock";
import { EngineDirectory } from "./engine_directory.ts";
import { createSlotHandlers } from "./slot_client.ts";
import { SlotsTask } from "./slots_task.ts";

const SHARED_KEY = "0123456789abcdef0123456789abcdef";
const engine = brandId<BackendServerId>("engine-1");

/** Starts a watcher on a real socket, with a client of another daemon. */
async function startWatcher(t: ExecutionContext) {
  const clock = createClock();
  const slots = new SlotsTask({
    takesNewWork: () => true,
    clock,
    scheduler: createScheduler(),
    metrics: { increment() {}, gauge() {}, timing() {} },
  });
  const directory = new EngineDirectory(clock);
  const handlers = createSlotHandlers({ slots, directory, clock });
  const server = createPeerServer(handlers, {
    sharedKey: SHARED_KEY,
    maxMessageBytes: 1 << 20,
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const clients = createPeerClients({
    vmId: "vm-1",
    sharedKey: SHARED_KEY,
    timeoutMs: 60_000,
  });
  const client = clients.at(`127.0.0.1:${port}`);
  const acquire = (requestId: string, signal?: AbortSignal) =>
    client.acquireSlot({
      backendServerId: engine,
      team: "st-mary",
      // So large that one request fills the engine.
      costTokens: 1_000_000n,
      prefillTokens: 1_000_000n,
      waitMs: 60_000,
      requestId,
    }, signal === undefined ? {} : { signal });
  const queueLength = () => slots.waitingCounts()[engine] ?? 0;
  const waitForQueueLength = async (count: number) => {
    while (queueLength() !== count) await new Promise((r) => setImmediate(r));
  };
  const release = (permit: string) =>
    client.releaseSlot({ permit, backendServerId: engine });
  return { acquire, waitForQueueLength, release };
}

// Guards against an engine's queue that never holds requests back: the slot of
// another daemon's request was released as soon as the watcher had answered.
test("a slot of another daemon is held until it is released", async (t) => {
  const { acquire, waitForQueueLength, release } = await startWatcher(t);
  t.is((await acquire("a")).permit, "a");
  const second = acquire("b");
  await waitForQueueLength(1);
  await release("a");
  t.is((await second).permit, "b");
});

// Guards against a queue that fills with requests whose callers have left.
test("a wait ends when the other daemon aborts it", async (t) => {
  const { acquire, waitForQueueLength } = await startWatcher(t);
  await acquire("a");
  const abortController = new AbortController();
  const rejection = t.throwsAsync(acquire("b", abortController.signal));
  await waitForQueueLength(1);
  abortController.abort();
  await waitForQueueLength(0);
  await rejection;
});
