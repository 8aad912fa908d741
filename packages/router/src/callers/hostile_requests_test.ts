import test from "ava";
import { rawRequest } from "../http/testing_socket.ts";
import { createTimedKey, TestDeployment } from "../testing_deployment.ts";
import { connectCaller, rawCompletion } from "./testing_callers.ts";

// Guards against bodies that are far more expensive to parse than their size
// suggests, that reach an engine without validation, or that are decoded to the
// same text as another body.
test("hostile bodies are refused with the invalid field", async (t) => {
  const deployment = await TestDeployment.start();
  const { key } = await deployment.createTeam();
  const model = "chime-llm";
  const prompt = "Ring";
  const deep = "[".repeat(100_000) + "]".repeat(100_000);
  const refused: readonly [string, string | Buffer][] = [
    ["body", `{"model":"${model}","prompt":"Ring","stop":${deep}}`],
    ["body", Buffer.from(`{"model":"${model}","prompt":"\xff"}`, "latin1")],
    ["prompt", `{"model":"${model}","prompt":"\\ud800"}`],
    ["body", "[]"],
    ["body", '"x"'],
    ...([
      ["max_tokens", { max_tokens: -1 }],
      ["max_tokens", { max_tokens: 1e300 }],
      ["max_tokens", { max_tokens: 0.5 }],
      ["max_tokens", { max_tokens: "7" }],
      ["temperature", { temperature: {} }],
      ["temperature", { temperature: -1 }],
      ["top_p", { top_p: 2 }],
      ["seed", { seed: 2 ** 60 }],
      ["stop", { stop: [[]] }],
      ["user", { user: "x".repeat(1000) }],
      ["model", { model: "x".repeat(1000) }],
      ["model", { model: ["chime-llm"] }],
      ["stream", { stream: "yes" }],
      ["prompt", { prompt: { length: 1 } }],
    ] as const).map(([field, fields]) =>
      [field, JSON.stringify({ model, prompt, ...fields })] as [string, string]
    ),
  ];
  for (const [field, body] of refused) {
    const connection = await connectCaller(deployment);
    connection.send(
      rawRequest("POST /v1/completions", {
        headers: [
          `authorization: Bearer ${key}`,
          `content-length: ${Buffer.byteLength(body)}`,
        ],
      }),
    );
    connection.send(body as string);
    const answer = await connection.answer();
    const label = `${field}: ${String(body).slice(0, 60)}`;
    t.is(answer.status, 400, label);
    const { error } = answer.json;
    t.like(error, { code: "malformed_request", field, ran: "not_run" }, label);
    t.true(answer.body.length < 2000, "a refusal does not echo its request");
  }
  const record = JSON.parse(
    await deployment.fetchRecord(deployment.engines[0]!),
  );
  t.is(record.completions, 0);
  await deployment.close();
});

// Guards against paths that the backend server normalizes differently from the
// router, which would expose a closed route to everyone.
test("paths that a backend server may normalize differently are not forwarded", async (t) => {
  const deployment = await TestDeployment.start();
  const { key } = await deployment.createTeam();
  const paths = [
    "/open/info/../../bookings",
    "/open/info/..;/..;/bookings",
    "/open/info/.;/../bookings",
    "/open/info/%2e%2e/%2E%2E/bookings",
    "/open/info/..%2f..%2fbookings",
    "/open/info/..%5cbookings",
    "/open/info//bookings",
    "//open/info",
    "/open/info%00",
    "/open/information",
    "http://127.0.0.1/open/info",
    "/%6fpen/info",
  ];
  for (const path of paths) {
    for (const headers of [[], [`authorization: Bearer ${key}`]]) {
      const connection = await connectCaller(deployment);
      connection.send(rawRequest(`GET ${path}`, { headers }));
      const { status, json } = await connection.answer();
      t.is(status, headers.length === 0 ? 401 : 404, path);
      t.is(json.error.ran, "not_run");
      connection.destroy();
    }
  }
  for (const method of ["PURGE", "OPTIONS", "TRACE", "DELETE"]) {
    const connection = await connectCaller(deployment);
    const headers = [`authorization: Bearer ${key}`];
    connection.send(rawRequest(`${method} /bookings`, { headers }));
    const { status, json } = await connection.answer();
    t.is(status, 405, method);
    t.like(json.error, { code: "method_not_allowed", ran: "not_run" });
    t.regex(json.error.remedy, /GET/);
    connection.destroy();
  }
  t.deepEqual(deployment.service.seen().requests, []);
  await deployment.close();
});

// Guards against callers that impersonate a team, keys that are forwarded to
// backend servers, and request ids chosen by callers.
test("a caller cannot set the router's own headers or have its key forwarded", async (t) => {
  const deployment = await TestDeployment.start();
  const { key } = await deployment.createTeam();
  const forged = [
    "x-endivebend-team: other",
    "x-endivebend-request-id: chosen",
    "x-request-id: chosen",
  ];
  const open = await connectCaller(deployment);
  open.send(rawRequest("GET /open/info", { headers: forged }));
  t.not((await open.answer()).headers["x-request-id"], "chosen");
  const booking = await connectCaller(deployment);
  booking.send(rawRequest("POST /bookings", {
    headers: [
      ...forged,
      `authorization: Bearer ${key}`,
      `idempotency-key: ${createTimedKey()}`,
      `x-forwarded-authorization: Bearer ${key}`,
      `x-note: ${key}`,
    ],
    body: "{}",
  }));
  t.is((await booking.answer()).status, 201);
  const query = await connectCaller(deployment);
  const headers = [`authorization: Bearer ${key}`];
  query.send(rawRequest(`GET /bookings?key=${key}`, { headers }));
  const refused = await query.answer();
  t.is(refused.status, 400);
  t.false(refused.body.includes(key));
  const [openCall, bookingCall, ...others] = deployment.service.seen().requests;
  t.is(others.length, 0);
  t.is(openCall?.headers["x-endivebend-team"], undefined);
  t.is(bookingCall?.headers["x-endivebend-team"], "st-mary");
  const seen = JSON.stringify(deployment.service.seen().requests);
  t.false(seen.includes(key));
  t.false(seen.includes('"x-endivebend-request-id":"chosen"'));
  await deployment.close();
});

// Guards against a team that reads another's answers by guessing its
// idempotency key, request id or name.
test("equal idempotency keys of two teams make two calls", async (t) => {
  const deployment = await TestDeployment.start();
  const { key: firstKey } = await deployment.createTeam("st-mary");
  await deployment.proposeChange({
    kind: "team_created",
    team: "st-anne",
    template: "chime",
  });
  const granted = await deployment.proposeChange({
    kind: "key_granted",
    team: "st-anne",
  });
  const secondKey = String(granted.secret);
  const idempotencyKey = createTimedKey();
  const book = (key: string) =>
    deployment.call({
      path: "/bookings",
      key,
      headers: { "idempotency-key": idempotencyKey },
      body: { tower: "north" },
    });
  const [firstAnswer, secondAnswer] = [
    await book(firstKey),
    await book(secondKey),
  ];
  t.is(firstAnswer.status, 201);
  t.is(secondAnswer.status, 201);
  t.not(firstAnswer.text, secondAnswer.text);
  t.is((await book(firstKey)).text, firstAnswer.text);
  t.is((await book(secondKey)).text, secondAnswer.text);
  t.is(deployment.service.ranCalls().length, 2);
  // Explanations and status are for operators only; team keys are refused.
  const requestId = firstAnswer.headers.get("x-request-id");
  const { operators } = deployment.daemons[0]!.addresses;
  for (const path of [`explain/${requestId}`, "status", "keys", "orders"]) {
    for (const key of [firstKey, secondKey, ""]) {
      const answer = await fetch(`http://${operators}/operator/v1/${path}`, {
        headers: { authorization: `Bearer ${key}` },
      });
      t.is(answer.status, 401);
      t.regex(await answer.text(), /"code":"operator_unauthorized"/);
    }
    const asCaller = await deployment.call({
      path: `/operator/v1/${path}`,
      method: "GET",
      key: firstKey,
    });
    t.is(asCaller.status, 404);
  }
  await deployment.close();
});

// Guards against header injection through line breaks in values from callers.
test("line breaks in ids and keys never reach a header", async (t) => {
  const deployment = await TestDeployment.start();
  const { key } = await deployment.createTeam();
  for (const name of ["x-request-id", "idempotency-key", "traceparent"]) {
    for (const text of ["a\rx-evil: 1", "a\n x-evil: 1", "a\0b"]) {
      const connection = await connectCaller(deployment);
      const whole = rawCompletion(key, {});
      connection.send(
        whole.replace("host: h\r\n", `host: h\r\n${name}: ${text}\r\n`),
      );
      const answer = await connection.answer();
      t.is(answer.status, 400, JSON.stringify(text));
      t.is(answer.headers["x-evil"], undefined);
    }
  }
  const encoded = await connectCaller(deployment);
  encoded.send(rawRequest("GET /bookings/%0d%0ax-evil:%201", {
    headers: [`authorization: Bearer ${key}`],
  }));
  t.is((await encoded.answer()).headers["x-evil"], undefined);
  await deployment.close();
});
