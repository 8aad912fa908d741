import test from "ava";
import { once } from "node:events";
import { request } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { Code, ConnectError } from "@connectrpc/connect";
import {
  createPeerClients,
  createPeerServer,
  CREDENTIAL_WINDOW_MS,
  ReplayGuard,
  signCall,
  type SignedCall,
  verifyCall,
} from "./mod.ts";

const KEY = "0123456789abcdef0123456789abcdef";
const CALL: SignedCall = {
  method: "Charge",
  nowMs: 1_000_000,
  vmId: "vm-1",
  clientId: "client",
  sequence: 0,
};

async function startServer(onRefusal = () => {}) {
  let charges = 0;
  const server = createPeerServer({
    charge: () => ({ granted: ++charges > 0 }),
  }, { sharedKey: KEY, maxMessageBytes: 8 << 20, onRefusal });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    charges: () => charges,
    close: () => server.close(),
  };
}

/** Sends one call with a credential; gives the status. */
async function sendRaw(address: string, options: {
  readonly credential: string;
  readonly body?: Buffer;
}) {
  const path = "/endivebend.peers.v1.PeerService/Charge";
  const call = request(`http://${address}${path}`, {
    method: "POST",
    headers: {
      "content-type": "application/proto",
      "x-fleet-credential": options.credential,
    },
  });
  // The server may close the connection before it has read the whole body.
  call.on("error", () => {});
  call.end(options.body ?? Buffer.alloc(0));
  const [response] = await once(call, "response");
  response.resume();
  call.destroy();
  return response.statusCode;
}

// Guards against a credential that serves for another method, VM, time or key.
test("a credential holds for one method, time, VM and number only", (t) => {
  const credential = signCall(KEY, CALL);
  const { method, nowMs } = CALL;
  const verified = verifyCall(KEY, { method, nowMs, credential });
  t.deepEqual(verified, { vmId: "vm-1", clientId: "client", sequence: 0 });
  const changed = [
    credential.replace("vm-1", "vm-2"),
    credential.replace(";0;", ";1;"),
    credential.replace("client", "other"),
    credential.replace("1000000", "1000001"),
    "",
    ";;;;",
  ];
  for (const forged of changed) {
    t.is(verifyCall(KEY, { method, nowMs, credential: forged }), undefined);
  }
  const late = nowMs + CREDENTIAL_WINDOW_MS + 1;
  t.is(verifyCall(KEY, { method, nowMs: late, credential }), undefined);
  t.is(verifyCall(KEY, { method: "Borrow", nowMs, credential }), undefined);
  t.is(verifyCall(`${KEY}0`, { method, nowMs, credential }), undefined);
});

// Guards against a recorded call that takes effect again.
test("each number of a client is taken once, also out of order", (t) => {
  const guard = new ReplayGuard();
  const take = (sequence: number) => guard.take({ ...CALL, sequence }, 0);
  t.deepEqual([0, 2, 1, 1, 2, 0].map(take), [
    true,
    true,
    true,
    false,
    false,
    false,
  ]);
  t.true(take(200_000));
  t.false(take(200_000 - 65_536), "too old to be told from a replay");
  t.true(take(200_000 - 65_535));
  t.false(take(200_000 - 65_535));
  t.true(guard.take({ ...CALL, clientId: "other", sequence: 2 }, 0));
  for (const sequence of [-1, 0.5, NaN]) t.false(take(sequence));
});

test("a recorded credential is refused the second time, over a real socket", async (t) => {
  let refusals = 0;
  const server = await startServer(() => refusals++);
  const credential = signCall(KEY, { ...CALL, nowMs: Date.now() });
  t.is(await sendRaw(server.address, { credential }), 200);
  t.is(await sendRaw(server.address, { credential }), 401);
  t.deepEqual([server.charges(), refusals], [1, 1]);
  server.close();
});

// Guards against memory that a caller without the fleet key can fill: the body
// was read whole before the credential was checked.
test("a call without a credential is refused before its body is read", async (t) => {
  const server = await startServer();
  const body = Buffer.alloc(4 << 20);
  t.is(await sendRaw(server.address, { credential: "", body }), 401);
  t.is(server.charges(), 0);
  server.close();
});

// Guards against a connection whose failure ends the whole daemon, and against
// one that has gone silent and holds up every later call.
test("broken and silent connections fail their own call only", async (t) => {
  const server = await startServer();
  const sockets: Socket[] = [];
  let mode: "break" | "silence" = "break";
  const relay = createServer((socket) => {
    sockets.push(socket);
    if (mode === "break") socket.destroy();
  });
  relay.listen(0, "127.0.0.1");
  await once(relay, "listening");
  const { port } = relay.address() as AddressInfo;
  const options = { vmId: "vm-1", sharedKey: KEY, timeoutMs: 100 };
  const client = createPeerClients(options).at(`127.0.0.1:${port}`);
  await t.throwsAsync(client.charge({}));
  mode = "silence";
  const [one, other] = await Promise.allSettled([
    client.charge({}),
    client.charge({}),
  ]);
  t.deepEqual([one.status, other.status], ["rejected", "rejected"]);
  t.is(sockets.length, 3, "each call has a connection of its own");
  relay.close();
  for (const socket of sockets) socket.destroy();
  server.close();
});

test("clients with another fleet key are refused, with the remedy", async (t) => {
  const server = await startServer();
  const options = { vmId: "vm-1", timeoutMs: 5000 };
  const good = createPeerClients({ ...options, sharedKey: KEY });
  const other = createPeerClients({ ...options, sharedKey: `${KEY}x` });
  const answers = await Promise.all(
    Array.from({ length: 50 }, () => good.at(server.address).charge({})),
  );
  t.true(answers.every(({ granted }) => granted));
  const refused = await t.throwsAsync(other.at(server.address).charge({}));
  const { code, message } = ConnectError.from(refused);
  t.is(code, Code.Unauthenticated);
  t.regex(message, /peers\.sharedKey/);
  t.is(server.charges(), 50);
  server.close();
});
