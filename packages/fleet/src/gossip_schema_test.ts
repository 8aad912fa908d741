import { deflateRawSync } from "node:zlib";
import test from "ava";
import fc from "fast-check";
import {
  encodeDatagram,
  FleetState,
  type GossipMessage,
  parseDatagram,
} from "./mod.ts";
import { withHeldMs, withKind } from "./gossip_message.ts";
import { gossipMessage } from "./testing.ts";
import { type BackendServerId, brandId } from "@endivebend/types";

const SEED = Number(process.env.SEED ?? 20_261_204);

const FULL: GossipMessage = gossipMessage({
  weights: [{
    server: brandId("e"),
    model: brandId("m"),
    weights: 2,
    isDone: false,
  }],
  named: { [brandId<GossipMessage["vm"]>("m")]: [[2, 30]] } as never,
  suspects: [brandId("e")],
  placed: { e: ["part"] },
  kept: { e: [["part", 200]] },
  records: { operator: 4, servers: -1 },
  readAgesMs: { servers: 90 },
  paces: { [brandId<BackendServerId>("e")]: 160 },
  rollouts: [{
    service: brandId("s"),
    to: "v2" as never,
    order: 7,
    durationMs: 12_000,
    ageMs: 900,
    isAgeGuessed: true,
    phase: "running",
    applied: 0.03,
    barred: ["v1" as never],
    plan: { epoch: 3, share: 0.03, servers: [brandId("e")], validMs: 900 },
  }],
  versionCounts: [{
    service: brandId("s"),
    order: 7,
    routes: { r: [3, 1, 3, 90, 2, 1, 95, 9_000] } as never,
    doubtful: { e: { r: [1, 0] } } as never,
    requests: 100,
    exposed: 3,
  }],
});

/** A datagram with the tag of a message and any content. */
function datagramOf(text: string): Buffer {
  const [tag = 0] = encodeDatagram({ kind: "message", message: FULL });
  return Buffer.concat([Buffer.from([tag]), deflateRawSync(text)]);
}

function decode(value: unknown): GossipMessage | undefined {
  const datagram = parseDatagram(datagramOf(JSON.stringify(value)));
  return datagram?.kind === "message" ? datagram.message : undefined;
}

test("a message with each field in use is decoded as it was encoded", (t) => {
  const message = { kind: "message", message: FULL } as const;
  t.deepEqual(parseDatagram(encodeDatagram(message)), message);
  const bundle = {
    kind: "bundle_to_serve",
    bundle: {
      failureDomain: FULL.failureDomain,
      messages: [{ message: FULL, ageMs: 120 }],
    },
  } as const;
  t.deepEqual(parseDatagram(encodeDatagram(bundle)), bundle);
});

// Forms that ended a daemon with an uncaught exception.
for (
  const [name, fields] of Object.entries({
    "an empty entry of weights": { weights: [null] },
    "named weights that are no list": { named: { m: null } },
    "placed segments that are no list": { placed: { m: null } },
    "an address that is a name": { address: "nowhere" },
    "an address with port 0": { address: "127.0.0.1:0" },
    "an address with a port out of range": { address: "127.0.0.1:99999" },
    "work that is no pair": { work: { e: [1] } },
    "spending that is no number": { spent: { t: "many" } },
    "a pace that is no number": { paces: { e: "fast" } },
    "an endless list of suspects": { suspects: Array(30_000).fill("e") },
  })
) {
  test(`a message with ${name} is ignored`, (t) => {
    t.is(decode({ ...FULL, ...fields }), undefined);
  });
}

/** Replaces the value at a path through the message. */
function replaceAt(target: unknown, path: readonly number[], value: unknown) {
  const copy = structuredClone(target) as Record<string, unknown>;
  let at = copy;
  for (;;) {
    const keys = Object.keys(at);
    const key = keys[(path[0] ?? 0) % keys.length]!;
    const next = at[key];
    const isLast = path.length <= 1 || typeof next !== "object" ||
      next === null || Object.keys(next).length === 0;
    if (isLast) {
      at[key] = value;
      return copy;
    }
    at = next as Record<string, unknown>;
    path = path.slice(1);
  }
}

test("a message with any value replaced is ignored or harmless", (t) => {
  t.log(`seed ${SEED}; set SEED for another`);
  const path = fc.array(fc.nat(20), { minLength: 1, maxLength: 4 });
  fc.assert(
    fc.property(path, fc.jsonValue(), (at, value) => {
      const message = decode(replaceAt(FULL, at, value));
      if (message === undefined) return;
      const fleet = new FleetState(brandId("vm-1"), brandId("a"), {
        limitWindowMs: 10_000,
      });
      fleet.applyMessage(message, 0);
      fleet.applyMessage({ ...message, sequence: message.sequence + 1 }, 5);
      fleet.workAt(brandId("e"), 10);
      fleet.reachableShare(10);
    }),
    { seed: SEED, numRuns: 2_000 },
  );
  t.pass();
});

// Daemons of the old and the new build run side by side.
test("a message with a field of a later build is read", (t) => {
  const later = { ...FULL, futureField: [{ any: "thing" }] };
  t.is(decode(later)?.paces?.[brandId<BackendServerId>("e")], 160);
  const { paces: _, ...earlier } = FULL;
  t.is(decode(earlier)?.vm, FULL.vm);
});

test("datagrams that are no message are ignored", (t) => {
  for (const text of ["{", '{"vm":1}', `"${"x".repeat(2_000_000)}"`]) {
    t.is(parseDatagram(datagramOf(text)), undefined);
  }
  const bytes = encodeDatagram({ kind: "message", message: FULL });
  bytes[0] = 0x7b;
  t.is(parseDatagram(bytes), undefined, "a format that is not known");
});

test("bytes of any kind are ignored", (t) => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      return parseDatagram(Buffer.from(bytes)) === undefined;
    }),
    { seed: SEED, numRuns: 2_000 },
  );
  t.pass();
});

test("a request for a bundle is read only if all its fields hold", (t) => {
  const request = {
    failureDomain: FULL.failureDomain,
    address: "10.0.0.2:7600",
    isRelay: true,
  };
  const kind = "bundle_request";
  t.deepEqual(parseDatagram(encodeDatagram({ kind, request })), {
    kind,
    request,
  });
  const wrong = { ...request, address: "elsewhere" };
  t.is(parseDatagram(encodeDatagram({ kind, request: wrong })), undefined);
});

test("a bundle that was held brings older messages", (t) => {
  const bundle = {
    failureDomain: FULL.failureDomain,
    messages: [{ message: FULL, ageMs: 120 }],
  };
  const bytes = encodeDatagram({ kind: "bundle", bundle });
  const held = withKind(
    withHeldMs(withHeldMs(bytes, 300), 40),
    "bundle_to_serve",
  );
  t.deepEqual(parseDatagram(held), {
    kind: "bundle_to_serve",
    bundle: { ...bundle, messages: [{ message: FULL, ageMs: 460 }] },
  });
  t.is(parseDatagram(held.subarray(0, 3)), undefined);
});
