/**
 * A stand-in for an application server on raw sockets. It keeps connections
 * open, and answers one request after the other on each.
 */

import { createServer } from "node:net";

const HEARTBEAT_MS = 1_200;
const REPORT = '{"models":[],"busy":false,"seq":0}';

/** Starts the server at a free port of the address and lists it in the store. */
export async function startRawServer(
  { ip, id, service, store, workMs, ran, slots },
) {
  const born = Date.now();
  let seq = 0;
  const server = createServer((socket) => {
    let text = "";
    let isBusy = false;
    const answer = (fields, body) => {
      if (!socket.writable) return;
      const head = Object.entries(fields).map(([name, value]) =>
        `${name}: ${value}\r\n`
      );
      const length = `Content-Length: ${body.length}\r\n`;
      socket.write(`HTTP/1.1 200 OK\r\n${head.join("")}${length}\r\n${body}`);
    };
    const serveNext = () => {
      const end = isBusy ? -1 : text.indexOf("\r\n\r\n");
      if (end < 0) return;
      const head = text.slice(0, end);
      text = text.slice(end + 4);
      const requestId = /^attempt-id: (\S+)/im.exec(head)?.[1];
      if (requestId === undefined) {
        answer({}, REPORT);
        return serveNext();
      }
      ran(requestId);
      isBusy = true;
      setTimeout(() => {
        answer({ "Attempt-Id": requestId, "Response-Seal": id }, "done");
        isBusy = false;
        serveNext();
      }, workMs);
    };
    socket.on("error", () => {});
    socket.on("data", (bytes) => {
      text += bytes.toString("latin1");
      serveNext();
    });
  });
  await new Promise((resolve) => server.listen(0, ip, resolve));
  const report = () => {
    seq += 1;
    store.put("keyed.servers", id, {
      service,
      address: `${ip}:${server.address().port}`,
      zone: "a",
      version: "v1",
      slots,
      phase: "ready",
      cold_left_ms: 0,
      models: [],
      seq,
      born,
    });
  };
  report();
  setInterval(report, HEARTBEAT_MS);
}
