import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import test from "ava";
import { EngineConnections } from "./attempt_client.ts";

/** The outcome of an attempt at an engine that answers so. */
async function attempt(answer: (socket: Socket) => void): Promise<string> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => answer(socket));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const connections = new EngineConnections();
  const outcome = await new Promise<string>((resolve) => {
    connections.start(`127.0.0.1:${port}`, {
      request: { path: "/", body: "{}", headers: {} },
      sink: {
        started() {},
        headers() {},
        message() {},
        ended: () => resolve("ended"),
        failed: ({ isConnectionLost }) =>
          resolve(isConnectionLost ? "connection lost" : "failed"),
      },
    });
  });
  await connections.close();
  server.close();
  return outcome;
}

// The HTTP client brings its own parser. Guards against a version of it that
// accepts names which another hop reads as the name they resemble.
for (const name of ["a b", "Content Length", "Content-Length ", "", " a"]) {
  const end = "data: x\n\n";
  const answers = {
    header: `HTTP/1.1 200 OK\r\n${name}: 5\r\nContent-Length: 9\r\n\r\n${end}`,
    trailer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
      `9\r\n${end}\r\n0\r\n${name}: 5\r\n\r\n`,
  };
  for (const [place, answer] of Object.entries(answers)) {
    test(`an engine's answer with the ${place} name ${JSON.stringify(name)} is spoiled`, async (t) => {
      const outcome = await attempt((socket) => socket.write(answer));
      t.is(outcome, "connection lost");
    });
  }
}

// Guards against a part of a head that counts as an answer without a body.
for (
  const head of [
    "HTTP/1.1 200 OK",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 1",
    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r",
  ]
) {
  test(`an engine's head that is cut after ${JSON.stringify(head.slice(-14))} is no answer`, async (t) => {
    t.is(await attempt((socket) => socket.end(head)), "connection lost");
  });
}
