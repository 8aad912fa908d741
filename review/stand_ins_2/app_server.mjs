/** A stand-in for a plain application server that works on each request. */

import { createServer } from "node:http";

const HEARTBEAT_MS = 1_200;

/**
 * Starts the server at a free port of the address and lists it in the store.
 * `workMs` gives the time that a request takes by its path; `ran` is called
 * when the work on a request begins.
 */
export async function startAppServer(
  { ip, id, service, store, workMs, ran, slots = 64 },
) {
  let born = Date.now();
  let seq = 0;
  let isLeaving = false;
  let isUp = true;
  let port = 0;
  let server;
  function serve(request, response) {
    request.resume();
    const requestId = request.headers["attempt-id"];
    const common = isLeaving ? { "Server-Leaving": "1" } : {};
    if (request.headers["expect-instance"] !== id) {
      const fields = { ...common, "Instance-Id": id, "Not-Run": "1" };
      return response.writeHead(421, fields).end();
    }
    if (requestId === undefined) {
      const report = JSON.stringify({ models: [], busy: false, seq: 0, born });
      const fields = { ...common, "Content-Type": "application/json" };
      return response.writeHead(200, fields).end(report);
    }
    ran(requestId, request);
    setTimeout(() => {
      if (response.destroyed) return;
      response.writeHead(200, {
        ...(isLeaving ? { "Server-Leaving": "1", "Connection": "close" } : {}),
        "Attempt-Id": requestId,
        "Response-Seal": `${id}.${requestId}`,
        "Content-Length": "4",
      });
      response.end("done");
    }, workMs(request.url));
  }
  async function listen() {
    server = createServer(serve);
    await new Promise((resolve) => server.listen(port, ip, resolve));
    ({ port } = server.address());
  }
  function report() {
    if (!isUp) return;
    seq += 1;
    store.put("keyed.servers", id, {
      service,
      address: `${ip}:${port}`,
      zone: "a",
      version: "v1",
      slots,
      phase: isLeaving ? "draining" : "ready",
      cold_left_ms: 0,
      models: [],
      seq,
      born,
    });
  }
  await listen();
  report();
  setInterval(report, HEARTBEAT_MS);
  return {
    id,
    /** Reports that it leaves, and says so in all its answers. */
    leave() {
      isLeaving = true;
      report();
    },
    /** Ends; connections that have no open request end as well. */
    async exit() {
      isUp = false;
      await new Promise((resolve) => {
        server.close(resolve);
        server.closeAllConnections();
      });
    },
    /** Starts again under the id and at the address that it had. */
    async startAgain() {
      born = Date.now();
      seq = 0;
      isLeaving = false;
      await listen();
      isUp = true;
      report();
    },
  };
}
