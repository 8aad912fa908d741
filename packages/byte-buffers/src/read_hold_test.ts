import { once } from "node:events";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import test, { type ExecutionContext } from "ava";
import { holdReading, releaseReading } from "./mod.ts";

async function startPair(t: ExecutionContext) {
  const server: Server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const accepted = once(server, "connection") as Promise<[Socket]>;
  const { port } = server.address() as AddressInfo;
  const writer = connect(port, "127.0.0.1");
  const [reader] = await accepted;
  let text = "";
  reader.on("data", (chunk) => text += chunk);
  t.teardown(() => {
    writer.destroy();
    reader.destroy();
    server.close();
  });
  return { writer, reader, read: () => text };
}

/** Lets what has been written arrive. */
async function takeTurns(): Promise<void> {
  for (let turn = 0; turn < 20; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

// Guards against messages of Node.js that resume their socket by themselves.
test("a held socket is read once every reason is released", async (t) => {
  const { writer, reader, read } = await startPair(t);
  holdReading(reader, "turn");
  holdReading(reader, "receiver");
  writer.write("text");
  reader.resume();
  await takeTurns();
  t.is(read(), "");
  releaseReading(reader, "turn");
  await takeTurns();
  t.is(read(), "");
  const received = once(reader, "data");
  releaseReading(reader, "receiver");
  await received;
  t.is(read(), "text");
});

test("a socket that was paused while it was held stays paused", async (t) => {
  const { writer, reader, read } = await startPair(t);
  holdReading(reader, "turn");
  reader.pause();
  releaseReading(reader, "turn");
  writer.write("text");
  await takeTurns();
  t.is(read(), "");
  const received = once(reader, "data");
  reader.resume();
  await received;
  t.is(read(), "text");
});
