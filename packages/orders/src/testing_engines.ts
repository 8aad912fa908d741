/**
 * Engines under load in virtual time, for tests of the weights rollout: their
 * runs have to end before they load weights, loads slow each other down, and
 * reports lag.
 *
 * @module
 */

import type { Clock, Scheduler } from "@endivebend/clock";
import {
  type BackendServerId,
  brandId,
  type FailureDomainId,
  type ModelName,
} from "@endivebend/types";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type {
  EngineReport,
  OrderAnswer,
  RolloutEngine,
  RolloutOrderClient,
  WeightsOrder,
} from "./weights_rollout.ts";

const MODEL = brandId<ModelName>("m");
const SLOTS = 16;
const LOAD_MS = 390;
/** Engines may load at once at full speed up to this share of them. */
const FULL_SPEED_SHARE = 0.28;
const REPORT_LAG_MS = 200;
const ONE_WAY_MS = 4;
const CALL_TIMEOUT_MS = 700;
const STEP_MS = 2;
const LOAD_STEP_MS = 10;
/** Engines get no request in the last part of the bound. */
const START_SLACK_MS = 1_500;
/** From then on an answer on older weights is worth less. */
const WORTH_LESS_AFTER_MS = 1_500;
const FAILURE_DOMAINS = 5;
/** Lengths of runs; their logarithm is evenly distributed. */
const SHORT_RUNS = { leastMs: 300, mostMs: 2_000, meanMs: 896 };
const LONG_RUNS = { leastMs: 2_000, mostMs: 6_000, meanMs: 3_641 };

/** The load of the engines, and when weights are named. */
export interface EngineFleetOptions {
  readonly seed: number;
  readonly engines: number;
  readonly weightsBoundMs: number;
  /** Share of the slots that requests would take if all engines served. */
  readonly utilisation: number;
  /** Share of requests that run for 2 to 6 s instead of 0.3 to 2 s. */
  readonly longRunShare: number;
  /** When versions 2, 3 and so on are named. */
  readonly namedAtMs: readonly number[];
  /** Engines at the start of the list that answer nothing. */
  readonly darkEngines: number;
}

interface EngineState {
  readonly weights: number;
  readonly isBusy: boolean;
  readonly running: number;
  readonly acceptedOrders: number;
}

interface SimulatedEngine {
  readonly id: BackendServerId;
  readonly failureDomain: FailureDomainId;
  readonly isDark: boolean;
  /** What the rollout has been told. */
  knownWeights: number;
  weights: number;
  running: number;
  acceptedOrders: number;
  /** The version of the order in progress. */
  loading: number | undefined;
  /** Rest of a load that has begun. */
  loadLeftMs: number | undefined;
  readonly history: (EngineState & { readonly atMs: number })[];
}

/** What happened, for assertions and comparisons. */
export interface EngineFleetFigures {
  /** Longest time from a name until all reachable engines had the version. */
  slowestMs: number;
  /** Smallest share of them that had a version 1 s before its bound. */
  doneInTime: number;
  /** Share of the time in which engines were past due, without an order. */
  idlePastDue: number;
  /** Largest share of the reachable engines that could serve but were closed. */
  peakShareOut: number;
  /** Failure domains that had engines in time, all of them closed at once. */
  domainsClosed: number;
  loads: number;
  /** Orders to load a version that had been replaced when they were sent. */
  supersededOrders: number;
  probes: number;
  requests: number;
  refused: number;
  /** Requests that began on weights replaced 1.5 s before. */
  begunOnOlder: number;
  /** Mean time from the end of a load until the rollout knew of it. */
  newsDelayMs: number;
}

/** Engines, the requests that reach them, and the clock of the test. */
export class EngineFleet {
  readonly figures: EngineFleetFigures = {
    slowestMs: 0,
    doneInTime: 1,
    idlePastDue: 0,
    peakShareOut: 0,
    domainsClosed: 0,
    loads: 0,
    supersededOrders: 0,
    probes: 0,
    requests: 0,
    refused: 0,
    begunOnOlder: 0,
    newsDelayMs: 0,
  };
  readonly clock: Clock = {
    wallMs: () => this.#nowMs,
    elapsedMs: () => this.#nowMs,
  };
  readonly scheduler: Scheduler = {
    after: (delayMs, task) => {
      this.#after(delayMs, task);
      return () => {};
    },
  };
  readonly orders: RolloutOrderClient = {
    report: (engine) => this.#report(engine),
    order: (engine, order) => this.#order(engine, order),
  };
  readonly #options: EngineFleetOptions;
  readonly #engines: SimulatedEngine[];
  readonly #fraction: () => number;
  readonly #loadedAtMs = new Map<BackendServerId, number>();
  readonly #closedDomains = new Set<FailureDomainId>();
  readonly #newsDelaysMs: number[] = [];
  #nowMs = 0;
  #nextArrivalMs = 0;
  #idleMs = 0;
  readonly #doneVersions = new Set<number>();
  /** By the step of virtual time at which they run. */
  readonly #tasks = new Map<number, (() => void)[]>();

  constructor(options: EngineFleetOptions) {
    this.#options = options;
    const generator = xoroshiro128plus(options.seed);
    this.#fraction = () => uniformFloat64(generator);
    this.#engines = Array.from(
      { length: options.engines },
      (_, index) => this.#createEngine(index),
    );
    for (const engine of this.#engines) this.#remember(engine);
    this.#after(0, () => this.#letArrive());
    this.#after(LOAD_STEP_MS, () => this.#advanceLoads());
    for (const [index, atMs] of options.namedAtMs.entries()) {
      const checkAtMs = atMs + options.weightsBoundMs - 1_000;
      this.#after(checkAtMs, () => this.#checkDone(index + 2));
    }
  }

  /** Engines as the holder of the rollout lease knows them. */
  known(): RolloutEngine[] {
    const namedWeights = this.#newest();
    return this.#engines.map((engine) => ({
      id: engine.id,
      address: engine.id,
      model: MODEL,
      weights: engine.knownWeights,
      namedWeights,
      running: engine.running,
      slots: SLOTS,
      failureDomain: engine.failureDomain,
      replacedAtMs: this.#replacedAtMs(engine.knownWeights),
    }));
  }

  /** Takes the news of a load from the rollout. */
  learn(id: BackendServerId, weights: number): void {
    const engine = this.#engines.find((other) => other.id === id)!;
    engine.knownWeights = Math.max(engine.knownWeights, weights);
    const loadedAtMs = this.#loadedAtMs.get(id);
    if (loadedAtMs === undefined) return;
    this.#loadedAtMs.delete(id);
    this.#newsDelaysMs.push(this.#nowMs - loadedAtMs);
  }

  async run(untilMs: number): Promise<EngineFleetFigures> {
    for (; this.#nowMs < untilMs; this.#nowMs += STEP_MS) {
      const due = this.#tasks.get(this.#nowMs) ?? [];
      this.#tasks.delete(this.#nowMs);
      for (const run of due) run();
      if (due.length === 0) continue;
      // Promises settle between two steps of virtual time.
      await new Promise(setImmediate);
      this.#observe();
    }
    this.#countUnfinished(untilMs);
    const delaysMs = this.#newsDelaysMs;
    this.figures.newsDelayMs = delaysMs.reduce((sum, ms) => sum + ms, 0) /
      Math.max(1, delaysMs.length);
    return this.figures;
  }

  #createEngine(index: number): SimulatedEngine {
    const domain = `domain-${index % FAILURE_DOMAINS}`;
    return {
      id: brandId<BackendServerId>(`engine-${index}`),
      failureDomain: brandId<FailureDomainId>(domain),
      isDark: index < this.#options.darkEngines,
      knownWeights: 1,
      weights: 1,
      running: 0,
      acceptedOrders: 0,
      loading: undefined,
      loadLeftMs: undefined,
      history: [],
    };
  }

  #after(delayMs: number, run: () => void): void {
    const steps = Math.max(1, Math.ceil(delayMs / STEP_MS));
    const atMs = this.#nowMs + steps * STEP_MS;
    const tasks = this.#tasks.get(atMs);
    if (tasks === undefined) this.#tasks.set(atMs, [run]);
    else tasks.push(run);
  }

  #answer<T>(delayMs: number, answer: () => T): Promise<T> {
    return new Promise((resolve) => {
      this.#after(delayMs, () => resolve(answer()));
    });
  }

  #newest(): number {
    const { namedAtMs } = this.#options;
    return 1 + namedAtMs.filter((atMs) => atMs <= this.#nowMs).length;
  }

  /** When the version that follows the weights was named, if it was. */
  #replacedAtMs(weights: number): number | undefined {
    const atMs = this.#options.namedAtMs[weights - 1];
    return atMs !== undefined && atMs <= this.#nowMs ? atMs : undefined;
  }

  #isInTime({ weights }: SimulatedEngine): boolean {
    const replacedAtMs = this.#replacedAtMs(weights);
    return replacedAtMs === undefined || this.#nowMs <
        replacedAtMs + this.#options.weightsBoundMs - START_SLACK_MS;
  }

  /** Lets the requests of one step arrive. */
  #letArrive(): void {
    this.#after(STEP_MS, () => this.#letArrive());
    const { engines, utilisation, longRunShare } = this.#options;
    const meanMs = SHORT_RUNS.meanMs * (1 - longRunShare) +
      LONG_RUNS.meanMs * longRunShare;
    const perMs = engines * SLOTS * utilisation / meanMs;
    while (this.#nextArrivalMs <= this.#nowMs) {
      this.#arrive();
      this.#nextArrivalMs += -Math.log(1 - this.#fraction()) / perMs;
    }
  }

  #arrive(): void {
    const open = this.#engines.filter((engine) =>
      !engine.isDark && engine.loading === undefined &&
      engine.running < SLOTS && this.#isInTime(engine)
    );
    this.figures.requests++;
    if (open.length === 0) {
      this.figures.refused++;
      return;
    }
    const pick = () => open[Math.floor(this.#fraction() * open.length)]!;
    const [one, other] = [pick(), pick()];
    const engine = one.running <= other.running ? one : other;
    const replacedAtMs = this.#replacedAtMs(engine.weights) ?? this.#nowMs;
    if (this.#nowMs - replacedAtMs > WORTH_LESS_AFTER_MS) {
      this.figures.begunOnOlder++;
    }
    const isLong = this.#fraction() < this.#options.longRunShare;
    const { leastMs, mostMs } = isLong ? LONG_RUNS : SHORT_RUNS;
    const lengthMs = leastMs * (mostMs / leastMs) ** this.#fraction();
    engine.running++;
    this.#remember(engine);
    this.#after(lengthMs, () => {
      engine.running--;
      this.#beginLoad(engine);
      this.#remember(engine);
    });
  }

  #beginLoad(engine: SimulatedEngine): void {
    const isWaiting = engine.loading !== undefined &&
      engine.loadLeftMs === undefined;
    if (isWaiting && engine.running === 0) engine.loadLeftMs = LOAD_MS;
  }

  #advanceLoads(): void {
    this.#after(LOAD_STEP_MS, () => this.#advanceLoads());
    const loading = this.#engines.filter(({ loadLeftMs }) =>
      loadLeftMs !== undefined
    );
    const atFullSpeed = Math.max(1, this.#engines.length * FULL_SPEED_SHARE);
    const speed = Math.min(1, atFullSpeed / Math.max(1, loading.length));
    for (const engine of loading) {
      engine.loadLeftMs! -= LOAD_STEP_MS * speed;
      if (engine.loadLeftMs! > 0) continue;
      engine.weights = engine.loading!;
      engine.loading = undefined;
      engine.loadLeftMs = undefined;
      this.#loadedAtMs.set(engine.id, this.#nowMs);
      this.#remember(engine);
      this.#recordDone();
    }
  }

  #recordDone(): void {
    const reachable = this.#engines.filter(({ isDark }) => !isDark);
    const oldest = Math.min(...reachable.map(({ weights }) => weights));
    for (const [index, atMs] of this.#options.namedAtMs.entries()) {
      const isNews = index + 2 <= oldest && !this.#doneVersions.has(index);
      if (!isNews) continue;
      this.#doneVersions.add(index);
      const tookMs = this.#nowMs - atMs;
      this.figures.slowestMs = Math.max(this.figures.slowestMs, tookMs);
    }
  }

  #checkDone(version: number): void {
    const reachable = this.#engines.filter(({ isDark }) => !isDark);
    const done = reachable.filter(({ weights }) => weights >= version);
    const share = done.length / reachable.length;
    this.figures.doneInTime = Math.min(this.figures.doneInTime, share);
  }

  #countUnfinished(untilMs: number): void {
    for (const [index, atMs] of this.#options.namedAtMs.entries()) {
      if (this.#doneVersions.has(index)) continue;
      const tookMs = untilMs - atMs;
      this.figures.slowestMs = Math.max(this.figures.slowestMs, tookMs);
    }
  }

  #observe(): void {
    const inTime = this.#engines.filter((engine) =>
      !engine.isDark && this.#isInTime(engine)
    );
    const idle = this.#engines.filter((engine) =>
      !engine.isDark && !this.#isInTime(engine) && engine.loading === undefined
    );
    this.#idleMs += idle.length * STEP_MS;
    const reachable = this.#engines.length - this.#options.darkEngines;
    this.figures.idlePastDue = this.#idleMs / reachable / this.#nowMs;
    const out = inTime.filter(({ loading }) => loading !== undefined);
    this.figures.peakShareOut = Math.max(
      this.figures.peakShareOut,
      out.length / reachable,
    );
    if (out.length === 0) return;
    const outDomains = new Set(out.map(({ failureDomain }) => failureDomain));
    for (const domain of outDomains) {
      const ofDomain = inTime.filter(({ failureDomain }) =>
        failureDomain === domain
      );
      const isClosed = ofDomain.length > 1 &&
        ofDomain.every((engine) => engine.loading !== undefined);
      if (isClosed) this.#closedDomains.add(domain);
    }
    this.figures.domainsClosed = this.#closedDomains.size;
  }

  #remember(engine: SimulatedEngine): void {
    engine.history.push({
      atMs: this.#nowMs,
      weights: engine.weights,
      isBusy: engine.loading !== undefined,
      running: engine.running,
      acceptedOrders: engine.acceptedOrders,
    });
    if (engine.history.length > 400) engine.history.splice(0, 200);
  }

  #engineAt({ id }: RolloutEngine): SimulatedEngine | undefined {
    return this.#engines.find((engine) => engine.id === id && !engine.isDark);
  }

  #report(target: RolloutEngine): Promise<EngineReport | undefined> {
    this.figures.probes++;
    const engine = this.#engineAt(target);
    if (engine === undefined) {
      return this.#answer(CALL_TIMEOUT_MS, () => undefined);
    }
    return this.#answer(2 * ONE_WAY_MS, () => {
      const asOfMs = this.#nowMs - ONE_WAY_MS - REPORT_LAG_MS;
      const state = engine.history.findLast(({ atMs }) => atMs <= asOfMs) ??
        engine.history[0]!;
      return { ...state, weights: new Map([[MODEL, state.weights]]) };
    });
  }

  #order(target: RolloutEngine, order: WeightsOrder): Promise<OrderAnswer> {
    if (order.weights < this.#newest()) this.figures.supersededOrders++;
    const engine = this.#engineAt(target);
    if (engine === undefined) {
      return this.#answer(CALL_TIMEOUT_MS, () => "unknown");
    }
    return this.#answer(2 * ONE_WAY_MS, () => {
      if (!order.maySend()) return "unknown";
      if (engine.weights === order.weights) return "already_holds";
      const isExpected = engine.acceptedOrders === order.acceptedOrders;
      if (engine.loading !== undefined || !isExpected) return "conflict";
      engine.acceptedOrders++;
      engine.loading = order.weights;
      this.figures.loads++;
      this.#beginLoad(engine);
      this.#remember(engine);
      return "accepted";
    });
  }
}
