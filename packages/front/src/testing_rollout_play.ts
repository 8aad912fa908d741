/**
 * Plays an order to move a service to another software version, in a fleet in
 * virtual time whose servers stop as the status says.
 *
 * @module
 */

import type { ExecutionContext } from "ava";
import {
  type Engine,
  type FleetOptions,
  type Outcome,
  TestFleet,
} from "./testing_fleet.ts";
import type { AnswerFault } from "./testing_version_rollouts.ts";

export const BOUNDS = { exposeShare: 0.1, exposeSlack: 50, rollbackMs: 5_000 };
export const DURATION_MS = 12_000;
/** The order comes when the daemons know each other. */
export const ORDER_AT_MS = 4_000;
/** Two hundred requests a second. */
const SEND_INTERVAL_MS = 5;
const EVENTS = 6;
const ROUTES = ["/talk", "/count"];
const PATHS = ["/", "/", "/talk", "/count"];
const BAD_AFTER_MS = 20;
/** Servers of a version that was rolled back drain by then. */
const DRAIN_DELAY_MS = 2_500;

export const FAILURE: AnswerFault = { kind: "failure", afterMs: BAD_AFTER_MS };

/** One order in a fleet whose servers stop as the status says. */
export class RolloutPlay {
  readonly fleet: TestFleet;
  readonly old: Engine[];
  readonly newer: Engine[] = [];
  /** When each bad answer of a new server was given. */
  readonly badAtMs: number[] = [];
  orderedAtMs = 0;
  #serial = 0;
  #send = true;
  readonly #daemons: number;
  readonly #intervalMs: number;
  readonly #events: number;

  constructor(
    {
      daemons = 6,
      engines = 8,
      intervalMs = SEND_INTERVAL_MS,
      events = EVENTS,
      ...options
    }: Partial<FleetOptions> & {
      readonly intervalMs?: number;
      /** Events of each answer, 30 ms apart. */
      readonly events?: number;
    } = {},
  ) {
    this.#intervalMs = intervalMs;
    this.#events = events;
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
      await fleet.time.advance(this.#intervalMs);
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
    fleet.send(daemon, [], { path, events: this.#events });
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

export function checkRolledBack(t: ExecutionContext, play: RolloutPlay): void {
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

export function checkSucceeded(t: ExecutionContext, play: RolloutPlay): void {
  t.log({ endedAfterMs: play.endedAfterMs, lost: play.lost().length });
  t.is(play.phases.at(-1), "succeeded");
  t.true(play.endedAfterMs < DURATION_MS);
}

/** The daemon that holds the lease. */
export function holderOf({ fleet }: RolloutPlay): number {
  return Number(fleet.rollout.holder?.replace("vm-", ""));
}
