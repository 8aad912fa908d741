import test from "ava";
import { TestDeployment } from "../testing_deployment.ts";
import {
  connectCaller,
  rawCompletion,
  readStatus,
  runningRequests,
  waitUntil,
} from "./testing_callers.ts";

// Guards against a false "not_run": the engine is already working on the
// request.
test("withdrawing a key before the first token ends its request as unknown", async (t) => {
  const deployment = await TestDeployment.start({
    engines: [{ prefillUsPerToken: 1000 }],
  });
  const { key, keyId } = await deployment.createTeam();
  const connection = await connectCaller(deployment);
  const prompt = "x".repeat(160_000);
  connection.send(rawCompletion(key, { prompt, stream: true }));
  await waitUntil(async () => await runningRequests(deployment) === 1);
  await deployment.proposeChange({ kind: "key_withdrawn", keyId });
  const { status, json } = await connection.answer();
  t.is(status, 401);
  t.like(json.error, { code: "key_withdrawn", ran: "unknown" });
  await waitUntil(async () => await runningRequests(deployment) === 0);
  await deployment.close();
});

// Guards against a request that keeps waiting after its key was withdrawn: the
// next tokens accrue only after 100 s, far beyond the time within which a
// withdrawal must take effect.
test("withdrawing a key while its request waits for tokens ends it at once", async (t) => {
  const deployment = await TestDeployment.start({ daemons: 0 });
  await deployment.addDaemon({ queueWaitMs: 200_000 });
  const { key, keyId } = await deployment.createTeam("st-mary", {
    tokenRatePerSecond: 1,
    burstTokens: 100,
  });
  const fields = { prompt: "", max_tokens: 100 };
  const first = await connectCaller(deployment);
  first.send(rawCompletion(key, fields));
  t.is((await first.answer()).status, 200);
  const waiting = await connectCaller(deployment);
  waiting.send(rawCompletion(key, fields));
  await waitUntil(async () =>
    (await readStatus(deployment)).activeRequests === 1
  );
  await deployment.proposeChange({ kind: "key_withdrawn", keyId });
  const { status, json } = await waiting.answer();
  t.is(status, 401);
  t.like(json.error, { code: "key_withdrawn", ran: "not_run" });
  await deployment.close();
});
