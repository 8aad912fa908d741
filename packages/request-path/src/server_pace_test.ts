import test from "ava";
import { type BackendServerId, brandId, type VmId } from "@endivebend/types";
import { ServerPaces } from "./server_pace.ts";
import type { KnownServer } from "./server_registry.ts";
import { ServerRegistry } from "./server_registry.ts";
import { listedServer, SERVICE } from "./testing.ts";
import type { RouteName } from "./types.ts";

const ROUTE = brandId<RouteName>("r");
const PEER = brandId<VmId>("vm-2");

/** A service with servers `e0`, `e1` and so on. */
function service({ servers = 2, statesFigure = true } = {}) {
  const registry = new ServerRegistry();
  const steps: string[] = [];
  const paces = new ServerPaces({
    registry,
    self: brandId("vm-1"),
    daemons: () => [brandId("vm-1"), PEER],
    log: { decision: (step) => void steps.push(step) },
    metrics: { count() {}, observeMs() {} },
  });
  const list = (index: number, startedAtMs = 1) => {
    registry.upsert(listedServer(`e${index}`, { startedAtMs }));
    return registry.get(brandId(`e${index}`))!;
  };
  const known = Array.from({ length: servers }, (_, index) => list(index));
  /** A prompt that is read at a pace. */
  const read = (
    server: KnownServer,
    at: {
      readonly nowMs: number;
      readonly tokensPerMs: number;
      readonly isSpoiled?: boolean;
      readonly figure?: number;
    },
  ) => {
    const stated = statesFigure ? at.figure ?? 100 : undefined;
    const sample = paces.sent(server, {
      route: ROUTE,
      tokensToRead: 4_000,
      isSpoiled: at.isSpoiled ?? false,
    }, at.nowMs);
    const endMs = at.nowMs + 8 + 4_000 / at.tokensPerMs;
    registry.recordLoad(server.listed.id, {
      running: 1,
      waiting: 0,
      slots: 8,
      ...(stated === undefined ? {} : { slowdownPercent: stated }),
    }, endMs);
    sample.progressed(endMs);
    sample.ended(endMs);
    return endMs;
  };
  return { registry, paces, known, list, read, steps };
}

test("without an observation the pace is that of the constants", (t) => {
  const { paces, known: [server] } = service();
  const pace = paces.of(server!, 1_000);
  t.like(pace, {
    tokensPerMs: 38.4,
    queueTokensPerMs: 28,
    slowdown: 1,
    maxRunning: 16,
    maxOwnRunning: Number.POSITIVE_INFINITY,
  });
  t.is(pace.callMs(ROUTE), 86);
});

// Earlier deployments are served as before, however noisy their engines are.
test("servers that are equal but for noise keep the constants", (t) => {
  const { paces, known, read } = service({ servers: 8, statesFigure: false });
  const noise = [0.6, 1.3, 0.9, 1.6, 0.7, 1.1, 1.4];
  let turn = 0;
  for (let nowMs = 0; nowMs < 20_000; nowMs += 100) {
    const server = known[(nowMs / 100) % 8]!;
    read(server, { nowMs, tokensPerMs: 30 * noise[turn++ % 7]! });
  }
  t.false(paces.isInUse(SERVICE));
  t.is(paces.of(known[0]!, 20_200).tokensPerMs, 38.4);
});

test("speeds that differ clearly are used also without a fourth figure", (t) => {
  const { paces, known, read } = service({ servers: 6, statesFigure: false });
  const speeds = [0.6, 1, 1.6];
  for (let nowMs = 0; nowMs < 6_000; nowMs += 100) {
    const index = (nowMs / 100) % 6;
    const noise = nowMs % 200 === 0 ? 0.85 : 1.15;
    const tokensPerMs = 40 * speeds[index % 3]! * noise;
    read(known[index]!, { nowMs, tokensPerMs });
  }
  const [slow, , fast] = known.map((server) => paces.of(server, 6_300));
  t.true(paces.isInUse(SERVICE));
  const ratio = fast!.tokensPerMs / slow!.tokensPerMs;
  t.true(ratio > 2 && ratio < 3.2, `${ratio}`);
});

test("a server that was not measured has the median of its service", (t) => {
  const { paces, known, read } = service({ servers: 4 });
  for (const [index, tokensPerMs] of [20, 40, 80].entries()) {
    for (const nowMs of [100, 400, 700]) {
      read(known[index]!, { nowMs, tokensPerMs });
    }
  }
  const pace = paces.of(known[3]!, 2_000);
  t.true(Math.abs(pace.tokensPerMs - 40) < 4, `${pace.tokensPerMs}`);
  t.is(pace.queueTokensPerMs, pace.tokensPerMs);
});

test("the fourth figure slows a server for a moment and not for good", (t) => {
  const { paces, known: [server], read } = service();
  let nowMs = 0;
  for (let count = 0; count < 6; count++) {
    nowMs = read(server!, { nowMs: nowMs + 10, tokensPerMs: 50 });
  }
  const usual = paces.of(server!, nowMs).tokensPerMs;
  nowMs = read(server!, { nowMs: nowMs + 10, tokensPerMs: 20, figure: 250 });
  const slowed = paces.of(server!, nowMs);
  t.true(slowed.slowdown > 2.4);
  t.true(slowed.tokensPerMs < usual / 2);
  const later = paces.of(server!, nowMs + 800);
  t.true(later.tokensPerMs > usual * 0.9, `${later.tokensPerMs} of ${usual}`);
});

test("answers whose time is not the server's own don't count", (t) => {
  const { paces, known: [server], read } = service();
  read(server!, { nowMs: 100, tokensPerMs: 50 });
  const before = paces.of(server!, 1_000).tokensPerMs;
  read(server!, { nowMs: 1_000, tokensPerMs: 2, isSpoiled: true });
  const sample = paces.sent(server!, {
    route: ROUTE,
    tokensToRead: 4_000,
    isSpoiled: false,
  }, 4_000);
  // Another attempt was sent, as this one is silent.
  sample.spoil();
  sample.progressed(6_000);
  const after = paces.of(server!, 6_300).tokensPerMs;
  t.true(Math.abs(after / before - 1) < 0.06, `${after} after ${before}`);
});

test("short prompts and those behind long queues don't tell the speed", (t) => {
  const { paces, known: [server], registry } = service();
  const send = (tokensToRead: number, nowMs: number) => {
    const work = { route: ROUTE, tokensToRead, isSpoiled: false };
    paces.sent(server!, work, nowMs).progressed(nowMs + 2_000);
  };
  send(600, 0);
  registry.setPeerWorkLookup(() => ({ running: 4, prefillTokens: 40_000 }));
  send(4_000, 3_000);
  // Both would make it slow; only the figure puts the model in use.
  registry.recordLoad(server!.listed.id, {
    running: 1,
    waiting: 0,
    slots: 8,
    slowdownPercent: 100,
  }, 5_000);
  send(600, 4_000);
  t.true(paces.isInUse(SERVICE));
  t.is(paces.of(server!, 6_300).tokensPerMs, 38.4);
});

test("calls of one route take longer at a slow server", (t) => {
  const { paces, known, registry } = service();
  const call = (server: KnownServer, nowMs: number, durationMs: number) => {
    const work = { route: ROUTE, tokensToRead: undefined, isSpoiled: false };
    const sample = paces.sent(server, work, nowMs);
    registry.recordLoad(server.listed.id, {
      running: 1,
      waiting: 0,
      slots: 8,
      slowdownPercent: 100,
    }, nowMs + durationMs);
    sample.progressed(nowMs + durationMs);
    sample.ended(nowMs + durationMs);
  };
  for (let nowMs = 0; nowMs < 20_000; nowMs += 200) {
    call(known[0]!, nowMs, 20);
    call(known[1]!, nowMs + 100, 60);
  }
  const [fast, slow] = known.map((server) =>
    paces.of(server, 21_000).callMs(ROUTE)
  );
  t.true(slow! > 2 * fast!, `${slow} and ${fast}`);
  t.true(slow! < 86);
});

test("peers are told a speed for one round, and again when it has changed", (t) => {
  const { paces, known: [server], read } = service();
  const id = server!.listed.id;
  const pending = (nowMs: number) => paces.pending({ nowMs, roundMs: 400 })[id];
  t.is(pending(50), undefined);
  let nowMs = read(server!, { nowMs: 100, tokensPerMs: 57.6 });
  t.is(pending(nowMs), 150);
  t.is(pending(nowMs + 399), 150);
  nowMs = read(server!, { nowMs: nowMs + 600, tokensPerMs: 59 });
  t.is(pending(nowMs), undefined, "it differs by less than a tenth");
  nowMs = read(server!, { nowMs: nowMs + 100, tokensPerMs: 30 });
  t.true(pending(nowMs)! < 130);
});

test("a message names a few dozen servers at most, the others follow", (t) => {
  const { paces, known, read } = service({ servers: 60 });
  for (const server of known) read(server, { nowMs: 100, tokensPerMs: 60 });
  const told = new Set<string>();
  for (let nowMs = 1_000; nowMs < 3_000; nowMs += 500) {
    const ids = Object.keys(paces.pending({ nowMs, roundMs: 400 }));
    t.true(ids.length <= 24);
    for (const id of ids) told.add(id);
  }
  t.is(told.size, 60);
});

test("what peers tell counts, and repeating it does not", (t) => {
  const { paces, known: [server, other], read } = service();
  read(other!, { nowMs: 100, tokensPerMs: 38.4 });
  const { id } = server!.listed;
  const tell = (percent: number, nowMs: number) =>
    paces.recordPeer(id, { vm: PEER, percent, nowMs });
  tell(160, 1_000);
  const once = paces.of(server!, 1_300).tokensPerMs;
  t.true(once > 45, `${once}`);
  for (let nowMs = 1_400; nowMs < 3_000; nowMs += 200) tell(160, nowMs);
  t.true(Math.abs(paces.of(server!, 3_200).tokensPerMs - once) < 0.5);
  paces.recordPeer(brandId<BackendServerId>("gone"), {
    vm: PEER,
    percent: 900,
    nowMs: 3_000,
  });
  tell(Number.MAX_SAFE_INTEGER, 3_300);
  t.true(paces.of(server!, 3_600).tokensPerMs < 385);
});

test("servers that are all found at the start get no slow start", (t) => {
  const { paces, known, read } = service();
  read(known[0]!, { nowMs: 100, tokensPerMs: 40 });
  for (const server of known) t.is(paces.of(server, 1_000).maxRunning, 16);
});

for (
  const [name, startAgain] of Object.entries({
    "is new": ({ list }: ReturnType<typeof service>) => list(7),
    "is reborn": ({ list }: ReturnType<typeof service>) => list(1, 5_000),
    "comes back after a silence": (
      { registry, paces, known }: ReturnType<typeof service>,
    ) => {
      registry.recordSilence(known[1]!.listed.id, 4_000);
      paces.of(known[1]!, 4_100);
      registry.recordActivity(known[1]!.listed.id, 4_900);
      return known[1]!;
    },
  })
) {
  test(`a server that ${name} gets few requests at first`, (t) => {
    const all = service();
    all.read(all.known[0]!, { nowMs: 100, tokensPerMs: 40 });
    t.is(all.paces.of(all.known[1]!, 200).maxRunning, 16);
    const server = startAgain(all);
    const pace = all.paces.of(server, 5_000);
    t.is(pace.maxRunning, 4);
    t.is(pace.maxOwnRunning, 2);
    t.true(all.steps.includes("slow_start"));
    let nowMs = 5_000;
    for (let count = 0; count < 12; count++) {
      nowMs = all.read(server, { nowMs: nowMs + 10, tokensPerMs: 40 });
    }
    t.is(all.paces.of(server, nowMs).maxRunning, 16);
    t.is(
      all.paces.of(server, nowMs).maxOwnRunning,
      Number.POSITIVE_INFINITY,
    );
  });
}

test("the state of servers that are gone is dropped", (t) => {
  const { paces, registry, known: [server], read } = service();
  read(server!, { nowMs: 100, tokensPerMs: 80 });
  registry.forgetMoved(server!.listed.id);
  const other = registry.get(brandId("e1"))!;
  paces.of(other, 1_000);
  t.deepEqual(paces.pending({ nowMs: 1_000, roundMs: 400 }), {});
  t.is(registry.get(server!.listed.id), undefined);
});
