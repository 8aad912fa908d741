/**
 * Admits requests, charges them to their team's rate limit, starts them, and
 * holds the state that all requests of this daemon share.
 *
 * @module
 */

import { steadyMs } from "@endivebend/clock";
import { type BucketTolerance, SharedBucket } from "@endivebend/limits";
import type { ServiceName, TeamId } from "@endivebend/types";
import { type Admission, admit, type RequestHead } from "./admit.ts";
import { ConfigurationView } from "./configuration.ts";
import {
  explainRoute,
  type RouteExplanation,
  type RouteQuery,
} from "./explain_route.ts";
import type { CallerSink } from "./ports.ts";
import type { RepeatCause, RequestContext } from "./request_context.ts";
import { RequestRun } from "./request_run.ts";
import { RetryBudget, type RetryLimits } from "./retry_budget.ts";
import type { Configuration, RoutedRequest, TeamRules } from "./types.ts";
import { SlotAdmission } from "./slot_admission.ts";
import { rankOf } from "./slot_rules.ts";
import { WeightsProbes } from "./weights_probes.ts";

/** Limits from the deployment's settings. */
export interface AdmissionBounds {
  readonly tolerance: BucketTolerance;
  /** Limits on the retries of all daemons together. */
  readonly repeats: RetryLimits;
}

/** Dependencies of the admission controller. */
export interface AdmissionOptions {
  readonly context: Omit<
    RequestContext,
    | "weightsProbes"
    | "tryRetry"
    | "settleRetry"
    | "ended"
    | "maxOwnConnections"
    | "tokensPerEvent"
    | "cacheStores"
    | "slots"
    | "slotRank"
  >;
  readonly bounds: AdmissionBounds;
  /** Number of daemons in the fleet, including this one. */
  fleetSize(): number;
  /**
   * Number of daemons that may use a part of the fleet's limits, this one
   * included; undefined while the fleet's list is not known.
   */
  limitSharers(): number | undefined;
  /** Share of the fleet that this daemon receives gossip from, 0 to 1. */
  reachableShare(): number;
}

/** The outcome of opening a request. */
export type OpenResult =
  | { readonly kind: "running"; readonly run: RequestRun }
  | {
    readonly kind: "over_limit";
    readonly team: TeamId;
    readonly retryAfterMs: number;
  };

/** Share of a server's connection limit that the fleet uses. */
const CONNECTION_UTILIZATION = 0.8;
/** Lower bound, so that a daemon of a large fleet can still reach a server. */
const MIN_CONNECTIONS = 4;
/** Shorter waits would bring all refused requests back at once, in vain. */
const MIN_RETRY_AFTER_MS = 200;

/** Admits requests and starts them. */
export class AdmissionController {
  readonly #options: AdmissionOptions;
  readonly #context: RequestContext;
  readonly #buckets = new Map<TeamId, SharedBucket>();
  readonly #spent = new Map<TeamId, number>();
  readonly #retryBudget: RetryBudget;
  readonly #runs = new Set<RequestRun>();
  #view: ConfigurationView | undefined;

  constructor(options: AdmissionOptions) {
    this.#options = options;
    this.#retryBudget = new RetryBudget(options.bounds.repeats, {
      startedAtMs: steadyMs(options.context.clock),
    });
    this.#context = {
      ...options.context,
      maxOwnConnections: (service) => this.#maxOwnConnections(service),
      tokensPerEvent: (service) =>
        this.#view?.service(service)?.tokensPerEvent ?? 1,
      cacheStores: () => this.#view?.configuration.cacheStores ?? [],
      slots: new SlotAdmission({
        fleetSize: options.fleetSize,
        random: Math.random,
      }),
      slotRank: ({ service, route: { urgency } }) =>
        this.#view && rankOf(this.#view.slotRules, { service, urgency }),
      weightsProbes: new WeightsProbes(options.fleetSize),
      tryRetry: (request, cause) => this.#tryRetry(request, cause),
      settleRetry: ({ service }) =>
        this.#retryBudget.settleRetry(service, this.#nowMs()),
      ended: (request, { run, hasRun }) => {
        this.#runs.delete(run);
        if (!hasRun) this.#refund(request);
      },
    };
  }

  get view(): ConfigurationView | undefined {
    return this.#view;
  }

  /** Units that each team has spent at this daemon since its start. */
  spent(): Readonly<Record<TeamId, number>> {
    return Object.fromEntries(this.#spent);
  }

  /** Requests a second that callers have lately sent for each service. */
  demandPerS(): ReadonlyMap<ServiceName, number> {
    return this.#retryBudget.requestsPerS(this.#nowMs());
  }

  /** Applies a configuration; false when its revision is not newer. */
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
  admit(head: RequestHead): Admission {
    return admit(this.#view, head, Math.random());
  }

  /** Charges the request to its team and creates its run. */
  open(request: RoutedRequest, caller: CallerSink): OpenResult {
    const nowMs = this.#nowMs();
    const bucket = request.team && this.#bucketOf(request.team, nowMs);
    bucket?.setShare(this.#options.reachableShare(), nowMs);
    if (request.team && bucket && !bucket.take(request.cost, nowMs)) {
      const waitMs = bucket.waitMs(request.cost, nowMs);
      this.#context.metrics.count("over_limit", { team: request.team.id });
      return {
        kind: "over_limit",
        team: request.team.id,
        retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.round(waitMs)),
      };
    }
    if (request.team) this.#addSpent(request.team.id, request.cost);
    this.#retryBudget.recordRequest(request.service, nowMs);
    const run = new RequestRun(this.#context, request, caller);
    this.#runs.add(run);
    return { kind: "running", run };
  }

  /** Tells where a request would go now and why, and does nothing with it. */
  explain(query: RouteQuery): RouteExplanation {
    const nowMs = this.#nowMs();
    const context = {
      ...this.#context,
      view: this.#view,
      overLimitMs: ({ id }: TeamRules, cost: number) =>
        this.#buckets.get(id)?.waitMs(cost, nowMs) ?? 0,
    };
    return explainRoute(query, { context, nowMs });
  }

  /** Ends all requests with their last answers, as the daemon ends. */
  stopRuns(): void {
    for (const run of [...this.#runs]) run.stop();
  }

  /** Applies that the process was paused until now. */
  resumeAfterPause(): void {
    for (const bucket of this.#buckets.values()) {
      bucket.skipRefill(this.#nowMs());
    }
  }

  /** Charges units that other daemons have spent to the team's bucket. */
  recordPeerSpending(team: TeamId, units: number): void {
    this.#buckets.get(team)?.deductRemoteSpending(units, this.#nowMs());
  }

  #nowMs(): number {
    return steadyMs(this.#context.clock);
  }

  #bucketOf(team: TeamRules, nowMs: number): SharedBucket {
    const existing = this.#buckets.get(team.id);
    if (existing !== undefined) return existing;
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

  #refund(request: RoutedRequest): void {
    if (request.team === undefined) return;
    this.#buckets.get(request.team.id)?.refund(request.cost);
    this.#addSpent(request.team.id, -request.cost);
  }

  #maxOwnConnections(service: RoutedRequest["service"]): number {
    const serverLimit = this.#view?.service(service)?.maxConnections ?? 0;
    const ownShare = serverLimit * CONNECTION_UTILIZATION /
      this.#options.fleetSize();
    return Math.max(MIN_CONNECTIONS, Math.floor(ownShare));
  }

  #tryRetry(request: RoutedRequest, cause: RepeatCause): boolean {
    const { requestId, service } = request;
    const moment = {
      nowMs: this.#nowMs(),
      sharers: this.#options.limitSharers(),
    };
    const isAllowed = this.#retryBudget.tryRetry(service, moment);
    const outcome = isAllowed ? "allowed" : "refused";
    this.#context.metrics.count("repeats", { outcome, cause });
    this.#context.log.decision("repeat", {
      requestId,
      service,
      cause,
      outcome,
      slackPart: this.#retryBudget.slackPart(moment),
    });
    return isAllowed;
  }
}
