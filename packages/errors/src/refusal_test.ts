import test from "ava";
import { brandId, type RequestId } from "@endivebend/types";
import { createError, toRefusal } from "./mod.ts";

const requestId = brandId<RequestId>("r-1");

test("a typed error keeps its code, remedy and retry time", (t) => {
  const refusal = toRefusal(
    createError("rate_limited", "The team is over its rate", {
      retryAfterMs: 1200,
    }),
    requestId,
  );
  t.is(refusal.status, 429);
  t.is(refusal.headers["retry-after"], "2");
  t.is(refusal.body.error.ran, "not_run");
  t.regex(refusal.body.error.remedy, /Retry-After/);
});

test("an unexpected error is not answered as a request that did not run", (t) => {
  const refusal = toRefusal(new TypeError("boom"), requestId);
  t.is(refusal.status, 500);
  t.is(refusal.body.error.ran, "unknown");
});
