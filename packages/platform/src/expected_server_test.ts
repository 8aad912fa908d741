import { createClock } from "@endivebend/clock";
import { type BackendServerId, brandId, type VmId } from "@endivebend/types";
import test from "ava";
import { createCacheEventClient } from "./cache_event_client.ts";
import { createRolloutOrderClient } from "./rollout_order_client.ts";
import { createServerClient } from "./server_client.ts";
import {
  runAttempt,
  startRawServer,
  testAttemptOrder,
  testMemory,
  testRoutedRequest,
} from "./testing.ts";

const SERVER = brandId<BackendServerId>("i-1");
const MISDIRECTED = "HTTP/1.1 421 Misdirected Request\r\n" +
  "Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n";

type Call = (address: string) => Promise<unknown>;

// Another service's server may have the address by now. It refuses what names
// the server that is gone, and would run what names none.
const CALLS: Readonly<Record<string, Call>> = {
  "a request": (address) =>
    runAttempt(createServerClient(createClock()), testAttemptOrder(address)),
  "a request that resumes a stream": (address) => {
    const request = testRoutedRequest({ resumeAfter: "3" });
    const order = testAttemptOrder(address, { request, resumeAfter: "3" });
    return runAttempt(createServerClient(createClock()), order);
  },
  "a check of a link": (address) =>
    createServerClient(createClock()).checkAnswering({ id: SERVER, address }),
  "a question for a report": (address) =>
    createRolloutOrderClient(testMemory()).report({ id: SERVER, address }),
  "an order to load weights": (address) =>
    createRolloutOrderClient(testMemory()).order({
      id: SERVER,
      address,
      model: brandId("m"),
      weights: 1,
      namedWeights: 2,
      weightsDeadlineMs: undefined,
      running: 0,
    }, {
      model: brandId("m"),
      weights: 2,
      epoch: 1,
      holder: brandId<VmId>("vm-1"),
      acceptedOrders: 0,
      maySend: () => true,
    }),
  "a poll of a server's cache": (address) =>
    createCacheEventClient(testMemory()).fetchEvents(
      { id: SERVER, address },
      0,
    ),
};

for (const [name, call] of Object.entries(CALLS)) {
  test(`${name} names the server that it is meant for`, async (t) => {
    const requests: string[] = [];
    const server = await startRawServer((socket, request) => {
      requests.push(request);
      socket.write(MISDIRECTED);
    });
    t.teardown(() => server.close());
    await call(server.address);
    t.is(requests.length, 1);
    t.regex(requests[0]!, /\r\nexpect-instance: i-1\r\n/i);
  });
}

test("a poll of a cache store names no server", async (t) => {
  const requests: string[] = [];
  const server = await startRawServer((socket, request) => {
    requests.push(request);
    socket.write(MISDIRECTED);
  });
  t.teardown(() => server.close());
  const id = server.address as never;
  const client = createCacheEventClient(testMemory());
  await client.fetchEvents({ id, address: server.address }, 0);
  t.notRegex(requests[0]!, /expect-instance/i);
});
