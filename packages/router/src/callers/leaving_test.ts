import test from "ava";
import { rawRequest } from "../http/testing_socket.ts";
import { TestDeployment, timedKey } from "../testing_deployment.ts";
import {
  connectCaller,
  rawCompletion,
  readStatus,
  runningRequests,
  waitUntil,
} from "./testing_callers.ts";

const slowEngine = { decodeMsPerToken: 20 };

// Guards against engines that go on working for callers that have left.
test("a caller that leaves in mid-stream or in mid-wait leaves no load behind", async (t) => {
  const deployment = await TestDeployment.start({ engines: [slowEngine] });
  const { key } = await deployment.createTeam();
  for (const stream of [true, false]) {
    const connection = await connectCaller(deployment);
    connection.send(rawCompletion(key, { stream, max_tokens: 5000 }));
    await waitUntil(async () => await runningRequests(deployment) === 1);
    if (stream) await connection.waitFor("data: ");
    connection.destroy();
    await waitUntil(async () => await runningRequests(deployment) === 0);
  }
  const { activeRequests, counters } = await readStatus(deployment);
  t.is(activeRequests, 0);
  t.is(counters["requests.abandoned"], 2);
  await deployment.close();
});

// Guards against a body that holds memory or counts as running for ever.
test("a caller that leaves in mid-body is forgotten, and others are served", async (t) => {
  const deployment = await TestDeployment.start();
  const { key } = await deployment.createTeam();
  const connection = await connectCaller(deployment);
  const whole = rawCompletion(key, { prompt: "x".repeat(100_000) });
  connection.send(whole.slice(0, 50_000));
  await waitUntil(async () => (await readStatus(deployment)).activeRequests);
  connection.destroy();
  await waitUntil(async () =>
    (await readStatus(deployment)).activeRequests === 0
  );
  const other = await connectCaller(deployment);
  other.send(rawCompletion(key, { max_tokens: 1 }));
  t.is((await other.answer()).status, 200);
  await deployment.close();
});

// Guards against tokens that are spent for callers that nobody answers any
// more, while those that still wait go without.
for (const daemons of [1, 2]) {
  test(`callers that leave while they wait for tokens spend none, ${daemons} VMs`, async (t) => {
    const deployment = await TestDeployment.start({ daemons: 0 });
    for (let count = 0; count < daemons; count++) {
      await deployment.addDaemon({ queueWaitMs: 3000 });
    }
    const { key } = await deployment.createTeam("st-mary", {
      tokenRatePerSecond: 100,
      burstTokens: 400,
    });
    // The last daemon is a holder of the group or asks the one that is.
    const send = async (maxTokens: number) => {
      const connection = await connectCaller(deployment, daemons - 1);
      const fields = { prompt: "", max_tokens: maxTokens };
      connection.send(rawCompletion(key, fields));
      return connection;
    };
    t.is((await (await send(400)).answer()).status, 200);
    const leaving = await Promise.all([90, 90, 90].map(send));
    const active = async () =>
      (await readStatus(deployment, daemons - 1)).activeRequests;
    await waitUntil(async () => await active() === leaving.length);
    for (const connection of leaving) connection.destroy();
    await waitUntil(async () => await active() === 0);
    // With the 270 tokens of the others it would wait longer than it may.
    t.is((await (await send(250)).answer()).status, 200);
    const { counters } = await readStatus(deployment, daemons - 1);
    t.is(counters["requests.abandoned"], leaving.length);
    await deployment.close();
  });
}

// Guards against an engine's queue that is full of requests whose callers have
// left, here or at another VM that watches the engine.
for (const daemon of [0, 1]) {
  test(`a caller that leaves the engine's queue frees its place, VM ${daemon + 1}`, async (t) => {
    const deployment = await TestDeployment.start({
      engines: [{ prefillUsPerToken: 1000 }],
      daemons: 2,
    });
    const { key } = await deployment.createTeam();
    const send = async (index: number) => {
      const connection = await connectCaller(deployment, daemon);
      const prompt = `${index}`.repeat(160_000);
      connection.send(rawCompletion(key, { prompt, max_tokens: 1 }));
      return connection;
    };
    const waiting = async () => {
      const queues = await Promise.all(
        [0, 1].map(async (index) =>
          Object.values((await readStatus(deployment, index)).queues)
        ),
      );
      return queues.flat().reduce<number>(
        (sum, count) => sum + Number(count),
        0,
      );
    };
    const first = await send(1);
    await waitUntil(async () => await runningRequests(deployment) === 1);
    const others = [await send(2), await send(3), await send(4)];
    await waitUntil(async () => await waiting() >= 2);
    for (const connection of others) connection.destroy();
    await waitUntil(async () => await waiting() === 0);
    t.is(await runningRequests(deployment), 1, "the first still runs");
    first.destroy();
    await waitUntil(async () => await runningRequests(deployment) === 0);
    await deployment.close();
  });
}

// Guards against a call that runs although its caller left before it was sent.
test("a booking whose caller left while it waited for tokens does not run", async (t) => {
  const deployment = await TestDeployment.start();
  const { key } = await deployment.createTeam("st-mary", {
    tokenRatePerSecond: 1,
    burstTokens: 1,
  });
  const book = () =>
    rawRequest("POST /bookings", {
      headers: [
        `authorization: Bearer ${key}`,
        `idempotency-key: ${timedKey()}`,
      ],
      body: "{}",
    });
  const first = await connectCaller(deployment);
  first.send(book());
  t.is((await first.answer()).status, 201);
  const leaving = await connectCaller(deployment);
  leaving.send(book());
  await waitUntil(async () => (await readStatus(deployment)).activeRequests);
  leaving.destroy();
  await waitUntil(async () =>
    (await readStatus(deployment)).activeRequests === 0
  );
  const last = await connectCaller(deployment);
  last.send(book());
  t.is((await last.answer()).status, 201);
  t.is(deployment.service.ranCalls().length, 2);
  await deployment.close();
});

// Guards against memory that a caller fills by not reading: the engine must
// feel that the caller is slow. As events this is 20 MB, more than the buffers
// of the system hold.
test("a caller that does not read stops its engine's stream", async (t) => {
  const deployment = await TestDeployment.start();
  const { key } = await deployment.createTeam();
  const fields = { stream: true, max_tokens: 100_000 };
  const slow = await connectCaller(deployment);
  slow.socket.pause();
  slow.send(rawCompletion(key, fields));
  await waitUntil(async () => await runningRequests(deployment) === 1);
  const reader = await connectCaller(deployment);
  reader.socket.removeAllListeners("data");
  let lastText = "";
  const isRead = new Promise<void>((resolve) => {
    reader.socket.on("data", (chunk) => {
      lastText = (lastText + chunk.toString()).slice(-100);
      if (lastText.includes("[DONE]")) resolve();
    });
  });
  reader.send(rawCompletion(key, fields));
  await isRead;
  t.is(await runningRequests(deployment), 1, "the slow one has not ended");
  slow.destroy();
  await waitUntil(async () => await runningRequests(deployment) === 0);
  await deployment.close();
});

// Guards against a planned stop that cuts what has not reached an engine yet,
// or what its caller has not read yet.
test("a planned stop waits for a request that waits for tokens", async (t) => {
  const deployment = await TestDeployment.start();
  const { key } = await deployment.createTeam("st-mary", {
    tokenRatePerSecond: 100,
    burstTokens: 100,
  });
  const send = async () => {
    const connection = await connectCaller(deployment);
    connection.send(rawCompletion(key, { prompt: "", max_tokens: 100 }));
    return connection;
  };
  t.is((await (await send()).answer()).status, 200);
  const waiting = await send();
  await waitUntil(async () =>
    (await readStatus(deployment)).activeRequests === 1
  );
  const stopped = deployment.daemons[0]!.drain();
  t.is((await waiting.answer()).status, 200);
  await stopped;
  await deployment.close();
});
