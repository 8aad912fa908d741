import { once } from "node:events";
import { Agent, request } from "node:http";
import { connect } from "node:net";
import test from "ava";
import type { RouteExplanation, RouteQuery } from "@endivebend/request-path";
import { TextMetrics } from "@endivebend/telemetry";
import { parseExplainQuery } from "./explain_query.ts";
import { serveStatus } from "./status_server.ts";
import { settingsFor } from "./testing.ts";
import { startStore } from "./testing_store.ts";

const QUERY = { host: "bells.example", path: "/draft" };

async function setUp(
  explain: (query: RouteQuery) => RouteExplanation = () => ({
    kind: "denied",
    reason: "unknown_route",
  }),
) {
  const store = await startStore();
  const settings = await settingsFor(store);
  const queries: RouteQuery[] = [];
  const failures: string[] = [];
  let nowMs = 0;
  const metrics = new TextMetrics();
  metrics.count("calls", { outcome: "answered" });
  const server = serveStatus(settings, {
    metrics,
    isReady: () => true,
    explain: (query) => {
      queries.push(query);
      return explain(query);
    },
    nowMs: () => nowMs,
    failed: (reason) => void failures.push(reason),
  });
  const agent = new Agent({ keepAlive: true });
  const ask = async (
    body: string,
    method = "POST",
    path = "/explain-route",
  ) => {
    const outgoing = request({ ...settings.metrics, agent, method, path });
    outgoing.end(body);
    const [answer] = await once(outgoing, "response");
    let text = "";
    answer.setEncoding("utf8").on("data", (part: string) => text += part);
    await once(answer, "end");
    return { status: answer.statusCode as number, text };
  };
  const close = () => {
    agent.destroy();
    server.close();
    store.close();
  };
  return {
    ask,
    queries,
    failures,
    settings,
    close,
    passMs: (ms: number) => {
      nowMs += ms;
    },
  };
}

// Guards against a question that takes the place of the metrics.
test("a question is answered beside the metrics", async (t) => {
  const { ask, queries, close } = await setUp();
  t.teardown(close);
  const { status, text } = await ask(JSON.stringify(QUERY));
  t.is(status, 200);
  t.deepEqual(JSON.parse(text), { kind: "denied", reason: "unknown_route" });
  t.like(queries[0], QUERY);
  t.regex((await ask("", "GET", "/metrics")).text, /calls/);
  t.regex((await ask("", "GET")).text, /calls/);
  t.is(queries.length, 1);
});

// Guards against a stranger at the port that keeps the daemon busy or ends it.
test("strangers at the port can't ask without bounds, nor end the daemon", async (t) => {
  const { ask, queries, failures, passMs, close } = await setUp(() => {
    throw new Error("broken");
  });
  t.teardown(close);
  t.is((await ask("x".repeat(20_000))).status, 413);
  t.is((await ask("{")).status, 400);
  t.is((await ask("[]")).status, 400);
  t.is(queries.length, 0);
  t.is((await ask(JSON.stringify(QUERY))).status, 500);
  t.deepEqual(failures, ["Error: broken"]);
  for (let count = 4; count < 10; count++) await ask(JSON.stringify(QUERY));
  const asked = queries.length;
  t.is((await ask(JSON.stringify(QUERY))).status, 429);
  t.is(queries.length, asked);
  passMs(1_000);
  t.is((await ask(JSON.stringify(QUERY))).status, 500);
});

// Guards against a body in tiny pieces, each of which costs more than its bytes.
test("a question in too many pieces is refused", async (t) => {
  const { settings, queries, close } = await setUp();
  t.teardown(close);
  const { port, host } = settings.metrics;
  const socket = connect(port, host);
  socket.on("error", () => {});
  const pieces = "1\r\na\r\n".repeat(2_000);
  socket.write(
    `POST /explain-route HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n${pieces}`,
  );
  const [head] = await once(socket, "data");
  t.regex(String(head), /^HTTP\/1.1 413 /);
  socket.destroy();
  t.is(queries.length, 0);
});

test("the fields of a question are checked one by one", (t) => {
  const wrong = {
    host: { ...QUERY, host: "" },
    path: { host: "bells.example" },
    team: { ...QUERY, team: 7 },
    model: { ...QUERY, model: "m".repeat(3_000) },
    prompt: { ...QUERY, prompt: ["a"] },
    promptTokens: { ...QUERY, promptTokens: -1 },
    outputTokens: { ...QUERY, outputTokens: "4" },
    timeLeftMs: { ...QUERY, timeLeftMs: 1e12 },
  };
  for (const [field, query] of Object.entries(wrong)) {
    t.deepEqual(parseExplainQuery(JSON.stringify(query)), {
      kind: "invalid",
      field,
    });
  }
});

test("a question of a prompt tells its segments and their sum", (t) => {
  const parsed = parseExplainQuery(JSON.stringify({
    ...QUERY,
    model: "peal-1",
    prompt: "5c:800,91:100",
    outputTokens: 40,
  }));
  if (parsed.kind !== "query") return t.fail();
  t.like(parsed.query.work, { promptTokens: 900, maxOutputTokens: 40 });
  t.is(parsed.query.work?.prompt.length, 2);
});
