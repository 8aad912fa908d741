import test from "ava";
import { brandId, type RequestId } from "@endivebend/types";
import { ExplainLog } from "./explain.ts";

const id = (name: string) => brandId<RequestId>(name);
const clock = { wallMs: () => 7, elapsedMs: () => 0 };

// Guards against callers without a key whose refusals evict the decisions on
// other requests.
test("early refusals do not evict the decisions on other requests", (t) => {
  const log = new ExplainLog(clock);
  log.record(id("real"), { step: "charge" });
  log.record(id("real"), { step: "refuse", chosen: "queue_full" });
  for (let count = 0; count < 20_000; count++) {
    log.record(id(`flood-${count}`), { step: "refuse", chosen: "missing_key" });
  }
  t.deepEqual(log.explain(id("real"))?.map(({ step }) => step), [
    "charge",
    "refuse",
  ]);
  t.deepEqual(log.explain(id("flood-19999")), [
    { atMs: 7, step: "refuse", chosen: "missing_key" },
  ]);
  t.is(log.explain(id("flood-0")), undefined);
});
