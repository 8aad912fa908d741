import test from "ava";
import { createError, isEndivebendError } from "@endivebend/errors";
import { RetryBudget } from "@endivebend/routing";
import { brandId, type RequestId, type ServiceName } from "@endivebend/types";
import type { ServiceCall } from "../ports.ts";
import { dispatchWithRetry } from "./retry.ts";

const call: ServiceCall = {
  requestId: brandId<RequestId>("r-1"),
  team: undefined,
  route: {
    path: "/bookings",
    methods: ["GET"],
    service: brandId<ServiceName>("belfry-app"),
    repeatable: true,
    open: false,
    costTokens: 1,
    deduplicates: false,
    unkeyed: false,
    requireTimedKeys: false,
  },
  method: "GET",
  path: "/bookings",
  headers: {},
  body: Buffer.alloc(0),
  idempotencyKey: undefined,
  deadlineElapsedMs: 1000,
};
const notRun = createError("no_backend_server", "No server takes new work");
const unknown = createError("backend_server_failed", "The connection broke");

function dispatchWith(failures: readonly Error[], retryBudget: RetryBudget) {
  const remainingFailures = [...failures];
  let attempts = 0;
  const result = dispatchWithRetry(call, {
    dispatcher: {
      dispatchOnce() {
        attempts++;
        const failure = remainingFailures.shift();
        return failure === undefined
          ? Promise.resolve({ status: 200, headers: {}, body: call.body })
          : Promise.reject(failure);
      },
    },
    retryBudget,
    clock: { wallMs: () => 0, elapsedMs: () => 0 },
    metrics: { increment() {}, gauge() {}, timing() {} },
  });
  return { result, attempts: () => attempts };
}

// Guards against reporting not_run for a call whose first attempt reached a
// server: a later attempt that reached none must not hide that failure.
test("a failure after an attempt that may have run is not reported as not run", async (t) => {
  const retryBudget = new RetryBudget();
  const { result } = dispatchWith([unknown, notRun, notRun], retryBudget);
  const caught = await t.throwsAsync(result);
  t.true(isEndivebendError(caught) && caught.ran === "unknown");
});

test("attempts that never reached a server are reported as not run", async (t) => {
  const retryBudget = new RetryBudget();
  const { result } = dispatchWith([notRun, notRun, notRun], retryBudget);
  const caught = await t.throwsAsync(result);
  t.true(isEndivebendError(caught) && caught.ran === "not_run");
});

// Guards against retries that add load to an overloaded service.
test("retries end when the retry budget is used up", async (t) => {
  const retryBudget = new RetryBudget({ reserve: 0, ratio: 0 });
  const { result, attempts } = dispatchWith([unknown], retryBudget);
  await t.throwsAsync(result);
  t.is(attempts(), 1);
});
