/**
 * Takes requests in: charges them to their team's rate, runs them, and keeps
 * what all of them share.
 *
 * @module
 */

import { steadyMs } from "@endivebend/clock";
import { type BucketTolerance, SharedBucket } from "@endivebend/limits";
import type { TeamId } from "@endivebend/types";
import { type Admission, admit, type Arrival } from "./admit.ts";
import { type CallContext, CallRun } from "./call_run.ts";
import { ConfigurationView } from "./configuration.ts";
import type { CallerSink } from "./ports.ts";
import { type RepeatBound, RepeatWindow } from "./repeat_window.ts";
import type { Call, Configuration, TeamRules } from "./types.ts";

/** Bounds that the deployment states. */
export interface AdmissionBounds {
  readonly tolerance: BucketTolerance;
  /** Repetitions that all daemons together may send. */
  readonly repeats: RepeatBound;
}

/** What the admission needs of its neighbours. */
export interface AdmissionOptions {
  readonly context: Omit<
    CallContext,
    "tryRepeat" | "ended" | "maxOwnAt" | "tokensPerEvent" | "cacheStores"
  >;
  readonly bounds: AdmissionBounds;
  /** Daemons of the fleet, this one included. */
  fleetSize(): number;
  /** Share of the fleet that this daemon hears. */
  reachableShare(): number;
}

/** The outcome of opening a call. */
export type Opened =
  | { readonly kind: "running"; readonly run: CallRun }
  | {
    readonly kind: "over_limit";
    readonly team: TeamId;
    readonly retryAfterMs: number;
  };

/** Share of a server's connections that the fleet uses. */
const CONNECTION_USE = 0.8;
/** Few connections still let a daemon reach a server. */
const MIN_CONNECTIONS = 4;
/** A herd of refused calls that returns at once would be refused again. */
const MIN_RETRY_AFTER_MS = 200;

/** Admits calls and starts them. */
export class AdmissionController {
  readonly #options: AdmissionOptions;
  readonly #context: CallContext;
  readonly #buckets = new Map<TeamId, SharedBucket>();
  readonly #spent = new Map<TeamId, number>();
  readonly #repeats: RepeatWindow;
  #view: ConfigurationView | undefined;

  constructor(options: AdmissionOptions) {
    this.#options = options;
    this.#repeats = new RepeatWindow(options.bounds.repeats);
    this.#context = {
      ...options.context,
      maxOwnAt: (service) => this.#maxOwnAt(service),
      tokensPerEvent: (service) =>
        this.#view?.service(service)?.tokensPerEvent ?? 1,
      cacheStores: () => this.#view?.configuration.cacheStores ?? [],
      tryRepeat: (call) => this.#tryRepeat(call),
      ended: (call, { hasRun }) => {
        if (!hasRun) this.#giveBack(call);
      },
    };
  }

  get view(): ConfigurationView | undefined {
    return this.#view;
  }

  /** Units spent by each team since the start. */
  spent(): Readonly<Record<TeamId, number>> {
    return Object.fromEntries(this.#spent);
  }

  /** Takes a configuration into force; false when it is not a newer one. */
  configure(configuration: Configuration): boolean {
    const current = this.#view?.configuration.revision ?? -1;
    if (configuration.revision <= current) return false;
    this.#view = new ConfigurationView(configuration);
    const { tolerance } = this.#options.bounds;
    for (const team of configuration.teams) {
      this.#buckets.get(team.id)?.setTerms(team, tolerance);
    }
    return true;
  }

  /** Decides whether a request may run at all. */
  admit(arrival: Arrival): Admission {
    return admit(this.#view, arrival, Math.random());
  }

  /** Charges the call and starts it. */
  open(call: Call, caller: CallerSink): Opened {
    const nowMs = this.#nowMs();
    const bucket = call.team && this.#bucketOf(call.team, nowMs);
    bucket?.setShare(this.#options.reachableShare(), nowMs);
    if (call.team && bucket && !bucket.take(call.cost, nowMs)) {
      const waitMs = bucket.waitMs(call.cost, nowMs);
      this.#context.metrics.count("over_limit", { team: call.team.id });
      return {
        kind: "over_limit",
        team: call.team.id,
        retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.round(waitMs)),
      };
    }
    if (call.team) this.#addSpent(call.team.id, call.cost);
    this.#repeats.recordRequest(call.service, nowMs);
    const run = new CallRun(this.#context, call, caller);
    return { kind: "running", run };
  }

  /** Takes what other daemons have spent. */
  spentElsewhere(team: TeamId, units: number): void {
    this.#buckets.get(team)?.deductRemoteSpending(units, this.#nowMs());
  }

  #nowMs(): number {
    return steadyMs(this.#context.clock);
  }

  #bucketOf(team: TeamRules, nowMs: number): SharedBucket {
    const known = this.#buckets.get(team.id);
    if (known !== undefined) return known;
    const bucket = new SharedBucket(team, {
      tolerance: this.#options.bounds.tolerance,
      nowMs,
      share: this.#options.reachableShare(),
    });
    this.#buckets.set(team.id, bucket);
    return bucket;
  }

  #addSpent(team: TeamId, units: number): void {
    this.#spent.set(team, (this.#spent.get(team) ?? 0) + units);
  }

  #giveBack(call: Call): void {
    if (call.team === undefined) return;
    this.#buckets.get(call.team.id)?.refund(call.cost);
    this.#addSpent(call.team.id, -call.cost);
  }

  #maxOwnAt(service: Call["service"]): number {
    const most = this.#view?.service(service)?.maxConnections ?? 0;
    const own = most * CONNECTION_USE / this.#options.fleetSize();
    return Math.max(MIN_CONNECTIONS, Math.floor(own));
  }

  #tryRepeat(call: Call): boolean {
    const isAllowed = this.#repeats.tryRepeat(call.service, {
      nowMs: this.#nowMs(),
      fleetSize: this.#options.fleetSize(),
    });
    const outcome = isAllowed ? "allowed" : "refused";
    this.#context.metrics.count("repeats", { outcome });
    return isAllowed;
  }
}
