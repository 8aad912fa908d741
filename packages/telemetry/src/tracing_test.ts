import { createServer } from "node:http";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import test from "ava";
import { createTracing } from "./mod.ts";

test("a trace has a span for each hop, and its context reaches the next one", async (t) => {
  const names: string[] = [];
  const collector = createServer(async (request, response) => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const body = JSON.parse(Buffer.concat(chunks).toString("utf8"));
    for (const resource of body.resourceSpans) {
      for (const scope of resource.scopeSpans) {
        for (const span of scope.spans) names.push(span.name);
      }
    }
    response.setHeader("content-type", "application/json").end("{}");
  });
  collector.listen(0, "127.0.0.1");
  await once(collector, "listening");
  const { port } = collector.address() as AddressInfo;
  const tracing = createTracing({
    otlpAddress: `127.0.0.1:${port}`,
    sampleRatio: 1,
    attributes: {},
  });
  const caller = tracing.startSpan("caller", { kind: "server" });
  const engine = tracing.startSpan("engine", { parent: caller });
  t.regex(engine.headers["traceparent"] ?? "", /^00-[0-9a-f]{32}-/);
  t.is(
    engine.headers["traceparent"]?.split("-")[1],
    caller.headers["traceparent"]?.split("-")[1],
  );
  engine.end();
  caller.end();
  await tracing.shutdown();
  collector.close();
  t.deepEqual(names.sort(), ["caller", "engine"]);
});

// Guards against callers that force the sampling of all their requests.
test("a caller's context does not force a request to be sampled", (t) => {
  const tracing = createTracing({
    otlpAddress: "127.0.0.1:9",
    sampleRatio: 0,
    attributes: {},
  });
  const traceparent = `00-${"a".repeat(32)}-${"b".repeat(16)}-01`;
  const span = tracing.startSpan("caller", { headers: { traceparent } });
  t.regex(span.headers["traceparent"] ?? "", /-00$/);
  span.end();
});

test("without a collector no trace context is propagated", (t) => {
  const tracing = createTracing({
    otlpAddress: undefined,
    sampleRatio: 1,
    attributes: {},
  });
  t.deepEqual(tracing.startSpan("caller").headers, {});
});
