import test from "ava";
import { rendezvousWeight } from "@endivebend/routing";
import { type BackendServerId, brandId } from "@endivebend/types";
import type { KnownServer } from "./server_registry.ts";
import { SlotAdmission, type SlotRequest } from "./slot_admission.ts";

const SLOTS = 12;
const URGENT: SlotRequest = { rank: "first", urgency: 0, isShort: true };
const LESS_URGENT: SlotRequest = { rank: "other", urgency: 2, isShort: false };

interface TestServer {
  readonly server: KnownServer;
  work: { running: number; prefillTokens: number };
}

function serverWith(
  name: string,
  running: number,
  state: Partial<KnownServer> = {},
): TestServer {
  const server = {
    listed: { id: brandId<BackendServerId>(name), slots: SLOTS },
    loadingUntilMs: 0,
    load: undefined,
    loadAtMs: Number.NEGATIVE_INFINITY,
    ...state,
  } as unknown as KnownServer;
  return { server, work: { running, prefillTokens: 0 } };
}

/** The seed makes a test repeat. */
function randomFrom(seed: number): () => number {
  let index = 0;
  return () => rendezvousWeight(`${seed}`, `${index++}`) / 2 ** 32;
}

function admissionOf(fleetSize: number, seed = 1): SlotAdmission {
  return new SlotAdmission({
    fleetSize: () => fleetSize,
    random: randomFrom(seed),
  });
}

function namesOf(servers: readonly TestServer[]): string[] {
  return servers.map(({ server }) => server.listed.id);
}

test("nothing is refused while half of the slots are free", (t) => {
  const admission = admissionOf(77);
  const servers = [serverWith("busy", 11), serverWith("idle", 0)];
  for (const nowMs of [0, 1, 2, 3, 4, 5]) {
    for (const { server } of servers) {
      admission.noteSent(server.listed.id, nowMs);
    }
    t.is(admission.select(LESS_URGENT, servers, nowMs).length, 2);
  }
});

// Guards against less urgent prompts that hold the slots which urgent ones then
// wait for.
test("the last slots are left to the most urgent route", (t) => {
  const admission = admissionOf(1);
  const servers = ["a", "b", "c"].map((name) => serverWith(name, 10));
  t.deepEqual(admission.select(LESS_URGENT, servers, 0), []);
  t.is(admission.select(URGENT, servers, 0).length, 3);
});

// Guards against answers that all begin late because as many requests wait at
// an engine as run there.
test("no request is admitted to wait behind full slots", (t) => {
  const admission = admissionOf(1);
  const servers = ["a", "b"].map((name) => serverWith(name, 14));
  t.deepEqual(admission.select(URGENT, servers, 0), []);
});

// Guards against engines that load weights: they reject what they get at once,
// look idle, and got half of all attempts.
test("engines that load weights or have just rejected a request are left out", (t) => {
  const admission = admissionOf(1);
  const loading = serverWith("loading", 0, { loadingUntilMs: 5_000 });
  const rejecting = serverWith("rejecting", 0);
  const busy = serverWith("busy", 8);
  admission.noteRejected(rejecting.server.listed.id, 1_000);
  const servers = [loading, rejecting, busy];
  t.deepEqual(namesOf(admission.select(URGENT, servers, 1_100)), ["busy"]);
  const later = namesOf(admission.select(URGENT, servers, 1_500));
  t.true(later.includes("rejecting"));
});

// Guards against sending to an engine by what peers told before it filled up.
test("a load that the engine has just stated goes before what peers tell", (t) => {
  const admission = admissionOf(1);
  const load = { running: 12, waiting: 3, slots: SLOTS };
  const stated = serverWith("stated", 1, { load, loadAtMs: 900 });
  const busy = serverWith("busy", 8);
  const servers = [stated, busy];
  t.deepEqual(namesOf(admission.select(URGENT, servers, 1_000)), ["busy"]);
});

// Guards against flooding: 22 daemons that saw the same engine become idle sent
// it four times its slots before they heard of each other.
test("daemons that see the same idle engine don't flood it", (t) => {
  for (const daemons of [8, 22, 77]) {
    for (const seed of [1, 2, 3, 4, 5]) {
      let sent = 0;
      for (let daemon = 0; daemon < daemons; daemon++) {
        const admission = admissionOf(daemons, seed * 1_000 + daemon);
        const servers = [serverWith("idle", 0), serverWith("full", 14)];
        for (let nowMs = 0; nowMs < 10; nowMs++) {
          const [chosen] = admission.select(URGENT, servers, nowMs);
          if (chosen === undefined) continue;
          sent += 1;
          admission.noteSent(chosen.server.listed.id, nowMs);
        }
      }
      t.true(sent >= SLOTS, `${daemons} daemons, seed ${seed}: ${sent}`);
      t.true(sent <= 3 * SLOTS, `${daemons} daemons, seed ${seed}: ${sent}`);
    }
  }
});

test("refusals end with the shortage", (t) => {
  const admission = admissionOf(22);
  const servers = ["a", "b"].map((name) => serverWith(name, 14));
  t.deepEqual(admission.select(LESS_URGENT, servers, 0), []);
  for (const server of servers) server.work.running = 5;
  t.is(admission.select(LESS_URGENT, servers, 1).length, 2);
});
