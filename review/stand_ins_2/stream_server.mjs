/**
 * A stand-in for an engine that answers with events. Each event names the
 * version of the software that has made it.
 */

import { createServer } from "node:http";

const HEARTBEAT_MS = 1_200;
const EVENT_INTERVAL_MS = 100;

/** Starts the server at a free port of the address and lists it in the store. */
export async function startStreamServer(
  { ip, id, service, store, version, events },
) {
  let seq = 0;
  let born;
  let port = 0;
  let server;
  let isUp = false;
  let heartbeat;
  function serve(request, response) {
    request.resume();
    const requestId = request.headers["attempt-id"];
    if (request.headers["expect-instance"] !== id) {
      const fields = { "Instance-Id": id, "Not-Run": "1" };
      return response.writeHead(421, fields).end();
    }
    if (requestId === undefined) {
      const report = { models: [], busy: false, seq: 0, born };
      response.writeHead(200, { "Content-Type": "application/json" });
      return response.end(JSON.stringify(report));
    }
    response.writeHead(200, {
      "Attempt-Id": requestId,
      "Response-Seal": `${id}.${version}.${requestId}`,
      "Content-Type": "text/event-stream",
    });
    let next = Number(request.headers["last-event-id"] ?? 0) + 1;
    const timer = setInterval(() => {
      if (response.destroyed) return clearInterval(timer);
      response.write(`id: ${next}\ndata: ${version}\n\n`);
      next += 1;
      if (next <= events) return;
      clearInterval(timer);
      response.end();
    }, EVENT_INTERVAL_MS);
  }
  function report() {
    seq += 1;
    store.put("keyed.servers", id, {
      service,
      address: `${ip}:${port}`,
      zone: "a",
      version,
      slots: 64,
      phase: "ready",
      cold_left_ms: 0,
      models: [],
      seq,
      born,
    });
  }
  const instance = {
    id,
    get isUp() {
      return isUp;
    },
    /** Starts; it writes its entry every `heartbeat_ms` from then on. */
    async start(newVersion = version, { reportsAtOnce = false } = {}) {
      version = newVersion;
      born = Date.now();
      seq = 0;
      server = createServer(serve);
      await new Promise((resolve) => server.listen(port, ip, resolve));
      ({ port } = server.address());
      isUp = true;
      heartbeat = setInterval(report, HEARTBEAT_MS);
      if (reportsAtOnce) report();
    },
    /** Ends without notice, with all its connections. */
    crash() {
      isUp = false;
      clearInterval(heartbeat);
      server.close();
      server.closeAllConnections();
    },
  };
  await instance.start(version, { reportsAtOnce: true });
  return instance;
}
