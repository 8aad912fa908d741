import test from "ava";
import type { RolloutEngine } from "@endivebend/orders";
import { brandId } from "@endivebend/types";
import { createRolloutOrderClient } from "./rollout_order_client.ts";
import { startRawServer, testMemory } from "./testing.ts";

function answerOf(status: string, body: string): string {
  return `HTTP/1.1 ${status}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

// Answers to calls have no id that tells a late copy from the answer itself.
test("a late copy of a report is not the answer to an order", async (t) => {
  const report = answerOf(
    "200 OK",
    '{"models":[{"name":"m","version":1}],"busy":false,"seq":0}',
  );
  let reports = 0;
  const server = await startRawServer((socket, request) => {
    if (request.startsWith("GET")) {
      reports += 1;
      socket.write(report);
      return;
    }
    const isReused = socket.bytesWritten > 0;
    socket.write((isReused ? report : "") + answerOf("202 Accepted", "{}"));
  });
  t.teardown(() => server.close());
  const client = createRolloutOrderClient(testMemory());
  const engine: RolloutEngine = {
    id: brandId("i-1"),
    address: server.address,
    model: brandId("m"),
    weights: 1,
    namedWeights: 2,
    weightsDeadlineMs: undefined,
    running: 0,
  };
  const before = await client.report(engine);
  t.is(before?.acceptedOrders, 0);
  await new Promise(setImmediate);
  const result = await client.order(engine, {
    model: engine.model,
    weights: 2,
    epoch: 1,
    holder: brandId("vm-1"),
    acceptedOrders: 0,
    maySend: () => true,
  });
  t.is(reports, 1);
  t.is(result, "accepted");
});
