import test from "ava";
import {
  decodeConfiguration,
  decodeNamedWeights,
  decodeRollout,
  decodeServer,
} from "./decode.ts";

const ENTRY = {
  service: "chime",
  address: "10.0.0.9:8080",
  zone: "a",
  slots: 128,
  phase: "ready",
  models: [{ name: "m", version: 3, adapters: [] }],
  born: 17,
  version: "v1.2",
};

function bytes(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}

test("a backend server's entry is decoded", (t) => {
  const server = decodeServer("i-1", bytes(ENTRY));
  t.like(server, {
    id: "i-1",
    service: "chime",
    isLeaving: false,
    slots: 128,
    startedAtMs: 17,
    softwareVersion: "v1.2",
  });
  t.is(server?.weights.get("m" as never), 3 as never);
});

test("a software version of another form is unknown", (t) => {
  for (const version of [undefined, null, "", 2, ["v1"], "v".repeat(256)]) {
    const server = decodeServer("i-1", bytes({ ...ENTRY, version }));
    t.is(server?.id, "i-1" as never);
    t.is(server?.softwareVersion, undefined);
  }
});

test("entries of other writers are ignored", (t) => {
  const wrong = [
    { ...ENTRY, slots: "many" },
    { ...ENTRY, address: 5 },
    { ...ENTRY, address: "chime.example:80" },
    { ...ENTRY, phase: "resting" },
    { ...ENTRY, born: 1.5 },
    { ...ENTRY, service: undefined },
    { ...ENTRY, models: "m" },
    { ...ENTRY, seq: "4" },
    [],
    null,
  ];
  for (const entry of wrong) t.is(decodeServer("i-1", bytes(entry)), undefined);
  t.is(decodeServer("i-1", Buffer.from([0xff, 0x00])), undefined);
});

test("the route's type decides whether a request may be retried", (t) => {
  const route = (fields: object) => ({
    name: "r",
    hostname: "Bells.example",
    path_prefix: "/a/",
    service: "chime",
    ...fields,
  });
  const configuration = decodeConfiguration(bytes({
    version: 7,
    routes: [
      route({ type: "safe" }),
      route({ type: "unsafe" }),
      route({ type: "stream", resumable: true }),
      route({ type: "stream", resumable: false }),
      route({ type: "unheard_of" }),
    ],
    services: [{ name: "cache", kv_store_addr: "10.9.9.9:1" }],
    tenants: [{ name: "st-mary", api_keys: ["k1", "k2"], rate_per_s: 5 }],
  }));
  t.deepEqual(configuration?.routes.map(({ kind }) => kind), [
    "repeatable",
    "at_most_once",
    "resumable_stream",
    "stream",
  ]);
  t.is(configuration?.routes[0]?.host, "bells.example");
  t.deepEqual(configuration?.cacheStores, ["10.9.9.9:1"]);
  t.is(configuration?.teamByKey.get("k2")?.id, "st-mary" as never);
});

test("malformed configuration and weights records are ignored", (t) => {
  t.is(decodeConfiguration(Buffer.from("{")), undefined);
  t.is(decodeNamedWeights(bytes({ model: "m", version: "new" })), undefined);
});

// Guards against a time that is no number in gossip: peers reject all of a
// daemon's messages while it tells of such an order.
test("an order whose time is not finite in milliseconds is malformed", (t) => {
  const order = { service: "chime", to: "v2", duration_s: 12 };
  t.is(decodeRollout(bytes(order))?.durationMs, 12_000);
  t.is(decodeRollout(bytes({ ...order, duration_s: 1e306 })), undefined);
});
