import { once } from "node:events";
import { createSocket } from "node:dgram";
import test from "ava";
import {
  brandId,
  type FailureDomainId,
  type IncarnationId,
  type VmId,
} from "@endivebend/types";
import { FleetChannel, type FleetMessage } from "./mod.ts";

const MESSAGE: FleetMessage = {
  vm: brandId<VmId>("vm-1"),
  incarnation: brandId<IncarnationId>("first"),
  failureDomain: brandId<FailureDomainId>("a"),
  address: "127.0.0.1:1",
  sequence: 1,
  isLeaving: false,
  reachesStore: true,
  duty: { epoch: 0 },
  spent: {},
  work: {},
  weights: [],
  named: {},
  suspects: [],
  placed: {},
  kept: {},
  records: {},
  readAgesMs: {},
};

async function freePort(): Promise<number> {
  const socket = createSocket("udp4").bind(0, "127.0.0.1");
  await once(socket, "listening");
  const { port } = socket.address();
  socket.close();
  return port;
}

test("news of one moment goes to all daemons in one message", async (t) => {
  const tasks: { readonly delayMs: number; readonly task: () => void }[] = [];
  let composed = 0;
  const channel = new FleetChannel({
    ip: "127.0.0.1",
    port: await freePort(),
    scheduler: {
      after(delayMs, task) {
        tasks.push({ delayMs, task });
        return () => {};
      },
    },
    compose() {
      composed += 1;
      return MESSAGE;
    },
    addresses: () => ({ near: ["127.0.0.1:9"], far: [] }),
    hear() {},
    failed() {},
  });
  t.teardown(() => channel.dispose());
  for (let order = 0; order < 14; order++) channel.tellAll();
  const [told, ...others] = tasks.filter(({ delayMs }) => delayMs < 100);
  t.deepEqual(others, []);
  told?.task();
  t.is(composed, 1);
  channel.tellAll();
  t.is(tasks.filter(({ delayMs }) => delayMs < 100).length, 2);
});
