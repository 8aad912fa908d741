import test from "ava";
import { createDecisionLog, TextMetrics } from "./mod.ts";

function logAt(time: { nowMs: number }) {
  const lines: Record<string, unknown>[] = [];
  const log = createDecisionLog({
    fields: { vm: "vm-1" },
    nowMs: () => time.nowMs,
    write: (line) => lines.push(JSON.parse(line) as Record<string, unknown>),
  });
  return { log, lines };
}

test("decisions above the rate are dropped and counted, state changes are not", (t) => {
  const time = { nowMs: 0 };
  const { log, lines } = logAt(time);
  for (let count = 0; count < 10_000; count++) {
    log.decision("place", { requestId: `q-${count}` });
  }
  t.is(lines.length, 600);
  log.stateChange("store_lost", { topic: "servers" });
  t.is(lines.at(-1)?.["step"], "store_lost");
  time.nowMs = 1_000;
  log.decision("place", { requestId: "later" });
  t.is(lines.at(-2)?.["step"], "lines_dropped");
  t.is(lines.at(-2)?.["dropped"], 9_400);
  t.is(lines.at(-1)?.["requestId"], "later");
});

test("a long flood of decisions writes no more lines than the rate allows", (t) => {
  const time = { nowMs: 0 };
  const { log, lines } = logAt(time);
  for (time.nowMs = 0; time.nowMs < 10_000; time.nowMs += 1) {
    for (let count = 0; count < 5; count++) log.decision("place", {});
  }
  const written = lines.filter((line) => line["step"] === "place").length;
  t.true(written <= 600 + 10 * 150, `${written} lines`);
});

test("a clock that stops or goes back adds no lines to the allowance", (t) => {
  const time = { nowMs: 5_000 };
  const { log, lines } = logAt(time);
  for (let count = 0; count < 700; count++) log.decision("place", {});
  time.nowMs = 1_000;
  log.decision("place", {});
  t.is(lines.length, 600);
});

test("counters and quantiles are rendered in the Prometheus text format", (t) => {
  const metrics = new TextMetrics();
  metrics.count("calls", { outcome: "answered" });
  metrics.count("calls", { outcome: "answered" });
  for (let valueMs = 1; valueMs <= 100; valueMs++) {
    metrics.observeMs("call_ms", valueMs);
  }
  const text = metrics.text();
  t.true(text.includes('calls{outcome="answered"} 2'));
  t.true(text.includes('call_ms{quantile="0.5"} 50'));
  t.true(text.includes("call_ms_count 100"));
});
