/**
 * Replays one trace with one policy in virtual time.
 *
 * @module
 */

import type { BlockHash } from "@endivebend/types";
import { CentralAdmission } from "./admission.ts";
import type { Admission } from "./admission.ts";
import { RunMetrics } from "./metrics.ts";
import type { ResultDetails, ResultRow } from "./metrics.ts";
import type { Policy, PolicyFactory } from "./policy.ts";
import { blocksOf } from "./prompt_blocks.ts";
import { ReferenceLimits } from "./reference_limits.ts";
import type { ChargedRequest } from "./reference_limits.ts";
import { promptTokensOf } from "./trace.ts";
import type { FaultEvent, RequestEvent, Trace } from "./trace.ts";
import { VirtualTime } from "./virtual_time.ts";
import { World } from "./world.ts";
import type { SimRequest } from "./world.ts";

/** Generated tokens that a caller asks for and is charged. */
const MAX_OUTPUT_TOKENS = 256;
/** Time after the last event in which running requests may end. */
const DRAIN_MS = 60_000;

/** Refusals in this time after a restart are judged by their own target. */
const RESTART_MEASURE_MS = 60_000;

/** A policy with its name in the output. */
export interface NamedPolicy {
  readonly name: string;
  readonly create: PolicyFactory;
  /** How teams are charged; at one exact bucket when absent. */
  readonly admission?: (world: World) => Admission;
}

/** What a run gives. */
export interface RunResult {
  readonly row: ResultRow;
  readonly details: ResultDetails;
}

/**
 * Hashes the prompts of a trace once, for all policies.
 *
 * @example
 * ```ts
 * const blocks = hashTrace(trace);
 * ```
 */
export function hashTrace(trace: Trace): Map<string, readonly BlockHash[]> {
  const requests = trace.events.filter((event) => event.kind === "request");
  return new Map(requests.map((request) => [request.id, blocksOf(request)]));
}

/**
 * Replays the trace. The result depends on the arguments only.
 *
 * @example
 * ```ts
 * const { row } = runTrace(trace, { policy, blocks: hashTrace(trace) });
 * ```
 */
export function runTrace(trace: Trace, options: {
  readonly policy: NamedPolicy;
  readonly blocks: ReadonlyMap<string, readonly BlockHash[]>;
}): RunResult {
  const run = new TraceRun(trace, options);
  run.play();
  return run.result();
}

class TraceRun {
  readonly #trace: Trace;
  readonly #policyName: string;
  readonly #blocks: ReadonlyMap<string, readonly BlockHash[]>;
  readonly #time = new VirtualTime();
  readonly #metrics: RunMetrics;
  readonly #limits: ReferenceLimits;
  readonly #admission: Admission;
  readonly #world: World;
  readonly #policy: Policy;
  readonly #open = new Map<string, SimRequest>();
  /** Requests that wait for tokens or for their router. */
  readonly #uncharged = new Map<SimRequest, ChargedRequest>();
  readonly #downRouters = new Set<string>();
  #endMs = 0;
  #restartedAtMs = -Infinity;

  constructor(trace: Trace, options: {
    readonly policy: NamedPolicy;
    readonly blocks: ReadonlyMap<string, readonly BlockHash[]>;
  }) {
    this.#trace = trace;
    this.#blocks = options.blocks;
    this.#policyName = options.policy.name;
    this.#metrics = new RunMetrics(trace.header);
    this.#limits = new ReferenceLimits(trace.header);
    this.#world = new World(trace.header, {
      time: this.#time,
      metrics: this.#metrics,
    });
    this.#admission = options.policy.admission?.(this.#world) ??
      new CentralAdmission(trace.header, this.#time);
    this.#policy = options.policy.create(this.#world);
  }

  play(): void {
    for (const event of this.#trace.events) {
      this.#endMs = event.atMs + DRAIN_MS;
      this.#time.at(event.atMs, () => {
        if (event.kind === "request") {
          this.#arrive(event);
        } else {
          this.#fail(event);
        }
      });
    }
    this.#time.runUntil(this.#endMs);
    for (const request of this.#open.values()) {
      if (!request.hasFirstToken) {
        this.#world.refuse(request, "lost");
      }
    }
  }

  result(): RunResult {
    const policy = this.#policyName;
    return {
      row: this.#metrics.row({ policy, limits: this.#limits }),
      details: this.#metrics.details(this.#limits),
    };
  }

  #arrive(event: RequestEvent): void {
    const { nowMs } = this.#time;
    const promptTokens = promptTokensOf(event);
    const request: SimRequest = {
      event,
      id: event.id,
      team: event.team,
      router: event.router,
      blocks: this.#blocks.get(event.id)!,
      promptTokens,
      deadlineMs: nowMs + this.#trace.header.ttftDeadlineMs,
      hasFirstToken: false,
      isOver: false,
      engine: undefined,
      attempts: 0,
    };
    const costTokens = promptTokens + MAX_OUTPUT_TOKENS;
    const charged = { id: event.id, team: event.team, costTokens };
    const isAfterRestart = nowMs < this.#restartedAtMs + RESTART_MEASURE_MS;
    this.#metrics.countRequest(event.id, { isAfterRestart });
    this.#limits.arrive(charged, nowMs);
    this.#open.set(request.id, request);
    this.#charge(request, charged);
  }

  #charge(request: SimRequest, charged: ChargedRequest): void {
    if (this.#downRouters.has(request.router)) {
      this.#uncharged.set(request, charged);
      return;
    }
    this.#uncharged.set(request, charged);
    const attempts = ++request.attempts;
    const isCurrent = () => !request.isOver && request.attempts === attempts;
    this.#admission.charge({
      ...charged,
      requestId: `${request.id}/${attempts}`,
      router: request.router,
      onSpent: () => this.#limits.grant(charged, this.#time.nowMs),
      onGranted: () => {
        if (isCurrent()) {
          this.#uncharged.delete(request);
          this.#route(request);
        }
      },
      onRefused: (code) => {
        if (isCurrent()) {
          this.#uncharged.delete(request);
          this.#world.refuse(request, code);
        }
      },
    });
  }

  /** A caller whose router is down connects again when it is up. */
  #route(request: SimRequest): void {
    if (!this.#downRouters.has(request.router)) {
      this.#policy.route(request);
    }
  }

  #fail(event: FaultEvent): void {
    if (event.kind === "engine_crash") {
      this.#crash(event.engine, event.downMs);
    } else if (event.kind === "events_lost") {
      const feed = this.#world.feeds.get(event.engine)!;
      feed.loseUntil(event.atMs + event.durationMs);
    } else {
      this.#restartRouters(event.routers, event.downMs);
    }
  }

  #crash(engineId: string, downMs: number): void {
    const engine = this.#world.engines.get(engineId)!;
    if (!engine.isUp) {
      return;
    }
    engine.crash();
    this.#policy.onEngineDown?.(engineId);
    this.#time.after(downMs, () => {
      engine.restart();
      this.#policy.onEngineUp?.(engineId);
    });
  }

  #restartRouters(routers: readonly string[], downMs: number): void {
    const affected = [...this.#open.values()].filter((request) =>
      !request.isOver && routers.includes(request.router)
    );
    this.#restartedAtMs = this.#time.nowMs;
    routers.forEach((id) => this.#downRouters.add(id));
    for (const request of affected) {
      this.#world.abandon(request);
      request.isOver = request.hasFirstToken;
    }
    this.#policy.onRoutersDown?.(routers);
    this.#admission.onRoutersDown?.(routers);
    this.#time.after(downMs, () => {
      routers.forEach((id) => this.#downRouters.delete(id));
      this.#admission.onRoutersUp?.();
      this.#policy.onRoutersUp?.(routers);
      const waiting = [...this.#open.values()].filter((request) =>
        !request.isOver && !request.hasFirstToken &&
        routers.includes(request.router)
      );
      for (const request of waiting) {
        const charged = this.#uncharged.get(request);
        if (charged === undefined) {
          this.#policy.route(request);
        } else {
          this.#charge(request, charged);
        }
      }
    });
  }
}
