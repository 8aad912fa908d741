import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import { connectionBounds, limitConnections } from "./connection_limit.ts";

async function start(
  t: ExecutionContext,
  bounds: { readonly maxConnections: number; readonly maxUnfinished: number },
) {
  const closed: string[] = [];
  const server: Server = createServer((request, response) => {
    request.resume();
    // Requests to other paths stay without an answer.
    if (request.url === "/answered") response.end("ok");
  });
  limitConnections(server, bounds, (reason) => closed.push(reason));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const open = async (text = ""): Promise<Socket> => {
    const accepted = once(server, "connection");
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => {});
    socket.resume();
    await accepted;
    if (text !== "") {
      const arrived = once(server, "request");
      socket.write(text);
      await arrived;
    }
    return socket;
  };
  return { closed, open };
}

const HELD = "GET /held HTTP/1.1\r\nHost: x\r\n\r\n";
const ANSWERED = "GET /answered HTTP/1.1\r\nHost: x\r\n\r\n";
const UNFINISHED =
  "POST /held HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n";

// Guards against clients that take all descriptors with idle connections.
test("beyond the bound the connection that is unused for the longest is closed", async (t) => {
  const { closed, open } = await start(t, {
    maxConnections: 3,
    maxUnfinished: 3,
  });
  const held = await open(HELD);
  const first = await open();
  const used = await open();
  used.write(ANSWERED);
  await once(used, "data");
  const firstClosed = once(first, "close");
  const latest = await open();
  await firstClosed;
  t.deepEqual(closed, ["connections"]);
  t.deepEqual([held, used, latest].map(({ destroyed }) => destroyed), [
    false,
    false,
    false,
  ]);
});

test("a request that has come whole is not ended for a new connection", async (t) => {
  const { closed, open } = await start(t, {
    maxConnections: 2,
    maxUnfinished: 2,
  });
  const held = [await open(HELD), await open(HELD)];
  const latest = await open();
  await once(latest, "close");
  t.deepEqual(closed, ["connections"]);
  t.false(held.some(({ destroyed }) => destroyed));
});

// Guards against bodies and trailers that never end.
test("beyond the bound the request that is unfinished for the longest is closed", async (t) => {
  const { closed, open } = await start(t, {
    maxConnections: 9,
    maxUnfinished: 2,
  });
  const oldest = await open(UNFINISHED);
  const oldestClosed = once(oldest, "close");
  await open(UNFINISHED);
  await open(UNFINISHED);
  await oldestClosed;
  t.deepEqual(closed, ["unfinished"]);
});

test("the bounds of the smallest machine leave room for servers", (t) => {
  const limits = { memoryBytes: 178 * 1_048_576, maxDescriptors: 2_212 };
  const callers = connectionBounds("callers", limits);
  const daemons = connectionBounds("daemons", limits);
  t.deepEqual(callers, { maxConnections: 712, maxUnfinished: 356 });
  t.is(daemons.maxConnections, 331);
  const records = connectionBounds("records", limits);
  t.is(records.maxConnections, 110);
  const few = connectionBounds("callers", { ...limits, maxDescriptors: 400 });
  t.is(few.maxConnections, 180);
});
