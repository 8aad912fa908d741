import test from "ava";
import { type BackendServerId, brandId } from "@endivebend/types";
import { createMemoryClient, parseNews } from "./memory_client.ts";
import { startRawServer } from "./testing.ts";

test("events of a memory are read as changes", (t) => {
  const news = parseNews(JSON.stringify({
    boot_epoch: 77,
    next: 121,
    lost: true,
    events: [
      [119, "+", "1/", "5c1e", 800, "m"],
      [120, "-", "1/", "91bd", 128, "m"],
    ],
  }));
  t.deepEqual(
    news,
    {
      bootId: "77",
      next: 121,
      hasGap: true,
      changes: [["1/|5c1e", 800], ["1/|91bd", 0]],
    } as unknown as typeof news,
  );
});

test("an answer of another form is no news", (t) => {
  for (
    const body of ["", "[]", "{}", '{"next":1}', '{"next":"1","events":[]}']
  ) {
    t.is(parseNews(body), undefined, body);
  }
});

test("a memory that refuses or does not answer has no news", async (t) => {
  const refusing = await startRawServer((socket) => {
    socket.write("HTTP/1.1 429 Too Many\r\nContent-Length: 0\r\n\r\n");
  });
  t.teardown(() => refusing.close());
  const client = createMemoryClient();
  const memory = {
    id: brandId<BackendServerId>("e"),
    address: refusing.address,
  };
  t.is(await client.fetchEvents(memory, 0), undefined);
  t.is(
    await client.fetchEvents({ ...memory, address: "127.0.0.1:1" }, 0),
    undefined,
  );
});
