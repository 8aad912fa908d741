import process from "node:process";
import type { SoftwareVersion } from "@endivebend/request-path";
import test, { type ExecutionContext } from "ava";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type Engine, ORIGIN_TOPIC, TestFleet } from "./testing_fleet.ts";
import type { Draw } from "./testing_gossip_links.ts";
import { TakeUpCallers } from "./testing_take_ups.ts";

/** `FLEET_SEEDS=1-50` plays other seeds than the few of CI. */
const [FIRST_SEED = 1, LAST_SEED = 2] = (process.env["FLEET_SEEDS"] ?? "1-2")
  .split("-").map(Number);

const DAEMONS = 8;
const ENGINES = 4;
const DRAIN_MS = 2_000;
const ALL = Array.from({ length: DAEMONS }, (_, index) => index);

/** A fleet in which troubles are drawn. */
interface Play {
  readonly fleet: TestFleet;
  readonly callers: TakeUpCallers;
  readonly draw: Draw;
}

/** Engines of the version start at intervals, and all others leave. */
function release(
  { fleet }: Play,
  version: string | undefined,
  { count = ENGINES, gapMs = 100, rest = 0 } = {},
): void {
  const former = fleet.runningEngines()
    .filter(({ listed }) => listed.softwareVersion !== version);
  for (let index = 0; index < count; index++) {
    fleet.time.after(index * gapMs, () => void fleet.startEngine(version));
  }
  former.slice(0, former.length - rest).forEach((engine, index) =>
    leave(fleet, engine, 300 + index * gapMs)
  );
}

function leave(fleet: TestFleet, engine: Engine, afterMs: number): void {
  fleet.time.after(afterMs, () => {
    fleet.leave(engine, "reported");
    fleet.time.after(DRAIN_MS, () => fleet.stopEngine(engine));
  });
}

function restartAll({ fleet }: Play, awayMs = 1_500): void {
  restart(fleet, ALL, awayMs);
}

function restart(
  fleet: TestFleet,
  daemons: readonly number[],
  awayMs: number,
): void {
  for (const daemon of daemons) fleet.killDaemon(daemon);
  fleet.time.after(awayMs, () => {
    for (const daemon of daemons) fleet.startDaemon(daemon);
  });
}

function play(
  seed: number,
  options: { readonly areNamed?: boolean } = {},
): Play {
  const random = xoroshiro128plus(seed);
  const draw: Draw = (from, to) => uniformInt(random, from, to);
  const fleet = new TestFleet({ daemons: DAEMONS, engines: ENGINES });
  const callers = new TakeUpCallers({
    fleet,
    daemons: DAEMONS,
    draw,
    ...options,
  });
  return { fleet, callers, draw };
}

function assertNotJoined(t: ExecutionContext, { callers }: Play): void {
  const joined = callers.joined();
  const shown = joined.slice(0, 3).map((stream) =>
    stream.tries.map(({ requestId, events }) =>
      `${requestId}: ${events.map(({ version }) => version).join(" ")}`
    ).join("; ")
  );
  t.is(joined.length, 0, shown.join("\n"));
  const takenUp = callers.takenUp();
  const owed = takenUp.filter(({ couldGoOn }) => couldGoOn);
  t.log(
    `${callers.streams.length} streams, ${takenUp.length} taken up, ` +
      `${owed.length} while their version served, ` +
      `of which ${callers.shareGoneOn(owed).toFixed(2)} went on`,
  );
}

/** Take-ups go on at least half as often as new streams begin. */
function assertGoOn(t: ExecutionContext, { callers }: Play): void {
  const owed = callers.takenUp().filter(({ couldGoOn }) => couldGoOn);
  t.true(owed.length >= 12, `${owed.length} take-ups`);
  const share = callers.shareGoneOn(owed);
  t.true(share >= callers.shareBegun() / 2, `${share} went on`);
}

/** When the release begins; the service has settled on the first version. */
const RELEASE_MS = 14_000;

/** Troubles in which streams of a former version are taken up. */
const TROUBLES: Readonly<Record<string, (play: Play) => void>> = {
  "as the old version's servers have just left": (play) => {
    const { fleet, draw } = play;
    fleet.time.after(RELEASE_MS, () => release(play, "v2"));
    const endMs = RELEASE_MS + 700 + draw(0, 400);
    fleet.time.after(endMs, () => restartAll(play, 2_000));
  },
  "as the first new server starts": (play) => {
    const { fleet, draw } = play;
    fleet.time.after(RELEASE_MS, () => release(play, "v2"));
    const endMs = RELEASE_MS + draw(0, 500);
    fleet.time.after(endMs, () => restartAll(play, 2_500));
  },
  "amid a release that is taken back": (play) => {
    const { fleet, draw } = play;
    fleet.time.after(RELEASE_MS, () => release(play, "v2"));
    fleet.time.after(RELEASE_MS + 3_000, () => release(play, "v1"));
    const endMs = RELEASE_MS + 3_600 + draw(0, 500);
    fleet.time.after(endMs, () => restartAll(play, 2_000));
  },
  "while three versions serve": (play) => {
    const { fleet, draw } = play;
    const two = { count: 2, rest: 2 };
    fleet.time.after(RELEASE_MS, () => release(play, "v2", two));
    fleet.time.after(RELEASE_MS + 1_000, () => release(play, "v3", two));
    const endMs = RELEASE_MS + 1_700 + draw(0, 500);
    fleet.time.after(endMs, () => restartAll(play));
  },
  "twice": (play) => {
    const { fleet, draw } = play;
    fleet.time.after(RELEASE_MS, () => release(play, "v2"));
    const firstMs = RELEASE_MS + 700 + draw(0, 400);
    fleet.time.after(firstMs, () => restartAll(play, 800));
    fleet.time.after(RELEASE_MS + 4_500, () => release(play, "v3"));
    const secondMs = RELEASE_MS + 5_200 + draw(0, 400);
    fleet.time.after(secondMs, () => restartAll(play, 800));
  },
  "after a server has started again with another version": (play) => {
    const { fleet, draw } = play;
    const engine = fleet.runningEngines()[draw(0, ENGINES - 1)]!;
    fleet.time.after(RELEASE_MS, () => {
      fleet.restart(engine, "v2" as SoftwareVersion);
      fleet.time.after(600, () => fleet.report(engine));
    });
    const endMs = RELEASE_MS + 900 + draw(0, 400);
    fleet.time.after(endMs, () => restartAll(play));
  },
  "as servers start again with another version": (play) => {
    const { fleet, draw } = play;
    fleet.time.after(RELEASE_MS, () => restartAll(play, 800));
    for (const engine of fleet.runningEngines().slice(0, 2)) {
      fleet.time.after(RELEASE_MS + 600 + draw(0, 500), () => {
        fleet.restart(engine, "v2" as SoftwareVersion);
        fleet.time.after(900, () => fleet.report(engine));
      });
    }
  },
  "while the version of some servers is unknown": (play) => {
    const { fleet, draw } = play;
    fleet.time.after(RELEASE_MS, () => {
      release(play, undefined, { count: 2, rest: 2 });
    });
    const endMs = RELEASE_MS + 900 + draw(0, 400);
    fleet.time.after(endMs, () => restartAll(play));
  },
  "while the store is away": (play) => {
    const { fleet, draw } = play;
    fleet.time.after(RELEASE_MS, () => release(play, "v2"));
    fleet.time.after(RELEASE_MS + 500, () => {
      fleet.store.isDown = true;
    });
    const endMs = RELEASE_MS + 800 + draw(0, 400);
    fleet.time.after(endMs, () => restartAll(play, 1_500));
    fleet.time.after(RELEASE_MS + 2_400, () => {
      fleet.store.isDown = false;
    });
  },
  "as the store comes back from a copy": (play) => {
    const { fleet, draw } = play;
    fleet.time.after(RELEASE_MS, () => release(play, "v2"));
    fleet.time.after(
      RELEASE_MS + 600,
      () =>
        fleet.store.restore({ copyAgeMs: 2_500, awayMs: 200, rewriteMs: 400 }),
    );
    const endMs = RELEASE_MS + 900 + draw(0, 300);
    fleet.time.after(endMs, () => restartAll(play, 2_000));
  },
};

// Guards against a caller's stream that goes on at a server of another software
// version, at a daemon that has not seen it begin.
for (const [name, trouble] of Object.entries(TROUBLES)) {
  for (let seed = FIRST_SEED; seed <= LAST_SEED; seed++) {
    test.serial(`no stream is taken up at another software version when all daemons end ${name}, seed ${seed}`, async (t) => {
      const played = play(seed);
      played.callers.run(RELEASE_MS - 2_000, RELEASE_MS + 12_000);
      trouble(played);
      await played.fleet.time.advance(RELEASE_MS + 18_000);
      assertNotJoined(t, played);
      t.true(played.callers.takenUp().length >= 8, "streams are taken up");
    });
  }
}

// Guards against take-ups that are refused though servers of their version serve.
for (const named of ["v1 and v2", "v1, v2 and v3"]) {
  test.serial(`take-ups go on while ${named} serve and daemons end in turn`, async (t) => {
    const played = play(1);
    const { fleet, callers } = played;
    const versions = named.match(/v[23]/g) ?? [];
    fleet.time.after(RELEASE_MS - 4_000, () => {
      for (const version of versions) {
        fleet.startEngine(version);
        fleet.startEngine(version);
      }
    });
    callers.run(RELEASE_MS - 2_000, RELEASE_MS + 12_000);
    for (const daemon of ALL) {
      const atMs = RELEASE_MS + daemon * 1_300;
      fleet.time.after(atMs, () => restart(fleet, [daemon], 1_000));
    }
    await fleet.time.advance(RELEASE_MS + 18_000);
    assertNotJoined(t, played);
    assertGoOn(t, played);
  });
}

test.serial("no stream is taken up at another software version while a domain is cut off", async (t) => {
  for (const seed of [1, 2]) {
    const played = play(seed);
    const { fleet, callers, draw } = played;
    const domain = [1, 5];
    callers.run(RELEASE_MS - 2_000, RELEASE_MS + 14_000);
    fleet.time.after(RELEASE_MS - draw(0, 1_000), () => {
      fleet.cutOffFromStore(domain, "silent");
      fleet.cutOffGossip(domain, { together: true });
    });
    fleet.time.after(RELEASE_MS, () => release(played, "v2"));
    for (const daemon of [0, 2, 3, 4, 5, 6]) {
      const atMs = RELEASE_MS + 700 + daemon * 1_100;
      fleet.time.after(atMs, () => restart(fleet, [daemon], 1_000));
    }
    fleet.time.after(RELEASE_MS + 9_000, () => {
      fleet.healStore(domain);
      fleet.healGossip(domain);
    });
    await fleet.time.advance(RELEASE_MS + 20_000);
    assertNotJoined(t, played);
    assertGoOn(t, played);
  }
});

test.serial("no stream is taken up at another software version while servers crash amid releases", async (t) => {
  for (const seed of [1, 2, 3]) {
    const played = play(seed);
    const { fleet, callers, draw } = played;
    callers.run(RELEASE_MS - 2_000, RELEASE_MS + 14_000);
    const half = { count: 2, rest: 2 };
    fleet.time.after(RELEASE_MS, () => release(played, "v2", half));
    fleet.time.after(RELEASE_MS + 6_000, () => release(played, "v3", half));
    for (let index = 0; index < 16; index++) {
      fleet.time.after(RELEASE_MS + index * 800, () => {
        const running = fleet.runningEngines();
        const engine = running[draw(0, running.length - 1)]!;
        fleet.crash(engine);
        const daemon = draw(0, DAEMONS - 1);
        if (index % 3 === 0) restart(fleet, [daemon], 700);
      });
    }
    await fleet.time.advance(RELEASE_MS + 20_000);
    assertNotJoined(t, played);
    t.true(callers.takenUp().length >= 12, "streams are taken up");
  }
});

test.serial("take-ups go on after all daemons have ended while one version serves", async (t) => {
  const played = play(1);
  played.callers.run(RELEASE_MS - 2_000, RELEASE_MS + 8_000);
  played.fleet.time.after(RELEASE_MS, () => restartAll(played));
  await played.fleet.time.advance(RELEASE_MS + 14_000);
  assertGoOn(t, played);
});

// Guards against take-ups that are refused until a new fleet has settled.
test.serial("take-ups go on after all daemons of a new fleet have ended", async (t) => {
  const played = play(1);
  played.callers.run(2_000, 16_000);
  for (const endMs of [3_000, 8_000, 13_000]) {
    played.fleet.time.after(endMs, () => restartAll(played, 600));
  }
  await played.fleet.time.advance(22_000);
  assertNotJoined(t, played);
  assertGoOn(t, played);
});

test.serial("without a release daemons ask the log once each, and one settles the service", async (t) => {
  const played = play(1);
  const { fleet, callers } = played;
  callers.run(2_000, 40_000);
  await fleet.time.advance(42_000);
  const kinds = fleet.originCalls.map(({ kind }) => kind);
  const countOf = (kind: string) => kinds.filter((one) => one === kind).length;
  t.true(countOf("read") <= DAEMONS + 2, `${countOf("read")} reads`);
  t.is(countOf("append"), 1);
  t.is(countOf("trim"), 1);
});

test.serial("take-ups that do not name their stream go on only while one version serves", async (t) => {
  const played = play(1, { areNamed: false });
  const { fleet, callers } = played;
  callers.run(RELEASE_MS - 2_000, RELEASE_MS + 8_000);
  fleet.time.after(RELEASE_MS, () => restart(fleet, [0, 1], 1_000));
  fleet.time.after(RELEASE_MS + 4_000, () => release(played, "v2"));
  fleet.time.after(RELEASE_MS + 6_000, () => restart(fleet, [0, 1], 1_000));
  await fleet.time.advance(RELEASE_MS + 14_000);
  assertNotJoined(t, played);
  const takenUp = callers.takenUp();
  const before = takenUp.filter(({ brokeAtMs = 0 }) =>
    brokeAtMs < RELEASE_MS + 2_000
  );
  const after = takenUp.filter((stream) => !before.includes(stream));
  t.true(before.length >= 5 && after.length >= 5);
  t.true(callers.shareGoneOn(before) > 0.9);
  t.is(callers.shareGoneOn(after), 0);
});

// Guards against a log that daemons which start can't read in time.
test.serial("the log stays short while two versions serve for long", async (t) => {
  const played = play(1);
  const { fleet, callers } = played;
  const { time } = fleet;
  time.after(3_000, () => void fleet.startEngine("v2"));
  time.after(3_000, () => void fleet.startEngine("v2"));
  callers.run(2_000, 66_000);
  let longest = 0;
  const look = () => {
    longest = Math.max(longest, fleet.store.countKept(ORIGIN_TOPIC));
    time.after(1_000, look);
  };
  look();
  time.after(60_000, () => restartAll(played));
  await time.advance(70_000);
  assertNotJoined(t, played);
  assertGoOn(t, played);
  // Records of two trims and the life of a stream, at five a second a daemon.
  const most = DAEMONS * 5 * (9 + 2 * 10 + 2);
  t.log(`${longest} records at most`);
  t.true(longest <= most, `${longest} of ${most} records`);
});
