import test from "ava";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PassThrough } from "node:stream";
import { SETTINGS_EXAMPLE } from "@endivebend/settings";
import { EXIT_CODES, runCli } from "./mod.ts";

interface Sent {
  readonly path: string;
  readonly key: string | undefined;
  readonly body: Readonly<Record<string, unknown>>;
}

type Answer = (response: ServerResponse, sent: Sent) => void;

function reply(status: number, body: unknown): Answer {
  return (response) => {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
  };
}

async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}

/** A daemon's operators' interface that gives one answer. */
async function startDaemon(answer: Answer) {
  const calls: Sent[] = [];
  const server = createServer(async (request, response) => {
    const text = await readText(request);
    const sent = {
      path: request.url ?? "",
      key: request.headers.authorization,
      body: text === "" ? {} : JSON.parse(text),
    };
    calls.push(sent);
    answer(response, sent);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const env = {
    ENDIVEBEND_OPERATOR_ADDRESS: `127.0.0.1:${port}`,
    ENDIVEBEND_OPERATOR_KEY: "operator-key",
  };
  return { calls, env, close: () => server.close() };
}

async function run(
  input: readonly string[],
  env: Readonly<Record<string, string>> = {},
) {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const exitCode = await runCli(input, { stdout, stderr, env });
  const read = (stream: PassThrough) => String(stream.read() ?? "");
  return { exitCode, stdout: read(stdout), stderr: read(stderr) };
}

async function writeTemporary(text: string) {
  const directory = await mkdtemp(join(tmpdir(), "endivebend-cli-"));
  const file = join(directory, "file.jsonc");
  await writeFile(file, text);
  const remove = () => rm(directory, { recursive: true });
  return { file, remove };
}

// Guards against a command that a reader of the help cannot find or use.
test("every command and group has help with an example", async (t) => {
  const overview = await run(["--help"]);
  t.is(overview.exitCode, EXIT_CODES.ok);
  const paths = [...overview.stdout.matchAll(/^ {2}endivebend (.+?) {2}/gm)]
    .map(([, path]) => path!.split(" "));
  t.is(paths.length, 25);
  const groups = new Set(
    paths.filter(({ length }) => length > 1)
      .map(([group]) => group!),
  );
  for (const path of [...paths, ...[...groups].map((group) => [group])]) {
    const { exitCode, stdout } = await run([...path, "--help"]);
    t.is(exitCode, EXIT_CODES.ok, path.join(" "));
    t.regex(stdout, /Examples/, path.join(" "));
  }
});

// Guards against wrong usage that a script takes for a refusal.
test("wrong usage ends with code 2 and names the remedy", async (t) => {
  const inputs = [
    [],
    ["nothing"],
    ["template"],
    ["serve"],
    ["template", "amend", "a", "b", "--revision", "x"],
    ["team", "list"],
    ["team", "list", "--operator-address", "localhost:1"],
    ["settings", "check", "/nonexistent/file"],
  ];
  for (const input of inputs) {
    const { exitCode, stderr } = await run(input);
    t.is(exitCode, EXIT_CODES.wrongUsage, input.join(" "));
    t.regex(stderr, /Remedy: /, input.join(" "));
  }
});

// Guards against a check that shows one fault at a time, or without its place.
test("settings check reports every fault with its line", async (t) => {
  const text = SETTINGS_EXAMPLE.replace('"entry-1"', "7")
    .replace('"region"', '"regoin"');
  const { file, remove } = await writeTemporary(text);
  t.teardown(remove);
  const { exitCode, stderr } = await run(["settings", "check", file]);
  t.is(exitCode, EXIT_CODES.wrongUsage);
  t.regex(stderr, /3:3 vmId: /);
  t.regex(stderr, /8:5 fleet\.regoin: /);
});

// Guards against a malformed template that is sent to the daemon.
test("a template file is checked with line and field before it is sent", async (t) => {
  const { file, remove } = await writeTemporary(`{
    // A comment.
    "parameters": {
      "tokenRatePerSecond": { "default": 100 },
      "burstTokens": { "default": 500 },
    },
    "services": ["bookings"],
    "routes": [
      { "path": "/bookings/", "methods": ["GET"], "service": "bokings", "repeatable": true },
    ],
  }`);
  t.teardown(remove);
  const daemon = await startDaemon(reply(200, {}));
  t.teardown(daemon.close);
  const input = ["template", "publish", "parish", file, "--json"];
  const { exitCode, stderr } = await run(input, daemon.env);
  t.is(exitCode, EXIT_CODES.wrongUsage);
  const { error } = JSON.parse(stderr);
  t.deepEqual(
    error.faults.map(({ line, field }: { line: number; field: string }) =>
      `${line} ${field}`
    ),
    ["9 routes[0].path", "9 routes[0].service"],
  );
  t.is(daemon.calls.length, 0);
});

// Guards against a granted key that is not shown, or a key sent in the clear
// where the caller did not ask for it.
test("an accepted change prints its result and sends a record id", async (t) => {
  const daemon = await startDaemon((response, { body: { recordId } }) =>
    reply(200, {
      verdict: "accepted",
      recordId,
      offset: 7,
      keyId: "key-1",
      secret: "ebk_x",
    })(response, {} as Sent)
  );
  t.teardown(daemon.close);
  const { exitCode, stdout } = await run(["key", "grant", "a"], daemon.env);
  t.is(exitCode, EXIT_CODES.ok);
  t.regex(stdout, /key-1 of team a is in force \(offset 7\)/);
  t.regex(stdout, /ebk_x/);
  const [sent] = daemon.calls;
  t.is(sent?.key, "Bearer operator-key");
  t.like(sent?.body, { kind: "key_granted", team: "a" });
  t.is(typeof sent?.body.recordId, "string");
});

// Guards against scripts that go on after a change that is not in force.
test("each kind of failure has its exit code and remedy", async (t) => {
  const remedy = "Do this";
  const refused = { verdict: "refused", field: "team", message: "No", remedy };
  const error = { message: "Not now", remedy, ran: "not_run" };
  const cases: readonly (readonly [Answer, number, RegExp])[] = [
    [reply(409, { ...refused, currentRevision: 3 }), 1, /revision is 3/],
    [reply(401, { error }), 1, /Do this/],
    [reply(503, { error }), 1, /Do this/],
    [reply(500, { error: { ...error, ran: "unknown" } }), 4, /Record id: r-1/],
    [reply(202, { verdict: "unknown", message: "?", remedy }), 4, /r-1/],
    [(response) => void response.destroy(), 4, /--record-id r-1/],
  ];
  for (const [answer, exitCode, pattern] of cases) {
    const daemon = await startDaemon(answer);
    const input = ["team", "remove", "a", "--record-id", "r-1"];
    const result = await run(input, daemon.env);
    daemon.close();
    t.is(result.exitCode, exitCode, result.stderr);
    t.regex(result.stderr, pattern);
    t.regex(result.stderr, /Remedy: /);
  }
  const gone = await startDaemon(reply(200, {}));
  gone.close();
  const result = await run(["team", "remove", "a"], gone.env);
  t.is(result.exitCode, EXIT_CODES.unreachable);
});

// Guards against a list that ends after its first page.
test("lists are read to their last page", async (t) => {
  const team = (name: string) => ({
    team: name,
    template: "parish",
    limits: { rateTokensPerSecond: 1, burstTokens: 2 },
    keyCount: 0,
  });
  const daemon = await startDaemon((response, sent) => {
    const isSecond = sent.path.endsWith("?after=a");
    const page = isSecond
      ? { teams: [team("b")] }
      : { teams: [team("a")], next: "a" };
    reply(200, page)(response, sent);
  });
  t.teardown(daemon.close);
  const { stdout } = await run(["team", "list", "--json"], daemon.env);
  const { teams } = JSON.parse(stdout);
  t.deepEqual(teams.map((entry: { team: string }) => entry.team), ["a", "b"]);
});

// Guards against an order whose end a script cannot tell from its refusal.
test("an order prints its end, and each other end has its exit code", async (t) => {
  const input = ["engine", "order", "engine-1", "--kind", "load_model"];
  const model = ["--model", "chime-llm", "--weights-version", "v2"];
  const remedy = "Read the list";
  const verdict = { engineId: "engine-1", message: "It ended so", remedy };
  const refusal = { message: "No engine", remedy, ran: "not_run" };
  const cases: readonly (readonly [Answer, number, RegExp])[] = [
    [reply(200, { ...verdict, verdict: "accepted", fence: 7 }), 0, /fence 7/],
    [reply(409, { ...verdict, verdict: "refused" }), 1, /It ended so/],
    [reply(202, { ...verdict, verdict: "unknown" }), 4, /It ended so/],
    [reply(422, { error: refusal }), 1, /No engine/],
    [(response) => void response.destroy(), 4, /engine list/],
  ];
  for (const [answer, exitCode, pattern] of cases) {
    const daemon = await startDaemon(answer);
    const result = await run([...input, ...model], daemon.env);
    daemon.close();
    t.is(result.exitCode, exitCode, result.stderr);
    t.regex(result.stdout + result.stderr, pattern);
    t.like(daemon.calls[0], {
      path: "/operator/v1/orders",
      body: { engineId: "engine-1", weightsVersion: "v2", waitMs: 30_000 },
    });
  }
  const daemon = await startDaemon(reply(200, { verdict: "accepted" }));
  t.teardown(daemon.close);
  const { stdout } = await run([...input, ...model, "--json"], daemon.env);
  t.is(JSON.parse(stdout).verdict, "accepted");
  const wrong = await run([...input, ...model, "--wait-ms", "x"], daemon.env);
  t.is(wrong.exitCode, EXIT_CODES.wrongUsage);
  const incomplete = await run(input, daemon.env);
  t.is(incomplete.exitCode, EXIT_CODES.wrongUsage);
  const engine = {
    engineId: "engine-1",
    service: "chime-llm",
    weightsVersion: null,
    openOrder: { kind: "load_model", model: "chime-llm", weightsVersion: "v2" },
  };
  const listing = await startDaemon(reply(200, { engines: [engine] }));
  t.teardown(listing.close);
  const list = await run(["engine", "list"], listing.env);
  t.regex(list.stdout, /engine-1 .* load_model chime-llm v2/);
});

const EXPLANATION = {
  kind: "routed",
  route: "draft",
  team: "st-mary",
  urgency: 1,
  cost: 940,
  overLimitMs: 250,
  isQuarantined: false,
  services: [{
    service: "llm",
    share: 1,
    outcome: { kind: "refused", reason: "overloaded", retryInMs: 400 },
    candidates: [{
      server: "e-1",
      failureDomain: "a",
      costMs: 120,
      running: 3,
      slots: 8,
      prefillTokens: 4_000,
      cachedTokens: 800,
    }],
    candidateCount: 3,
    excluded: [{ server: "e-2", failureDomain: "b", by: "room" }],
    excludedCount: 1,
  }],
};
const ROUTE = ["explain-route", "bells.example", "/draft"];

// Guards against a question that lacks an option, or that carries a key.
test("explain-route asks for the request, without a key, and prints what was weighed", async (t) => {
  const { calls, env, close } = await startDaemon(reply(200, EXPLANATION));
  t.teardown(close);
  const options = [
    ...ROUTE,
    "--status-address",
    env.ENDIVEBEND_OPERATOR_ADDRESS,
  ]
    .concat(["--team", "st-mary", "--model", "peal-1"])
    .concat(["--prompt", "5c:800,91:100", "--output-tokens", "40"]);
  const { exitCode, stdout } = await run(options, env);
  t.is(exitCode, EXIT_CODES.ok);
  t.deepEqual(calls, [{
    path: "/explain-route",
    key: undefined,
    body: {
      host: "bells.example",
      path: "/draft",
      team: "st-mary",
      model: "peal-1",
      prompt: "5c:800,91:100",
      outputTokens: 40,
    },
  }]);
  t.regex(stdout, /refused: overloaded, again in 400 ms/);
  t.regex(stdout, /over its limit for another 250 ms/);
  t.regex(stdout, /e-1 +a +120 +3\/8 +4000 +800/);
  t.regex(stdout, /and 2 more that cost more/);
  t.regex(stdout, /e-2 in b has no room/);
  const json = await run([...options, "--json"], env);
  t.deepEqual(JSON.parse(json.stdout), EXPLANATION);
});

// Guards against the metrics of an earlier build that are taken for an answer.
test("explain-route fails with a remedy where no daemon explains", async (t) => {
  const metrics = await startDaemon((response) => response.end("calls 1\n"));
  t.teardown(metrics.close);
  const limited = await startDaemon(reply(429, { error: "Too many" }));
  t.teardown(limited.close);
  const at = (address: string) => [...ROUTE, "--status-address", address];
  const cases = [
    [at(metrics.env.ENDIVEBEND_OPERATOR_ADDRESS), EXIT_CODES.refused],
    [at(limited.env.ENDIVEBEND_OPERATOR_ADDRESS), EXIT_CODES.refused],
    [at("127.0.0.1:1"), EXIT_CODES.unreachable],
    [at("nowhere"), EXIT_CODES.wrongUsage],
    [[...at("127.0.0.1:1"), "--prompt-tokens", "x"], EXIT_CODES.wrongUsage],
    [ROUTE, EXIT_CODES.wrongUsage],
  ] as const;
  for (const [input, expected] of cases) {
    const { exitCode, stderr } = await run(input);
    t.is(exitCode, expected, input.join(" "));
    t.regex(stderr, /Remedy: /, input.join(" "));
  }
});
