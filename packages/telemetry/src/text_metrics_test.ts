import test from "ava";
import { TextMetrics } from "./mod.ts";

test("a gauge shows its value at the time of rendering", (t) => {
  const metrics = new TextMetrics();
  let engines = 82;
  metrics.gauge("engines_behind", () => engines);
  t.is(metrics.text(), "engines_behind 82\n");
  engines = 3;
  t.is(metrics.text(), "engines_behind 3\n");
});

test("a counter grows by one or by what is given", (t) => {
  const metrics = new TextMetrics();
  metrics.count("calls");
  metrics.count("calls");
  metrics.count("bytes", {}, 1_200);
  metrics.count("bytes", {}, 300);
  t.is(metrics.text(), "calls 2\nbytes 1500\n");
});
