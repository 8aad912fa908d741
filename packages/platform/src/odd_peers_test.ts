import { createSocket } from "node:dgram";
import { once } from "node:events";
import { connect } from "node:net";
import test from "ava";
import fc from "fast-check";
import { encodeDatagram, type GossipMessage } from "@endivebend/fleet";
import { createDaemon } from "./daemon.ts";
import { CONFIGURATION, putServer, settingsFor, waitReady } from "./testing.ts";
import { startStore } from "./testing_store.ts";

const MESSAGE = {
  vm: "vm-2",
  incarnation: "first",
  failureDomain: "a",
  address: "127.0.0.1:9",
  sequence: 1,
  isLeaving: false,
  reachesStore: true,
  duty: { epoch: 0 },
  spent: { team: 1 },
  work: { server: [1, 1] },
  weights: [{ server: "server", model: "m", weights: 1, isDone: true }],
  named: { m: [[1, 5]] },
  suspects: ["server"],
  placed: { server: ["segment"] },
  kept: { server: [["segment", 5]] },
  answerAgesMs: { server: 5 },
  records: { operator: 1, servers: 1 },
  readAgesMs: { servers: 5 },
  limits: [{ server: "server", perS: 1, ageMs: 5 }],
  leaving: [{ server: "server", startedAtMs: 1 }],
  forwarding: { reaches: ["belfry"], open: 1 },
  demandPerS: { belfry: 1 },
};

const ODD_VALUE = fc.oneof(
  fc.constantFrom("127.0.0.1:0", "//", "__proto__", "", -1, 1e308, 1e15),
  fc.jsonValue({ maxDepth: 3 }),
);
/** A message in which one to three fields have other values. */
const ODD_MESSAGE = fc.array(
  fc.tuple(fc.constantFrom(...Object.keys(MESSAGE)), ODD_VALUE),
  { minLength: 1, maxLength: 3 },
).map((fields) => ({ ...MESSAGE, ...Object.fromEntries(fields) }));
const ODD_REQUEST = fc.oneof(
  fc.constantFrom("//", "/%", "/servers?since=NaN", "*", "http://[")
    .map((target) => `GET ${target} HTTP/1.1\r\nHost: peer\r\n\r\n`),
  fc.string({ unit: "binary", maxLength: 60 }),
);

// Guards against a message of a peer, or of a stranger on a port for peers,
// that ends the process.
test("no odd message on the ports for peers ends the daemon", async (t) => {
  const seed = Number(process.env["ODD_PEERS_SEED"] ?? 1);
  const numRuns = Number(process.env["ODD_PEERS_RUNS"] ?? 300);
  t.log(`ODD_PEERS_SEED=${seed}, ODD_PEERS_RUNS=${numRuns}`);
  const store = await startStore();
  const settings = await settingsFor(store);
  const daemon = createDaemon(settings);
  daemon.start();
  store.put("keyed.op", "config", CONFIGURATION);
  putServer(store, "127.0.0.1:9");
  await waitReady(settings);
  const sender = createSocket("udp4");
  const { ip, firstPeerPort } = settings;
  let sequence = 1;
  const sendMessage = (fields: typeof MESSAGE) => {
    sequence += 1;
    // Messages of one sender are applied in the order of their numbers.
    const message = fields.sequence === MESSAGE.sequence
      ? { ...fields, sequence }
      : fields;
    const datagram = encodeDatagram({
      kind: "message",
      message: message as unknown as GossipMessage,
    });
    sender.send(datagram, firstPeerPort, ip);
  };
  const sendRequest = async (port: number, bytes: string) => {
    const socket = connect(port, ip);
    socket.on("error", () => {});
    socket.resume();
    socket.end(bytes, "latin1");
    await once(socket, "close");
  };
  await fc.assert(
    fc.asyncProperty(ODD_MESSAGE, ODD_REQUEST, async (message, request) => {
      sendMessage(message);
      await Promise.all(
        [1, 2].map((offset) => sendRequest(firstPeerPort + offset, request)),
      );
    }),
    { seed, numRuns, endOnFailure: true },
  );
  sender.close();
  await t.notThrowsAsync(waitReady(settings));
  await new Promise<void>((resolve) => daemon.stop(resolve));
  store.close();
});
