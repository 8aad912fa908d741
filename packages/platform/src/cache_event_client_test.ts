import test from "ava";
import { type BackendServerId, brandId } from "@endivebend/types";
import {
  createCacheEventClient,
  parseCacheEvents,
} from "./cache_event_client.ts";
import { startRawServer, testMemory } from "./testing.ts";

test("cache events are parsed into changes of segments", (t) => {
  const batch = parseCacheEvents(JSON.stringify({
    boot_epoch: 77,
    next: 121,
    lost: true,
    events: [
      [119, "+", "1/", "5c1e", 800, "m"],
      [120, "-", "1/", "91bd", 128, "m"],
    ],
  }));
  t.deepEqual(
    batch,
    {
      bootId: "77",
      next: 121,
      hasGap: true,
      changes: [["1/|5c1e", 800], ["1/|91bd", 0]],
    } as unknown as typeof batch,
  );
});

test("a malformed answer holds no cache events", (t) => {
  for (
    const body of ["", "[]", "{}", '{"next":1}', '{"next":"1","events":[]}']
  ) {
    t.is(parseCacheEvents(body), undefined, body);
  }
});

test("a server that refuses or is unreachable gives no cache events", async (t) => {
  const refusingServer = await startRawServer((socket) => {
    socket.write("HTTP/1.1 429 Too Many\r\nContent-Length: 0\r\n\r\n");
  });
  t.teardown(() => refusingServer.close());
  const client = createCacheEventClient(testMemory());
  const server = {
    id: brandId<BackendServerId>("e"),
    address: refusingServer.address,
  };
  t.is(await client.fetchEvents(server, 0), undefined);
  t.is(
    await client.fetchEvents({ ...server, address: "127.0.0.1:1" }, 0),
    undefined,
  );
});

// Peers refuse whole messages of a daemon that tells them such a change.
test("events that can't be told to peers are left out", (t) => {
  const long = "x".repeat(300);
  const events = [
    null,
    [1, "+", "1/", 5, 800, "m"],
    [2, "+", null, "5c1e", 800, "m"],
    [3, "+", long, "5c1e", 800, "m"],
    [4, "+", "1/", "5c1e", -1, "m"],
    [5, "+", "1/", long, 800, "m"],
    [6, "+", "1/", "91bd", 128, "m"],
  ];
  const text = JSON.stringify({ boot_epoch: 77, next: 7, events })
    .replace("-1", "1e400");
  const changes = parseCacheEvents(text)?.changes ?? [];
  t.deepEqual(changes.map(([, tokens]) => tokens), [800, 128]);
  t.true(changes.every(([key]) => key.length <= 256));
});
