import test from "ava";
import OpenAI from "openai";
import { expectedCompletion } from "@endivebend/stand-ins";
import { connectCaller, rawCompletion } from "../callers/testing_callers.ts";
import {
  createTimedKey,
  TEST_TEMPLATE,
  TestDeployment,
} from "../testing_deployment.ts";

const PROMPT = "Ring six bells. ".repeat(1200);
const slowEngine = { decodeMsPerToken: 10 };

function completion(maxTokens: number, stream: boolean) {
  return {
    model: "chime-llm",
    prompt: PROMPT,
    max_tokens: maxTokens,
    stream,
  };
}

function streamedText(answer: string): string {
  return answer.split("\n")
    .filter((line) => line.startsWith("data: {"))
    .map((line) => JSON.parse(line.slice("data: ".length)))
    .map((chunk) => chunk.choices?.[0]?.text ?? "")
    .join("");
}

function expectedText(maxTokens: number): string {
  return expectedCompletion(PROMPT, "chime-llm", "v1", maxTokens);
}

test("the OpenAI client gets the complete answer, streamed and not", async (t) => {
  const deployment = await TestDeployment.start();
  const { key } = await deployment.createTeam();
  const baseURL = `http://${deployment.daemons[0]!.addresses.callers}/v1`;
  const client = new OpenAI({ apiKey: key, baseURL, maxRetries: 0 });
  const models = await client.models.list();
  t.deepEqual(models.data.map((model) => model.id), ["chime-llm"]);
  const plain = await client.chat.completions.create({
    model: "chime-llm",
    max_tokens: 5,
    messages: [{ role: "user", content: "Which bells ring?" }],
  });
  const streamed = await client.chat.completions.create({
    model: "chime-llm",
    max_tokens: 5,
    stream: true,
    messages: [{ role: "user", content: "Which bells ring?" }],
  });
  let text = "";
  for await (const chunk of streamed) {
    text += chunk.choices[0]?.delta.content ?? "";
  }
  const expectedAnswer = expectedCompletion(
    "user: Which bells ring?\nassistant:",
    "chime-llm",
    "v1",
    5,
  );
  t.is(text, expectedAnswer);
  t.is(plain.choices[0]?.message.content, expectedAnswer);
  t.is(plain.usage?.completion_tokens, 5);
  await deployment.close();
});

test("a stream whose engine crashes resumes at another engine without a gap", async (t) => {
  const deployment = await TestDeployment.start({
    engines: [slowEngine, slowEngine],
  });
  const { key } = await deployment.createTeam();
  const call = deployment.call({
    path: "/v1/completions",
    key,
    body: completion(40, true),
  });
  const engine = await deployment.waitForRunningEngine();
  await engine.control({ crash: { downMs: 60_000 } });
  const answer = await call;
  t.is(streamedText(answer.text), expectedText(40));
  t.true(answer.text.endsWith("data: [DONE]\n\n"));
  await deployment.close();
});

test("a stream that has run for longer than the queue wait limit still resumes", async (t) => {
  const deployment = await TestDeployment.start({
    engines: [slowEngine, slowEngine],
    limits: { queueWaitMs: 100 },
  });
  const { key } = await deployment.createTeam();
  // The daemon learns which VM holds the team's limits only after its start.
  await deployment.waitUntilServing(key);
  const call = deployment.call({
    path: "/v1/completions",
    key,
    body: completion(60, true),
  });
  const engine = await deployment.waitForRunningEngine();
  await deployment.delay(200);
  await engine.control({ crash: { downMs: 60_000 } });
  t.is(streamedText((await call).text), expectedText(60));
  await deployment.close();
});

// Guards against a prompt that waits for its first token, for up to minutes, at
// an engine that a network partition cuts off.
test("a prompt at an unreachable engine is retried at another engine", async (t) => {
  const deployment = await TestDeployment.start({
    engines: [{ prefillUsPerToken: 1_000_000 }, {}],
    limits: { streamProgressMs: 60_000 },
  });
  const { key } = await deployment.createTeam();
  await deployment.publishVms({ "engine-2": "leaving" });
  await deployment.waitUntilServing(key);
  const call = deployment.call({
    path: "/v1/completions",
    key,
    body: completion(2, false),
  });
  const engine = await deployment.waitForRunningEngine();
  await deployment.publishVms();
  await engine.control({ refuse: true, silence: true });
  t.is(JSON.parse((await call).text).choices[0].text, expectedText(2));
  await deployment.close();
});

test("a request waits until an engine that refused work accepts it again", async (t) => {
  const deployment = await TestDeployment.start({ engines: [{}] });
  const { key } = await deployment.createTeam();
  await deployment.engines[0]!.control({ refuse: true });
  const call = deployment.call({
    path: "/v1/completions",
    key,
    body: completion(2, false),
  });
  await deployment.delay(400);
  await deployment.engines[0]!.control({ refuse: false });
  t.is((await call).status, 200);
  await deployment.close();
});

test("a caller gets no misdirected, duplicate or missing chunks", async (t) => {
  const deployment = await TestDeployment.start({ engines: [slowEngine] });
  const { key } = await deployment.createTeam();
  const calls = [1, 2].map(() =>
    deployment.call({
      path: "/v1/completions",
      key,
      body: completion(30, true),
    })
  );
  const engine = await deployment.waitForRunningEngine();
  await engine.control({ crossAnswers: 2, duplicateChunk: 3, dropChunk: 1 });
  for (const answer of await Promise.all(calls)) {
    t.is(streamedText(answer.text), expectedText(30));
  }
  await deployment.close();
});

test("withdrawing a key ends its running stream with an error, not with [DONE]", async (t) => {
  const deployment = await TestDeployment.start({ engines: [slowEngine] });
  const { key, keyId } = await deployment.createTeam();
  const connection = await connectCaller(deployment);
  connection.send(rawCompletion(key, completion(2000, true)));
  await connection.waitFor("data: {");
  await deployment.proposeChange({ kind: "key_withdrawn", keyId });
  await connection.waitFor("event: error");
  const answer = await connection.waitFor("\n\n\r\n0\r\n");
  t.regex(answer, /event: error\ndata: .*"code":"key_withdrawn"/);
  t.false(answer.includes("[DONE]"));
  connection.destroy();
  const nextAnswer = await deployment.call({
    path: "/v1/completions",
    key,
    body: completion(1, false),
  });
  t.is(nextAnswer.status, 401);
  t.is(JSON.parse(nextAnswer.text).error.ran, "not_run");
  await deployment.close();
});

test("a drain lets a running stream finish", async (t) => {
  const deployment = await TestDeployment.start({ engines: [slowEngine] });
  const { key } = await deployment.createTeam();
  const call = deployment.call({
    path: "/v1/completions",
    key,
    body: completion(40, true),
  });
  await deployment.waitForRunningEngine();
  const drained = deployment.daemons[0]!.drain();
  t.is(streamedText((await call).text), expectedText(40));
  await drained;
  await deployment.close();
});

test("no backend server receives a caller's key", async (t) => {
  const deployment = await TestDeployment.start();
  const { key } = await deployment.createTeam();
  const headers = { "idempotency-key": createTimedKey(), cookie: `key=${key}` };
  await deployment.call({
    path: "/v1/completions",
    key,
    headers,
    body: completion(1, false),
  });
  const bookingAnswer = await deployment.call({
    path: "/bookings",
    key,
    headers,
    body: { tower: "St Mary" },
  });
  t.is(bookingAnswer.status, 201);
  const received = JSON.stringify([
    await deployment.fetchRecord(deployment.engines[0]!),
    deployment.service.seen(),
    deployment.service.ranCalls(),
  ]);
  t.true(received.includes("St Mary"));
  t.false(received.includes(key));
  await deployment.close();
});

test("malformed, foreign and oversized requests are refused before they run", async (t) => {
  const deployment = await TestDeployment.start();
  const { key } = await deployment.createTeam();
  const refusals: readonly [object, number, string][] = [
    [{ key, body: "{" }, 400, "malformed_request"],
    [{ key, body: { model: "chime-llm" } }, 400, "malformed_request"],
    [
      { key, body: { ...completion(1, false), model: "x" } },
      404,
      "unknown_model",
    ],
    [{ body: completion(1, false) }, 401, "missing_key"],
    [{ key: "ebk_x", body: completion(1, false) }, 401, "unknown_key"],
    [{ key, body: completion(1_000_000, false) }, 400, "cost_exceeds_burst"],
    [{ key, body: "x".repeat(9_000_000) }, 413, "body_too_large"],
  ];
  for (const [input, status, code] of refusals) {
    const answer = await deployment.call({
      path: "/v1/completions",
      ...input,
    });
    t.is(answer.status, status, code);
    const { error } = JSON.parse(answer.text);
    t.is(error.code, code);
    t.is(error.ran, "not_run");
    t.truthy(error.remedy);
  }
  const open = await deployment.call({ path: "/open/info", method: "GET" });
  t.is(open.status, 200);
  await deployment.close();
});

test("requests succeed while a draining engine refuses new work", async (t) => {
  const deployment = await TestDeployment.start({ engines: [{}, {}] });
  const { key } = await deployment.createTeam();
  await deployment.engines[0]!.control({ drainingRefusal: true });
  for (let count = 0; count < 6; count++) {
    const answer = await deployment.call({
      path: "/v1/completions",
      key,
      body: completion(2, false),
    });
    t.is(answer.status, 200);
  }
  await deployment.close();
});

test("a request at a VM that does not hold the limits is charged and can be explained from another VM", async (t) => {
  const deployment = await TestDeployment.start({ daemons: 2 });
  const { key } = await deployment.createTeam();
  const body = completion(1, false);
  const path = "/v1/completions";
  const answers = await Promise.all([
    deployment.call({ path, key, body }, 0),
    deployment.call({ path, key, body }, 1),
  ]);
  t.deepEqual(answers.map(({ status }) => status), [200, 200]);
  const requestId = answers[1]!.headers.get("x-request-id");
  const explanation = await deployment.callOperatorApi(
    `/operator/v1/explain/${requestId}`,
  );
  t.regex(explanation.text, /"vmId":"vm-2".*"step":"route"/);
  await deployment.close();
});

/** Sends one request and returns how many prompt tokens were cached. */
async function cachedTokens(
  deployment: TestDeployment,
  key: string,
): Promise<number> {
  const answer = await deployment.call({
    path: "/v1/completions",
    key,
    body: completion(1, false),
  });
  const { usage } = JSON.parse(answer.text);
  return usage?.prompt_tokens_details.cached_tokens ?? 0;
}

test("a prefix that only the cache store holds is imported, not recomputed", async (t) => {
  const deployment = await TestDeployment.start({
    engines: [{}],
    withStore: true,
  });
  const { key } = await deployment.createTeam();
  t.is(await cachedTokens(deployment, key), 0);
  await deployment.waitForStoredBlocks(2);
  const [engine] = deployment.engines;
  const earlierIncarnation = engine!.incarnation();
  await engine!.control({ crash: { downMs: 0 } });
  await deployment.waitForIncarnation(
    "engine-1",
    (incarnation) => incarnation !== earlierIncarnation,
  );
  t.true(await cachedTokens(deployment, key) >= 4000);
  await deployment.close();
});

test("cached blocks of an older weights version are not used", async (t) => {
  const deployment = await TestDeployment.start({ engines: [{}] });
  const { key } = await deployment.createTeam();
  await deployment.waitForIncarnation("engine-1", () => true);
  await cachedTokens(deployment, key);
  t.true(await cachedTokens(deployment, key) >= 4000);
  await deployment.loadWeights(deployment.engines[0]!, "v2");
  const answer = await deployment.call({
    path: "/v1/completions",
    key,
    body: completion(3, false),
  });
  const { choices, usage } = JSON.parse(answer.text);
  t.is(
    choices[0].text,
    expectedCompletion(PROMPT, "chime-llm", "v2", 3),
  );
  t.is(usage.prompt_tokens_details.cached_tokens, 0);
  await deployment.close();
});

// Guards against a new VM that refuses every request until the platform answers
// again.
test("a daemon that starts while the platform is down serves requests with the state of its peers", async (t) => {
  const deployment = await TestDeployment.start({ daemons: 2 });
  const { key } = await deployment.createTeam();
  await deployment.waitUntilServing(key);
  await deployment.platform.control({ down: "refuse" });
  await deployment.addDaemon();
  await deployment.waitUntilReady(2);
  const answer = await deployment.call({
    path: "/v1/completions",
    key,
    body: completion(2, false),
  }, 2);
  t.is(answer.status, 200, answer.text);
  await deployment.platform.control({ down: false });
  await deployment.close();
});

// Guards against retrying a non-repeatable call because its route needs no key.
test("a non-repeatable call of an open route is sent once", async (t) => {
  const deployment = await TestDeployment.start();
  await deployment.proposeChange({
    kind: "template_published",
    template: "open-bookings",
    body: {
      ...TEST_TEMPLATE,
      routes: [{
        path: "/bookings",
        methods: ["POST"],
        service: "belfry-app",
        repeatable: false,
        open: true,
      }],
    },
  });
  await deployment.service.control({ dieAfterRun: 1 });
  const answer = await deployment.call({
    path: "/bookings",
    body: { tower: "St Mary" },
  });
  t.is(answer.status, 502);
  t.is(JSON.parse(answer.text).error.ran, "unknown");
  t.is(deployment.service.ranCalls().length, 1);
  await deployment.close();
});
