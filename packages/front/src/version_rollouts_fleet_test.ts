import test, { type ExecutionContext } from "ava";
import {
  type Engine,
  type FleetOptions,
  type Outcome,
  TestFleet,
} from "./testing_fleet.ts";
import type { AnswerFault } from "./testing_version_rollouts.ts";

const BOUNDS = { exposeShare: 0.1, exposeSlack: 50, rollbackMs: 5_000 };
const DURATION_MS = 12_000;
/** The order comes when the daemons know each other. */
const ORDER_AT_MS = 4_000;
const SEND_INTERVAL_MS = 5;
const ROUTES = ["/talk", "/count"];
const PATHS = ["/", "/", "/talk", "/count"];
const BAD_AFTER_MS = 20;
/** Servers of a version that was rolled back drain by then. */
const DRAIN_DELAY_MS = 2_500;

const FAILURE: AnswerFault = { kind: "failure", afterMs: BAD_AFTER_MS };

/** One order in a fleet whose servers stop as the status says. */
class Play {
  readonly fleet: TestFleet;
  readonly old: Engine[];
  readonly newer: Engine[] = [];
  /** When each bad answer of a new server was given. */
  readonly badAtMs: number[] = [];
  orderedAtMs = 0;
  #serial = 0;
  #send = true;
  readonly #daemons: number;

  constructor(
    { daemons = 6, engines = 8, ...options }: Partial<FleetOptions> = {},
  ) {
    this.#daemons = daemons;
    this.fleet = new TestFleet({
      daemons,
      engines,
      rollsOut: true,
      rolloutBounds: BOUNDS,
      routes: ROUTES,
      ...options,
    });
    this.old = this.fleet.runningEngines();
    const { statuses, time } = this.fleet;
    statuses.onWrite = ({ phase, to }) => {
      if (phase === "succeeded") this.#stopAll(to, false);
      if (phase !== "rolled_back") return;
      time.after(DRAIN_DELAY_MS, () => this.#leaveAll(to));
    };
  }

  get phases(): string[] {
    return this.fleet.statuses.written.map(({ phase }) => phase);
  }

  /** The end of the order, in milliseconds after it. */
  get endedAfterMs(): number {
    const last = this.fleet.statuses.written.at(-1);
    return last === undefined || last.phase === "running"
      ? Number.POSITIVE_INFINITY
      : last.atMs - this.orderedAtMs;
  }

  get newIds(): Set<string> {
    return new Set(this.newer.map(({ listed }) => String(listed.id)));
  }

  /** Sets what share of a version's answers has the fault. */
  spoil(
    version: string,
    share: number,
    faultOf: (engine: Engine, route: string) => AnswerFault | undefined,
  ): void {
    this.fleet.answerFault = (engine, route) => {
      if (engine.listed.softwareVersion !== version as never) return undefined;
      this.#serial = (this.#serial * 1_103_515_245 + 12_345) % 2_147_483_648;
      if (this.#serial / 2_147_483_648 >= share) return undefined;
      const fault = faultOf(engine, route);
      if (fault !== undefined) this.badAtMs.push(this.fleet.time.nowMs);
      return fault;
    };
  }

  order(to: string, engines = this.old.length): void {
    const { fleet } = this;
    this.orderedAtMs = fleet.time.nowMs;
    for (let index = 0; index < engines; index++) {
      this.newer.push(fleet.startEngine(to));
    }
    fleet.store.put("operator", "rollout/engines", {
      to,
      durationMs: DURATION_MS,
    });
  }

  async run(durationMs: number): Promise<void> {
    const { fleet } = this;
    const untilMs = fleet.time.nowMs + durationMs;
    while (fleet.time.nowMs < untilMs) {
      if (this.#send) this.#sendOne();
      await fleet.time.advance(SEND_INTERVAL_MS);
    }
  }

  /** Plays one order to `v2` to its end and some seconds more. */
  async playOrder(during: () => void | Promise<void> = () => {}) {
    await this.run(ORDER_AT_MS);
    this.order("v2");
    await during();
    const leftMs = this.orderedAtMs + DURATION_MS + 2_000 -
      this.fleet.time.nowMs;
    await this.run(leftMs);
    this.#send = false;
    await this.run(4_000);
  }

  /** Plays another order, with new servers. */
  async playOrderAgain(to: string): Promise<void> {
    this.#send = true;
    this.badAtMs.length = 0;
    this.newer.length = 0;
    this.order(to);
    await this.run(DURATION_MS + 2_000);
    this.#send = false;
    await this.run(4_000);
  }

  /** Requests sent from the order to its time limit. */
  get sentDuring(): Outcome[] {
    const untilMs = this.orderedAtMs + DURATION_MS;
    return this.fleet.outcomes.filter(({ sentAtMs }) =>
      sentAtMs >= this.orderedAtMs && sentAtMs < untilMs
    );
  }

  /** Requests that came to new servers until the time limit. */
  exposure(): number {
    const ids = this.newIds;
    const untilMs = this.orderedAtMs + DURATION_MS;
    return this.fleet.arrivals.filter(({ engine, atMs }) =>
      ids.has(engine) && atMs < untilMs
    ).length;
  }

  /** The last arrival at a new server, after the fiftieth bad answer. */
  lastAfterBadMs(): number {
    const fiftiethMs = this.badAtMs[49];
    if (fiftiethMs === undefined) return 0;
    const ids = this.newIds;
    const last = this.fleet.arrivals.findLast(({ engine }) => ids.has(engine));
    return (last?.atMs ?? 0) - fiftiethMs;
  }

  lost(): Outcome[] {
    return this.sentDuring.filter(({ hasEnded }) => !hasEnded);
  }

  #sendOne(): void {
    const { fleet } = this;
    const index = fleet.outcomes.length;
    let daemon = index % this.#daemons;
    // Callers go to daemons that run.
    for (let tried = 0; tried < this.#daemons; tried++) {
      if (fleet.isReady(daemon)) break;
      daemon = (daemon + 1) % this.#daemons;
    }
    const path = PATHS[Math.floor(index / this.#daemons) % PATHS.length]!;
    fleet.send(daemon, [], { path, events: 6 });
  }

  #stopAll(to: string, areNew: boolean): void {
    for (const engine of this.fleet.runningEngines()) {
      const isNew = engine.listed.softwareVersion === to as never;
      if (isNew === areNew) this.fleet.stopEngine(engine);
    }
  }

  #leaveAll(to: string): void {
    for (const engine of this.fleet.runningEngines()) {
      const isNew = engine.listed.softwareVersion === to as never;
      if (isNew) this.fleet.leave(engine, "reported");
    }
    this.fleet.time.after(DRAIN_DELAY_MS, () => this.#stopAll(to, true));
  }
}

function checkRolledBack(t: ExecutionContext, play: Play): void {
  const exposure = play.exposure();
  const bound = BOUNDS.exposeShare * play.sentDuring.length +
    BOUNDS.exposeSlack;
  t.log({
    exposure,
    bound,
    bad: play.badAtMs.length,
    endedAfterMs: play.endedAfterMs,
    lastAfterBadMs: play.lastAfterBadMs(),
  });
  t.is(play.phases.at(-1), "rolled_back");
  t.true(play.endedAfterMs < DURATION_MS);
  t.true(exposure <= bound, `${exposure} of ${bound}`);
  t.true(play.lastAfterBadMs() <= BOUNDS.rollbackMs);
}

function checkSucceeded(t: ExecutionContext, play: Play): void {
  t.log({ endedAfterMs: play.endedAfterMs, lost: play.lost().length });
  t.is(play.phases.at(-1), "succeeded");
  t.true(play.endedAfterMs < DURATION_MS);
}

test("a good version succeeds in time and no request is lost as the old servers stop", async (t) => {
  const play = new Play();
  await play.playOrder();
  checkSucceeded(t, play);
  t.deepEqual(play.lost(), []);
  t.is(play.phases.filter((phase) => phase !== "running").length, 1);
});

test("without the bounds both versions serve and no status is written", async (t) => {
  const play = new Play({ rolloutBounds: undefined as never });
  await play.playOrder();
  t.deepEqual(play.phases, []);
  t.true(play.exposure() > play.sentDuring.length / 4);
  t.deepEqual(play.lost(), []);
});

test("a version that is bad at once is rolled back within the bound", async (t) => {
  const play = new Play();
  play.spoil("v2", 0.4, () => FAILURE);
  await play.playOrder();
  checkRolledBack(t, play);
});

test("a version that gets bad while it is watched is rolled back", async (t) => {
  const play = new Play();
  const badFromMs = ORDER_AT_MS + 4_500;
  play.spoil(
    "v2",
    0.3,
    () => play.fleet.time.nowMs >= badFromMs ? FAILURE : undefined,
  );
  await play.playOrder();
  checkRolledBack(t, play);
});

test("a version that gets bad once everything moves to it is rolled back", async (t) => {
  const play = new Play();
  const badFromMs = ORDER_AT_MS + 7_300;
  play.spoil(
    "v2",
    0.5,
    () => play.fleet.time.nowMs >= badFromMs ? FAILURE : undefined,
  );
  // Long answers hold the order up, as they do on old servers.
  await play.playOrder(async () => {
    await play.run(6_800);
    play.fleet.send(0, [], { events: 60 });
  });
  checkRolledBack(t, play);
});

test("a version that is bad under load is rolled back", async (t) => {
  const play = new Play();
  // An old server has about 6 requests at a time.
  play.spoil(
    "v2",
    0.6,
    ({ attempts }) => attempts.size >= 4 ? FAILURE : undefined,
  );
  await play.playOrder();
  checkRolledBack(t, play);
});

test("a version that is bad on one route is rolled back", async (t) => {
  const play = new Play();
  play.spoil("v2", 0.5, (_, route) => route === "/count" ? FAILURE : undefined);
  await play.playOrder();
  checkRolledBack(t, play);
});

test("a version that is only slower is rolled back", async (t) => {
  const play = new Play();
  play.spoil("v2", 0.5, () => ({ kind: "slow", byMs: 400 }));
  await play.playOrder();
  checkRolledBack(t, play);
});

test("failures that old servers have too don't stop a good version", async (t) => {
  const play = new Play();
  let serial = 7;
  play.fleet.answerFault = () => {
    serial = (serial * 1_103_515_245 + 12_345) % 2_147_483_648;
    return serial / 2_147_483_648 < 0.1 ? FAILURE : undefined;
  };
  await play.playOrder();
  checkSucceeded(t, play);
});

/** Steps of an order at which something may happen, in ms after the order. */
const STEPS_MS = [100, 1_500, 5_600, 6_500, 7_050, 7_400];

function holderOf({ fleet }: Play): number {
  return Number(fleet.rollout.holder?.replace("vm-", ""));
}

for (const atMs of STEPS_MS) {
  test(`a good version succeeds although the holder is killed ${atMs} ms after the order`, async (t) => {
    const play = new Play();
    await play.playOrder(async () => {
      await play.run(atMs);
      const holder = holderOf(play);
      play.fleet.killDaemon(holder);
      play.fleet.time.after(1_000, () => play.fleet.startDaemon(holder));
    });
    checkSucceeded(t, play);
  });

  test(`a holder that is paused ${atMs} ms after the order ends nothing that its successor drives`, async (t) => {
    const play = new Play();
    await play.playOrder(async () => {
      await play.run(atMs);
      play.fleet.freezeDaemon(holderOf(play), 4_000);
    });
    checkSucceeded(t, play);
    t.is(play.phases.filter((phase) => phase !== "running").length, 1);
  });

  test(`a holder that is cut off from all daemons ${atMs} ms after the order leaves it to another one`, async (t) => {
    const play = new Play();
    await play.playOrder(async () => {
      await play.run(atMs);
      const holder = holderOf(play);
      play.fleet.cutOffGossip([holder], { together: true });
      await play.run(2_500);
      play.fleet.healGossip([holder]);
    });
    t.log({ endedAfterMs: play.endedAfterMs, lost: play.lost().length });
    t.is(play.phases.filter((phase) => phase !== "running").length, 1);
    t.true(play.endedAfterMs < DURATION_MS);
    t.deepEqual(play.lost(), []);
    t.is(play.phases.at(-1), "succeeded");
  });

  test(`a holder that is cut off from the store ${atMs} ms after the order does no harm`, async (t) => {
    const play = new Play();
    await play.playOrder(async () => {
      await play.run(atMs);
      const holder = holderOf(play);
      play.fleet.cutOffFromStore([holder], "silent");
      await play.run(3_000);
      play.fleet.healStore([holder]);
    });
    checkSucceeded(t, play);
    t.deepEqual(play.lost(), []);
  });

  test(`a version that gets bad as the holder is killed ${atMs} ms after the order is stopped by all daemons`, async (t) => {
    const play = new Play();
    play.spoil(
      "v2",
      0.5,
      () => play.fleet.time.nowMs >= ORDER_AT_MS + atMs ? FAILURE : undefined,
    );
    await play.playOrder(async () => {
      await play.run(atMs);
      play.fleet.killDaemon(holderOf(play));
    });
    checkRolledBack(t, play);
  });
}

test("while the store is away a bad version is stopped, and rolled back afterwards", async (t) => {
  const play = new Play();
  play.spoil("v2", 0.5, () => FAILURE);
  let exposedAtStop = 0;
  await play.playOrder(async () => {
    await play.run(300);
    play.fleet.store.isDown = true;
    await play.run(4_000);
    exposedAtStop = play.exposure();
    play.fleet.store.isDown = false;
  });
  checkRolledBack(t, play);
  t.true(play.exposure() - exposedAtStop <= 2);
});

test("a store that is away for seconds does not undo a good version", async (t) => {
  const play = new Play();
  await play.playOrder(async () => {
    await play.run(6_900);
    play.fleet.store.isDown = true;
    await play.run(2_500);
    play.fleet.store.isDown = false;
  });
  checkSucceeded(t, play);
  t.deepEqual(play.lost(), []);
});

test("a status whose answer was lost is read again and not replaced", async (t) => {
  const play = new Play();
  play.fleet.statuses.dropsAnswers = true;
  await play.playOrder(async () => {
    await play.run(2_500);
    play.fleet.statuses.dropsAnswers = false;
    await play.run(4_700);
    play.fleet.statuses.dropsAnswers = true;
  });
  checkSucceeded(t, play);
  t.is(play.phases.filter((phase) => phase !== "running").length, 1);
  t.deepEqual(play.lost(), []);
});

test("a later order replaces one that runs, whose version gets nothing more", async (t) => {
  const play = new Play();
  await play.run(ORDER_AT_MS);
  play.order("v2");
  const second = play.newer.length;
  await play.run(3_000);
  const firstIds = play.newIds;
  play.order("v3");
  await play.run(500);
  const arrived = play.fleet.arrivals.length;
  await play.run(DURATION_MS);
  t.is(play.newer.length, 2 * second);
  t.like(play.fleet.statuses.written.at(-1), {
    phase: "succeeded",
    to: "v3" as never,
  });
  const late = play.fleet.arrivals.slice(arrived);
  t.is(late.filter(({ engine }) => firstIds.has(engine)).length, 0);
});

test("an order to a version that was rolled back before starts anew", async (t) => {
  const play = new Play();
  play.spoil("v2", 0.5, () => FAILURE);
  await play.playOrder();
  checkRolledBack(t, play);
  play.fleet.answerFault = () => undefined;
  const again = new Set(play.fleet.runningEngines());
  await play.playOrderAgain("v2");
  checkSucceeded(t, play);
  t.true(again.size > 0);
});

test("a server of a third version serves as the old ones do", async (t) => {
  const play = new Play();
  const third = play.fleet.startEngine("v0");
  await play.playOrder();
  checkSucceeded(t, play);
  t.deepEqual(play.lost(), []);
  const { id } = third.listed;
  t.true(play.fleet.arrivals.some(({ engine }) => engine === id));
});

test("daemons that are cut off go back to the old version and join again", async (t) => {
  const play = new Play();
  await play.playOrder(async () => {
    await play.run(6_000);
    const holder = holderOf(play);
    const cut = [0, 1, 2, 3, 4, 5].filter((daemon) => daemon !== holder)
      .slice(0, 2);
    play.fleet.cutOffGossip(cut, { together: false });
    await play.run(3_000);
    t.not(play.phases.at(-1), "succeeded");
    play.fleet.healGossip(cut);
  });
  checkSucceeded(t, play);
  t.deepEqual(play.lost(), []);
});

test("a bad version stays within the bound while daemons start again all the time", async (t) => {
  const play = new Play();
  play.spoil(
    "v2",
    0.3,
    () => play.fleet.time.nowMs >= ORDER_AT_MS + 5_000 ? FAILURE : undefined,
  );
  await play.playOrder(async () => {
    for (let round = 0; round < 8; round++) {
      const daemon = round % 6;
      play.fleet.killDaemon(daemon);
      play.fleet.time.after(400, () => play.fleet.startDaemon(daemon));
      await play.run(600);
    }
  });
  checkRolledBack(t, play);
});

test("new weights that are named meanwhile don't undo a good version", async (t) => {
  const play = new Play();
  await play.playOrder(async () => {
    await play.run(2_000);
    play.fleet.nameWeights(2);
    await play.run(3_000);
    play.fleet.nameWeights(3);
  });
  checkSucceeded(t, play);
});

test("a new server that crashes does not undo a good version", async (t) => {
  const play = new Play();
  await play.playOrder(async () => {
    for (let round = 0; round < 3; round++) {
      await play.run(1_500);
      const busiest = play.newer.filter(({ isUp }) => isUp)
        .sort((a, b) => b.attempts.size - a.attempts.size)[0]!;
      play.fleet.crash(busiest);
    }
  });
  checkSucceeded(t, play);
});

test("all daemons that start again in the midst of an order end it", async (t) => {
  const play = new Play();
  await play.playOrder(async () => {
    await play.run(3_000);
    for (let daemon = 0; daemon < 6; daemon++) play.fleet.killDaemon(daemon);
    await play.run(500);
    for (let daemon = 0; daemon < 6; daemon++) play.fleet.startDaemon(daemon);
  });
  t.log({ phases: play.phases, endedAfterMs: play.endedAfterMs });
  t.true(["succeeded", "rolled_back"].includes(play.phases.at(-1) ?? ""));
});
