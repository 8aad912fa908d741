import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { once } from "node:events";
import test, { type ExecutionContext } from "ava";
import { startPlatform } from "@endivebend/stand-ins";
import type { VmEntry, VmList } from "@endivebend/types";
import { request } from "undici";
import { Network } from "./network.ts";
import { Relay } from "./relay.ts";

async function startEcho(t: ExecutionContext): Promise<string> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.pipe(socket);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function dial(address: string): Promise<Socket> {
  const socket = connect(Number(address.split(":")[1]), "127.0.0.1");
  socket.on("error", () => {});
  await once(socket, "connect");
  return socket;
}

// `once` of node:events would reject at the reset that precedes the close.
function whenClosed(socket: Socket): Promise<void> {
  return new Promise((resolve) => socket.once("close", () => resolve()));
}

async function echo(socket: Socket, text: string): Promise<string> {
  socket.write(text);
  const [bytes] = await once(socket, "data");
  return String(bytes);
}

test("a cut relay carries nothing and a healed one carries again", async (t) => {
  const relay = new Relay(await startEcho(t));
  await relay.start();
  t.teardown(() => relay.close());
  const before = await dial(relay.address);
  t.is(await echo(before, "a"), "a");
  relay.cut();
  let received = 0;
  before.on("data", () => received++);
  before.write("b");
  const during = await dial(relay.address);
  during.on("data", () => received++);
  during.write("c");
  const closed = Promise.all([whenClosed(before), whenClosed(during)]);
  relay.heal();
  await closed;
  t.is(received, 0);
  const after = await dial(relay.address);
  t.is(await echo(after, "d"), "d");
  after.destroy();
});

async function listedVm(t: ExecutionContext, failureDomain: string) {
  const address = await startEcho(t);
  return { vmId: `vm-${failureDomain}`, address, failureDomain } as VmEntry;
}

test("a failure domain sees relays in place of another domain's addresses", async (t) => {
  const near = await listedVm(t, "fd-a");
  const far = await listedVm(t, "fd-b");
  const vms = [near, far];
  const platform = await startPlatform({ vms });
  t.teardown(() => platform.close());
  const network = new Network();
  await network.connect(["fd-a"], {
    vms: [far],
    platformAddress: platform.address,
  });
  t.teardown(() => network.close());
  const url = `http://${network.platformAddress("fd-a")}/v1/vms`;
  const { body } = await request(url);
  const list = await body.json() as VmList;
  t.is(list.vms[0]?.address, near.address);
  t.is(list.vms[1]?.address, network.addressOf(far, "fd-a"));
  t.not(list.vms[1]?.address, far.address);
});
