import test from "ava";
import { type BackendServerId, brandId } from "@endivebend/types";
import {
  createCacheEventClient,
  parseCacheEvents,
} from "./cache_event_client.ts";
import { startRawServer } from "./testing.ts";

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
  const client = createCacheEventClient();
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
