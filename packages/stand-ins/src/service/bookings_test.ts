import test, { type ExecutionContext } from "ava";
import { request } from "undici";
import {
  type ServiceOptions,
  type ServiceStandIn,
  startService,
} from "../mod.ts";

async function start(t: ExecutionContext, options: ServiceOptions = {}) {
  const service = await startService(options);
  t.teardown(() => service.close());
  const book = (key: string) =>
    request(`http://${service.address}/bookings`, {
      method: "POST",
      headers: { "idempotency-key": key, "x-endivebend-team": "st-mary" },
      body: "bell 3",
    });
  return { service, book };
}

function seenCount(service: ServiceStandIn): number {
  return service.seen().count;
}

test("every call that runs is recorded, also when its answer is lost", async (t) => {
  const { service, book } = await start(t);
  await service.control({ dieBeforeRun: 1, dieAfterRun: 1 });
  await t.throwsAsync(book("k1"));
  t.is(service.ranCalls().length, 0);
  await t.throwsAsync(book("k1"));
  t.is((await book("k1")).statusCode, 201);
  t.is(service.ranCalls().length, 2);
  t.like(service.ranCalls()[0], {
    team: "st-mary",
    idempotencyDigest: "k1",
    body: "bell 3",
  });
});

test("a service that deduplicates runs a repeated key once", async (t) => {
  const { service, book } = await start(t, { deduplicates: true });
  const first = await (await book("k1")).body.json();
  t.deepEqual(await (await book("k1")).body.json(), first);
  t.is(service.ranCalls().length, 1);
});

test("a silenced connection stays silent while a new one works", async (t) => {
  const { service, book } = await start(t, {});
  await service.control({ slowMs: 50 });
  const abort = new AbortController();
  const url = `http://${service.address}/open/info`;
  const silenced = request(url, { signal: abort.signal });
  const settled = t.throwsAsync(silenced, { message: "given up" });
  while (seenCount(service) === 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  await service.control({ silence: true });
  // This call is as slow and began later, so the other one has answered by now.
  t.is((await book("k1")).statusCode, 201);
  abort.abort(new Error("given up"));
  await settled;
});
