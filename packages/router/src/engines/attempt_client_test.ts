import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import test from "ava";
import { EngineConnections } from "./attempt_client.ts";

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
      const server = createServer((socket) => {
        socket.on("error", () => {});
        socket.once("data", () => socket.write(answer));
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
      t.is(outcome, "connection lost");
      await connections.close();
      server.close();
    });
  }
}
