/**
 * A fleet of daemons and batch engines in virtual time, for tests of the pace of
 * servers. Daemons place with the product's code and know each other's work by
 * gossip only.
 *
 * @module
 */

import { type BackendServerId, brandId, type VmId } from "@endivebend/types";
import type { PaceSample } from "./pace_sample.ts";
import { placeRequest } from "./placement.ts";
import { ServerPaces } from "./server_pace.ts";
import { listedServer, route, routedRequest, testContext } from "./testing.ts";
import type { RoutedRequest } from "./types.ts";

/** A fleet and its load. */
export interface PaceScenario {
  readonly seed: number;
  /** Whether daemons learn the pace of servers. */
  readonly usesPace: boolean;
  /** Whether engines state how long work takes at this moment. */
  readonly statesFigure: boolean;
  readonly speeds: readonly number[];
  readonly daemons: number;
  readonly longPerS: number;
  readonly shortPerS: number;
  readonly endMs: number;
  /** An engine that is listed only from a time on. */
  readonly lateEngine?: { readonly speed: number; readonly atMs: number };
}

/** One request, from its arrival on. */
export interface PaceCall {
  readonly atMs: number;
  readonly isLong: boolean;
  readonly targetMs: number;
  readonly engine: number;
  readonly guessMs: number;
  firstEventMs: number | undefined;
}

/** An engine's work at one moment. */
export interface EngineState {
  readonly atMs: number;
  readonly running: number;
  readonly readMs: number;
}

const TICK_MS = 1;
const GOSSIP_MS = 200;
const LINK_MS = 1;
const CHUNK_TOKENS = 1_024;
const STEP_MS = 4.7;
const TOKENS_PER_MS = 52.4;
const SLOTS = 24;
const SLOW_SHARE = 0.15;
const SLOW_MS = 600;
const SLOW_FACTOR = 2.5;
const LONG = { tokens: 5_200, output: 9, targetMs: 515, urgency: 1 };
const SHORT = { tokens: 628, output: 49, targetMs: 307, urgency: 0 };

/** A request at an engine. */
interface Job {
  leftTokens: number;
  leftOutput: number;
  readonly urgency: number;
  begun(figure: number): void;
  ended(): void;
}

/** Prefills chunks in order, urgent ones first, and generates for the rest. */
class Engine {
  readonly #jobs: Job[] = [];
  readonly #random: () => number;
  readonly speed: number;
  /** Time in which it read prompts. */
  readMs = 0;
  #figure = 1;
  #figureUntilMs = 0;
  #stepUntilMs = 0;
  #finishStep = () => {};

  constructor(speed: number, random: () => number) {
    this.speed = speed;
    this.#random = random;
  }

  get running(): number {
    return this.#jobs.length;
  }

  add(job: Job): void {
    this.#jobs.push(job);
  }

  tick(nowMs: number): void {
    if (nowMs >= this.#figureUntilMs) {
      this.#figure = this.#random() < SLOW_SHARE ? SLOW_FACTOR : 1;
      this.#figureUntilMs = nowMs + SLOW_MS * (0.5 + this.#random());
    }
    if (nowMs < this.#stepUntilMs) return;
    this.#finishStep();
    this.#finishStep = () => {};
    const active = this.#jobs.slice(0, SLOTS);
    if (active.length > 0) this.#startStep(active, nowMs);
  }

  #startStep(active: readonly Job[], nowMs: number): void {
    const reading = active.filter(({ leftTokens }) => leftTokens > 0)
      .toSorted((a, b) => a.urgency - b.urgency);
    const generating = active.filter(({ leftTokens }) => leftTokens === 0);
    let left = CHUNK_TOKENS;
    for (const job of reading) {
      const tokens = Math.min(left, job.leftTokens);
      job.leftTokens -= tokens;
      left -= tokens;
    }
    const readMs = (CHUNK_TOKENS - left) / (TOKENS_PER_MS * this.speed);
    const stepMs = Math.max(STEP_MS, readMs) * this.#figure;
    this.readMs += readMs * this.#figure;
    this.#stepUntilMs = nowMs + stepMs;
    const figure = this.#figure;
    this.#finishStep = () => {
      for (const job of reading) if (job.leftTokens === 0) job.begun(figure);
      for (const job of generating) {
        job.leftOutput -= 1;
        if (job.leftOutput > 0) continue;
        this.#jobs.splice(this.#jobs.indexOf(job), 1);
        job.ended();
      }
    };
  }
}

/** A small generator, so that runs depend on their seed only. */
function randomOf(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

type Work = { readonly running: number; readonly prefillTokens: number };

/** One daemon, with what it has published of its work. */
function newDaemon(index: number, scenario: PaceScenario) {
  const context = testContext();
  const { registry } = context;
  for (const id of ["one", "second"]) registry.forgetMoved(brandId(id));
  const vms = Array.from(
    { length: scenario.daemons },
    (_, other) => brandId<VmId>(`vm-${other}`),
  );
  const paces = new ServerPaces({
    registry,
    self: vms[index]!,
    daemons: () => vms,
    log: context.log,
    metrics: context.metrics,
  });
  const published = new Map<BackendServerId, Work>();
  return { vm: vms[index]!, context, registry, paces, published };
}

/** Runs the scenario; returns all calls and the engines' states by time. */
export function runPaceScenario(scenario: PaceScenario) {
  const random = randomOf(scenario.seed);
  const { lateEngine, usesPace, endMs } = scenario;
  const speeds = [...scenario.speeds, ...lateEngine ? [lateEngine.speed] : []];
  const engines = speeds.map((speed) => new Engine(speed, random));
  const idOf = (engine: number) => brandId<BackendServerId>(`e${engine}`);
  const daemons = Array.from(
    { length: scenario.daemons },
    (_, index) => newDaemon(index, scenario),
  );
  const calls: PaceCall[] = [];
  const states: EngineState[][] = engines.map(() => []);
  const pending: { readonly atMs: number; readonly run: () => void }[] = [];
  const later = (atMs: number, run: () => void) => pending.push({ atMs, run });

  const list = (engine: number) => {
    for (const { registry } of daemons) {
      registry.upsert(
        listedServer(`e${engine}`, { slots: SLOTS, weights: new Map() }),
      );
    }
  };
  for (const engine of scenario.speeds.keys()) list(engine);
  for (const daemon of daemons) {
    daemon.registry.setPeerWorkLookup((id) => {
      let running = 0;
      let prefillTokens = 0;
      for (const peer of daemons) {
        const work = peer === daemon ? undefined : peer.published.get(id);
        running += work?.running ?? 0;
        prefillTokens += work?.prefillTokens ?? 0;
      }
      return { running, prefillTokens };
    });
  }

  const gossip = (nowMs: number) => {
    for (const daemon of daemons) {
      daemon.published.clear();
      for (const { listed, ownWork } of daemon.registry.all()) {
        const tokens = [...ownWork.values()].map((work) => work.prefillTokens);
        const prefillTokens = tokens.reduce((sum, count) => sum + count, 0);
        daemon.published.set(listed.id, {
          running: ownWork.size,
          prefillTokens,
        });
      }
      const told = daemon.paces.pending({ nowMs, roundMs: 400 });
      for (const [id, percent] of Object.entries(told)) {
        for (const peer of daemons) {
          if (peer === daemon) continue;
          const news = { vm: daemon.vm, percent, nowMs };
          peer.paces.recordPeer(brandId(id), news);
        }
      }
    }
  };

  const arrive = (isLong: boolean, nowMs: number) => {
    const daemon = daemons[Math.floor(random() * daemons.length)]!;
    const { context, registry, paces } = daemon;
    const kind = isLong ? LONG : SHORT;
    const base = routedRequest("stream");
    const request: RoutedRequest = {
      ...base,
      requestId: brandId(`q-${calls.length}`),
      route: route("stream", kind),
      work: {
        ...base.work!,
        promptTokens: kind.tokens,
        prompt: [{ id: brandId("own"), tokens: kind.tokens }],
      },
    };
    const placement = placeRequest(request, {
      ...context,
      pace: usesPace ? paces : undefined,
      exclude: new Set(),
      hasBegun: false,
      nowMs,
    });
    const call = (engine: number, guessMs: number): PaceCall => ({
      atMs: nowMs,
      isLong,
      targetMs: kind.targetMs,
      engine,
      guessMs,
      firstEventMs: undefined,
    });
    if (placement.kind === "refused") return void calls.push(call(-1, 0));
    const { server, pace } = placement;
    const { id } = server.listed;
    const ahead = registry.workAt(server).prefillTokens;
    const placed = call(
      Number(id.slice(1)),
      (ahead + kind.tokens) / pace!.queueTokensPerMs,
    );
    calls.push(placed);
    const sample: PaceSample = paces.sent(server, {
      route: request.route.name,
      tokensToRead: kind.tokens,
      isSpoiled: false,
    }, nowMs);
    server.ownWork.set(request.requestId, { prefillTokens: kind.tokens });
    const engine = engines[placed.engine]!;
    later(nowMs + LINK_MS, () =>
      engine.add({
        leftTokens: kind.tokens,
        leftOutput: kind.output,
        urgency: kind.urgency,
        begun: (figure) =>
          later(clock + LINK_MS, () => {
            placed.firstEventMs = clock - placed.atMs;
            const load = { running: engine.running, waiting: 0, slots: SLOTS };
            registry.recordLoad(
              id,
              scenario.statesFigure
                ? { ...load, slowdownPercent: figure * 100 }
                : load,
              clock,
            );
            server.ownWork.get(request.requestId)!.prefillTokens = 0;
            sample.progressed(clock);
          }),
        ended: () =>
          later(clock + LINK_MS, () => {
            server.ownWork.delete(request.requestId);
            sample.ended(clock);
          }),
      }));
  };

  let clock = 0;
  for (; clock < endMs; clock += TICK_MS) {
    if (clock === lateEngine?.atMs) list(engines.length - 1);
    if (clock % GOSSIP_MS === 0) gossip(clock);
    for (const due of pending.filter(({ atMs }) => atMs <= clock)) {
      pending.splice(pending.indexOf(due), 1);
      due.run();
    }
    for (const engine of engines) engine.tick(clock);
    if (random() < scenario.longPerS / 1_000) arrive(true, clock);
    if (random() < scenario.shortPerS / 1_000) arrive(false, clock);
    if (clock % 50 !== 0) continue;
    engines.forEach(({ running, readMs }, index) =>
      states[index]!.push({ atMs: clock, running, readMs })
    );
  }
  return { calls, states, idOf };
}
