import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import test, { type ExecutionContext } from "ava";
import { isEndivebendError } from "@endivebend/errors";
import { createPlatformClient, type PlatformClient } from "./mod.ts";

const records = [{ recordId: "r-1" }];
const readOptions = { fromOffset: 0, waitMs: 0, limit: 10 };

async function serve(t: ExecutionContext, handler: RequestListener) {
  const server = createServer(handler);
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const client = createClient(t, port);
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return { client, server };
}

function createClient(t: ExecutionContext, port: number): PlatformClient {
  const baseUrl = `http://127.0.0.1:${port}`;
  const client = createPlatformClient({ baseUrl, timeoutMs: 300 });
  t.teardown(() => client.close());
  return client;
}

test("an append to a closed port is reported as refused", async (t) => {
  const { client, server } = await serve(t, () => {});
  await new Promise((resolve) => server.close(resolve));
  t.is((await client.append("orders", records)).kind, "refused");
});

test("a 429 answer is reported as refused, with the time to wait", async (t) => {
  const { client } = await serve(t, (_request, response) => {
    response.writeHead(429, { "retry-after": "2" }).end();
  });
  const answer = await client.append("orders", records);
  t.like(answer, { kind: "refused", retryAfterMs: 2000 });
});

test("a destroyed connection leaves the append's outcome unknown", async (t) => {
  const { client } = await serve(t, (request) => {
    request.resume().on("end", () => request.socket.destroy());
  });
  t.is((await client.append("orders", records)).kind, "lost");
});

test("a timeout leaves the append's outcome unknown", async (t) => {
  const { client } = await serve(t, () => {});
  t.is((await client.append("orders", records)).kind, "lost");
});

test("after status 500 or a malformed answer the append's outcome is unknown", async (t) => {
  const answers = [[500, "{}"], [200, '{"firstOffset":"x"}']] as const;
  let call = 0;
  const { client } = await serve(t, (_request, response) => {
    const [status, body] = answers[call++ % 2] ?? [500, ""];
    response.writeHead(status).end(body);
  });
  t.is((await client.append("orders", records)).kind, "lost");
  t.is((await client.append("orders", records)).kind, "lost");
});

test("an append is not retried when its connection breaks", async (t) => {
  let appends = 0;
  const { client } = await serve(t, (request) => {
    appends++;
    request.socket.destroy();
  });
  await client.append("orders", records);
  t.is(appends, 1);
});

test("a read below the first retained offset is reported as truncated", async (t) => {
  const { client } = await serve(t, (_request, response) => {
    response.writeHead(410).end('{"firstOffset":7}');
  });
  const answer = await client.read("orders", readOptions);
  t.deepEqual(answer, { kind: "truncated", firstOffset: 7 });
});

test("a malformed VM list is refused", async (t) => {
  const { client } = await serve(t, (_request, response) => {
    response.end('{"asOfMs":1,"vms":[{"vmId":"e1","role":"engine"}]}');
  });
  const error = await t.throwsAsync(client.listVms());
  t.true(isEndivebendError(error));
});
