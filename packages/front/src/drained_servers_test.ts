import test from "ava";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  type Arrival,
  type Engine,
  type FleetOptions,
  TestFleet,
} from "./testing_fleet.ts";

/** The users' bounds. */
const DRAIN_MS = 2_000;
const CONTACT_MS = 3_000;
const LATEST_EVENT_MS = 18_000;
const END_MS = 26_000;
const SEND_INTERVAL_MS = 4;

/** That an engine leaves, as the store has acknowledged it. */
interface Acknowledged {
  readonly engine: string;
  readonly startedAtMs: number;
  readonly atMs: number;
}

/** A fleet with engines that leave, and what a check of it needs to know. */
class Drains {
  readonly fleet: TestFleet;
  readonly acknowledged: Acknowledged[] = [];
  readonly #daemons: number;
  /** When each daemon last started, and when it was last killed. */
  readonly #startedAtMs = new Map<string, number>();
  readonly #killedAtMs = new Map<string, number>();
  #unstableUntilMs = 0;

  constructor(
    { daemons = 8, engines = 6, ...options }: Partial<FleetOptions> = {},
  ) {
    this.#daemons = daemons;
    this.fleet = new TestFleet({ daemons, engines, ...options });
  }

  get #nowMs(): number {
    return this.fleet.time.nowMs;
  }

  /** The engine reports that it leaves, or its entry is removed. */
  leave(engine: Engine, how: "reported" | "removed"): void {
    this.fleet.leave(engine, how);
    const { id, startedAtMs } = engine.listed;
    if (this.#nowMs <= this.#unstableUntilMs) return;
    this.acknowledged.push({ engine: id, startedAtMs, atMs: this.#nowMs });
  }

  storeAway(forMs: number): void {
    this.#unstableUntilMs = this.#nowMs + forMs + CONTACT_MS;
    this.fleet.store.isDown = true;
    this.fleet.time.after(forMs, () => {
      this.fleet.store.isDown = false;
    });
  }

  restore(copyAgeMs: number, awayMs: number): void {
    this.#unstableUntilMs = this.#nowMs + awayMs + CONTACT_MS;
    this.fleet.store.restore({ copyAgeMs, awayMs, rewriteMs: 900 });
  }

  restartDaemon(daemon: number): void {
    const vm = `vm-${daemon}`;
    this.fleet.killDaemon(daemon);
    this.#killedAtMs.set(vm, this.#nowMs);
    this.fleet.time.after(1_000, () => {
      this.fleet.startDaemon(daemon);
      this.#startedAtMs.set(vm, this.#nowMs);
    });
  }

  async play(untilMs = END_MS, intervalMs = SEND_INTERVAL_MS): Promise<void> {
    const { fleet } = this;
    const { time } = fleet;
    let sent = 0;
    const send = () => {
      if (time.nowMs > untilMs) return;
      const segments = [`rules-${sent % 37}`, `parish-${sent % 211}`];
      fleet.send(sent++ % this.#daemons, segments);
      time.after(intervalMs, send);
    };
    time.after(2_000, send);
    await time.advance(untilMs + 1_000);
  }

  /** Requests that reached an engine too late after it said that it leaves. */
  lateAfterAnswer(): string[] {
    return this.#late(this.fleet.leavingAnswers, (arrival, { vm, atMs }) =>
      // A restart of the machine since then excuses it.
      arrival.vm === vm && (this.#startedAtMs.get(vm) ?? 0) <= atMs);
  }

  /** Requests that reached an engine too late after the store's record. */
  lateAfterRecord(): string[] {
    return this.#late(this.acknowledged, ({ vm, atMs }) => {
      const killedAtMs = this.#killedAtMs.get(vm) ?? Number.NEGATIVE_INFINITY;
      return atMs - killedAtMs > CONTACT_MS + 1_000;
    });
  }

  #late<Word extends Acknowledged>(
    words: readonly Word[],
    counts: (arrival: Arrival, word: Word) => boolean,
  ): string[] {
    const sentAtMs = new Map(
      this.fleet.outcomes.map((sent) => [sent.requestId, sent.sentAtMs]),
    );
    return words.flatMap((word) =>
      this.fleet.arrivals
        .filter((arrival) =>
          arrival.engine === word.engine &&
          arrival.startedAtMs === word.startedAtMs &&
          (sentAtMs.get(arrival.requestId) ?? 0) > word.atMs + DRAIN_MS &&
          counts(arrival, word)
        )
        .map(({ vm, atMs }) =>
          `${vm} to ${word.engine}, ${atMs - word.atMs} ms after`
        )
    );
  }
}

test.serial("engines that start again and leave at once get no requests when their entries come late", async (t) => {
  const drains = new Drains();
  const { fleet } = drains;
  for (const engine of fleet.runningEngines().slice(0, 4)) {
    fleet.time.after(5_000, () => {
      fleet.restart(engine);
      engine.saysThatItLeaves = true;
    });
    // The entry names the new process as ready.
    fleet.time.after(9_000, () => fleet.report(engine));
  }
  await drains.play(14_000);
  t.true(fleet.leavingAnswers.length > 0);
  t.deepEqual(drains.lateAfterAnswer(), []);
});

test.serial("engines that leave get no requests when the store lists their former processes again", async (t) => {
  const drains = new Drains();
  const { fleet } = drains;
  for (const engine of fleet.runningEngines().slice(0, 4)) {
    const { id, startedAtMs } = engine.listed;
    fleet.time.after(5_000, () => fleet.restart(engine));
    fleet.time.after(5_200, () => fleet.report(engine));
    fleet.time.after(8_000, () => {
      engine.saysThatItLeaves = true;
    });
    fleet.time.after(11_000, () => {
      const former = { id, startedAtMs, isLeaving: false, reportCount: 40 };
      fleet.store.put("servers", id, former);
    });
  }
  await drains.play(16_000);
  t.true(fleet.leavingAnswers.length > 0);
  t.deepEqual(drains.lateAfterAnswer(), []);
});

test.serial("an engine that reported that it leaves gets no requests when it is listed as ready again", async (t) => {
  const drains = new Drains();
  const { fleet } = drains;
  const [engine] = fleet.runningEngines();
  fleet.time.after(5_000, () => drains.leave(engine!, "reported"));
  fleet.time.after(12_000, () => {
    const { id, startedAtMs } = engine!.listed;
    const older = { id, startedAtMs, isLeaving: false, reportCount: 1 };
    fleet.store.put("servers", id, older);
  });
  await drains.play(16_000);
  t.deepEqual(drains.lateAfterRecord(), []);
});

for (const daemons of [8, 40]) {
  for (const how of ["reported", "removed"] as const) {
    test.serial(`engines that all leave, ${how}, get no late requests though readers of the list end, ${daemons} daemons`, async (t) => {
      const drains = new Drains({ daemons, engines: 4 });
      const { fleet } = drains;
      await fleet.time.advance(1_000);
      // Daemons in turn are in one of four failure domains.
      fleet.time.after(6_950, () => {
        for (let daemon = 0; daemon < 4; daemon++) {
          drains.restartDaemon(daemon);
        }
      });
      for (const engine of fleet.runningEngines()) {
        fleet.time.after(7_000, () => drains.leave(engine, how));
      }
      await drains.play(13_000);
      t.deepEqual(drains.lateAfterRecord(), []);
    });
  }
}

// Guards against a daemon that takes entries of a peer which has not read of their
// removal yet, and reads on after it.
for (const daemons of [8, 40]) {
  test.serial(`engines whose entries are removed as daemons start get no late requests, ${daemons} daemons`, async (t) => {
    for (const seed of [1, 2, 3, 4]) {
      const random = xoroshiro128plus(seed);
      const draw = (from: number, to: number) => uniformInt(random, from, to);
      const drains = new Drains({ daemons, draw, startWithinMs: 600 });
      const { fleet } = drains;
      for (let daemon = 0; daemon < daemons / 2; daemon++) {
        fleet.time.after(6_000, () => drains.restartDaemon(daemon));
      }
      for (const engine of fleet.runningEngines().slice(0, 4)) {
        const atMs = 7_000 + draw(-200, 20);
        fleet.time.after(atMs, () => drains.leave(engine, "removed"));
      }
      await drains.play(14_000);
      const late = drains.lateAfterRecord();
      t.log(`seed ${seed}: ${late.length} late requests`);
      t.deepEqual(late.slice(0, 3), []);
    }
  });
}

for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
  test.serial(`engines that leave get no late requests, with outages, restores and restarts, seed ${seed}`, async (t) => {
    const random = xoroshiro128plus(seed);
    const draw = (from: number, to: number) => uniformInt(random, from, to);
    const drains = new Drains();
    const { fleet } = drains;
    const { time } = fleet;
    const engines = fleet.runningEngines();
    for (const engine of engines.slice(0, 4)) {
      const atMs = draw(4_000, LATEST_EVENT_MS);
      const how = draw(0, 4);
      time.after(atMs, () => {
        engine.saysThatItLeaves = how !== 1;
        if (how === 1 || how === 2) drains.leave(engine, "reported");
        if (how === 3) drains.leave(engine, "removed");
        if (how === 4) {
          fleet.restart(engine);
          engine.saysThatItLeaves = true;
          time.after(draw(200, 4_000), () => fleet.report(engine));
        }
      });
    }
    time.after(draw(4_000, 10_000), () => {
      if (draw(0, 1) === 0) drains.storeAway(draw(500, 4_000));
      else drains.restore(draw(1_000, 9_000), draw(200, 2_500));
    });
    for (let count = 0; count < 3; count++) {
      const daemon = draw(0, 7);
      time.after(
        draw(4_000, LATEST_EVENT_MS),
        () => drains.restartDaemon(daemon),
      );
    }
    await drains.play(END_MS, draw(3, 12));
    t.deepEqual(drains.lateAfterAnswer(), []);
    t.deepEqual(drains.lateAfterRecord(), []);
  });
}
