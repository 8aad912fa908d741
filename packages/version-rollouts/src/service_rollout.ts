/**
 * What one daemon knows of an order, and which servers its requests may use.
 * Daemons may start again, or hear nothing of the others: without a plan that
 * holds, requests go to the old version, and a version that any daemon has found
 * bad gets none.
 *
 * @module
 */

import type { RouteName } from "@endivebend/request-path";
import type { BackendServerId } from "@endivebend/types";
import { AnswerWatch } from "./answer_watch.ts";
import { ExposureCredit } from "./exposure_credit.ts";
import {
  findFault,
  FleetEvidence,
  type VersionFault,
} from "./fleet_evidence.ts";
import { lackingRoutes, slackOf } from "./rollout_plan.ts";
import type {
  FinalPhase,
  RolloutBounds,
  RolloutNews,
  RolloutPhase,
  RolloutPlan,
  VersionCounts,
  VersionOrder,
} from "./version_order.ts";

/** Part of the bound on exposure that is used before all requests move. */
const MAX_EXPOSE_PART = 0.75;
/** The next request of a route that lacks answers adds this much credit. */
const LACKING_WEIGHT = 1.5;
/** And one of another route, while some lack answers. */
const OTHER_WEIGHT = 0.5;
/** Every daemon opens connections to all new servers at the same time then. */
const MOVE_GRACE_MS = 400;
/** The entries of servers that have ended are gone by then. */
const OLD_GONE_MS = 10_000;
/** Then a version that was found bad serves if there is no other. */
const LAST_RESORT_MS = 30_000;
/**
 * Age that is taken for that of an order from before the start, as a share of
 * its duration. All daemons may have ended at once, late in the order.
 */
const GUESSED_AGE_PART = 0.4;
/** Part of the rollback time in which begun streams may go on. */
const GO_ON_PART = 0.6;
/** Load of a new server, as a multiple of the old servers' mean. */
const MAX_LOAD_FACTOR = 1.3;
/** Requests beyond that; a server with few of them is not loaded. */
const MAX_LOAD_EXCESS = 2;
/** Part of the rollback time for which a plan of all requests holds. */
const ALL_VALID_PART = 0.6;
/** Gossip tells the plan each 200 ms in a small fleet. */
const MIN_VALID_MS = 1_500;

/** The servers of the service, as they are listed now. */
export interface ServiceServers {
  readonly hasOld: boolean;
  readonly hasNew: boolean;
  /** Daemons of the fleet. */
  readonly daemons: number;
  /** Requests at an old server, on average. */
  readonly oldLoad: number;
}

/** A server that a request may use. */
export interface ServerChoice {
  readonly id: BackendServerId;
  readonly isNew: boolean;
  /** Requests of all daemons at the server. */
  load(): number;
}

/** When a request asks, and what for. */
export interface ChoiceMoment {
  readonly servers: ServiceServers;
  /** Whether the request goes on with a stream of a known version. */
  readonly goesOn: boolean;
  /** Whether the choice is only explained; it uses no credit. */
  readonly isTrial?: boolean;
  readonly nowMs: number;
}

/** A request of the service; the same object in all calls. */
export interface RolloutRequest {
  readonly route: { readonly name: RouteName };
}

type Side = "new" | "old";

type HeldPlan = RolloutPlan & { readonly untilMs: number };

/**
 * How long a plan holds, given the time that gossip takes to reach all. Once all
 * requests have moved it holds until another daemon has the lease of a holder
 * that was lost: to go back to the old servers and leave them again takes longer
 * than the order has. Daemons that hear others stop a bad version all the same.
 *
 * @example
 * ```ts
 * const validMs = planValidMs({ share: 0.03, gossipRoundMs: 800, rollbackMs });
 * ```
 */
export function planValidMs(
  { share, gossipRoundMs, rollbackMs }: {
    readonly share: number;
    readonly gossipRoundMs: number;
    readonly rollbackMs: number;
  },
): number {
  const validMs = Math.max(MIN_VALID_MS, 2 * gossipRoundMs + 700);
  return share < 1 ? validMs : Math.max(validMs, ALL_VALID_PART * rollbackMs);
}

/** The state of one order at one daemon. */
export class ServiceRollout {
  readonly evidence = new FleetEvidence();
  readonly watch: AnswerWatch;
  readonly #bounds: RolloutBounds;
  readonly #credit: ExposureCredit;
  readonly #process: string;
  readonly #sides = new WeakMap<object, Side>();
  /** Requests that the new version had no place for, or did not answer. */
  readonly #fallenBack = new WeakSet<object>();
  /** Requests that use old servers although all are to leave them. */
  readonly #stranded = new WeakSet<object>();
  #order: VersionOrder;
  #phase: RolloutPhase = "running";
  #phaseSinceMs = 0;
  #orderedAtMs: number;
  #isAgeGuessed: boolean;
  #plan: HeldPlan | undefined;
  #highestEpoch = 0;
  #movedAllSinceMs: number | undefined;
  #oldIds: ReadonlySet<BackendServerId> = new Set();
  #lacking: ReadonlySet<RouteName> = new Set();

  constructor(order: VersionOrder, options: {
    readonly bounds: RolloutBounds;
    /** The daemon's process. */
    readonly process: string;
    /** Evenly drawn from 0 to 1. */
    readonly creditStart: number;
    /** When the order was given; undefined when it was before the start. */
    readonly orderedAtMs: number | undefined;
    readonly nowMs: number;
  }) {
    this.#order = order;
    this.#bounds = options.bounds;
    this.#process = options.process;
    this.#isAgeGuessed = options.orderedAtMs === undefined;
    this.#orderedAtMs = options.orderedAtMs ??
      options.nowMs - GUESSED_AGE_PART * order.durationMs;
    this.#credit = new ExposureCredit(options.creditStart);
    this.watch = new AnswerWatch((route, nowMs) => {
      const pace = this.evidence.paceOf(route, nowMs);
      if (pace === undefined) return undefined;
      return { ...pace, isFresh: pace.isFresh && this.applied(nowMs) < 1 };
    });
  }

  get order(): VersionOrder {
    return this.#order;
  }

  get phase(): RolloutPhase {
    return this.#phase;
  }

  get isFinal(): boolean {
    return this.#phase === "succeeded" || this.#phase === "rolled_back";
  }

  /** Since when the phase lasts. */
  get phaseSinceMs(): number {
    return this.#phaseSinceMs;
  }

  ageMs(nowMs: number): number {
    return nowMs - this.#orderedAtMs;
  }

  /** The share of new requests that goes to the new version now. */
  applied(nowMs: number): number {
    if (this.#phase === "succeeded") return 1;
    if (this.#phase !== "running" || this.#plan === undefined) return 0;
    return nowMs < this.#plan.untilMs ? this.#plan.share : 0;
  }

  /** Whether the order is from before the start, and nobody has told its age. */
  get isAgeGuessed(): boolean {
    return this.#isAgeGuessed;
  }

  /** For how long all new requests have gone to the new version. */
  movedAllForMs(nowMs: number): number | undefined {
    if (this.#movedAllSinceMs === undefined) return undefined;
    return nowMs - this.#movedAllSinceMs;
  }

  /** Whether a plan holds now. */
  hasPlan(nowMs: number): boolean {
    return this.#plan !== undefined && nowMs < this.#plan.untilMs;
  }

  /** The same order's record stands elsewhere, as the store was restored. */
  reposition(position: number): void {
    this.#order = { ...this.#order, position };
  }

  /** Another daemon tells the order's age; what was guessed gives way. */
  noteAge(
    { ageMs, isAgeGuessed = false }: Pick<
      RolloutNews,
      "ageMs" | "isAgeGuessed"
    >,
    nowMs: number,
  ): void {
    if (isAgeGuessed && !this.#isAgeGuessed) return;
    const orderedAtMs = nowMs - ageMs;
    const isBetter = this.#isAgeGuessed && !isAgeGuessed;
    this.#isAgeGuessed = isAgeGuessed;
    this.#orderedAtMs = isBetter
      ? orderedAtMs
      : Math.min(this.#orderedAtMs, orderedAtMs);
  }

  /** Takes a plan, unless a later holder has made one. */
  setPlan(plan: RolloutPlan, receivedAtMs: number): void {
    if (plan.epoch < this.#highestEpoch) return;
    this.#highestEpoch = plan.epoch;
    const wasMoved = this.applied(receivedAtMs) >= 1;
    this.#plan = { ...plan, untilMs: receivedAtMs + plan.validMs };
    if (plan.share < 1) this.#movedAllSinceMs = undefined;
    else if (!wasMoved) this.#movedAllSinceMs = receivedAtMs;
  }

  /** Sends nothing more to the new version. */
  stop(nowMs: number): boolean {
    if (this.#phase !== "running") return false;
    this.#phase = "stopped";
    this.#phaseSinceMs = nowMs;
    return true;
  }

  /** The status says how the order ended. False when that was known. */
  finish(
    phase: FinalPhase,
    at: { readonly oldIds: Iterable<BackendServerId>; readonly nowMs: number },
  ): boolean {
    if (this.isFinal) return false;
    const wasStopped = this.#phase === "stopped" && phase === "rolled_back";
    if (!wasStopped) this.#phaseSinceMs = at.nowMs;
    this.#phase = phase;
    this.#oldIds = new Set(at.oldIds);
    return true;
  }

  /** Whether a request may use a server. */
  allows(
    request: RolloutRequest,
    server: ServerChoice,
    moment: ChoiceMoment,
  ): boolean {
    if (moment.goesOn) return this.#mayGoOn(server, moment);
    if (this.#phase === "succeeded") {
      const isOld = this.#oldIds.has(server.id) &&
        moment.nowMs - this.#phaseSinceMs < OLD_GONE_MS;
      return !isOld || !moment.servers.hasNew;
    }
    if (this.#phase !== "running") {
      return !server.isNew || this.#isLastResort(moment);
    }
    const side = this.#sideOf(request, moment);
    if (side === "old") return !server.isNew || !moment.servers.hasOld;
    return server.isNew && this.#takes(server, moment);
  }

  /**
   * Whether a request that found no place tries the other version. It keeps to
   * that from then on.
   */
  fallsBack(
    request: RolloutRequest,
    reason: string,
    moment: ChoiceMoment,
  ): boolean {
    if (this.#phase !== "running" || moment.goesOn) return false;
    if (this.#sideOf(request, moment) !== "new") return false;
    const hasMovedAll = this.applied(moment.nowMs) >= 1;
    if (hasMovedAll && (reason !== "no_server" || !moment.servers.hasOld)) {
      return false;
    }
    if (hasMovedAll) this.#stranded.add(request);
    this.#fallenBack.add(request);
    return true;
  }

  /** An attempt is sent; `key` names it in the calls of {@link watch}. */
  noteSent(key: object, attempt: {
    readonly request: RolloutRequest;
    readonly server: BackendServerId;
    readonly isNew: boolean;
    readonly tokensToRead: number;
    readonly nowMs: number;
  }): void {
    if (this.isFinal) return;
    const { request, server, isNew, tokensToRead, nowMs } = attempt;
    const route = request.route.name;
    const counted = this.#sides.get(request);
    this.#sides.set(request, "old");
    if (isNew && counted !== "new") this.#credit.noteExtra();
    if (!isNew && counted === "new") this.#credit.giveBack();
    if (isNew) this.#fallenBack.add(request);
    const movedForMs = this.movedAllForMs(nowMs) ?? Number.POSITIVE_INFINITY;
    const watched = {
      route,
      server,
      isNew,
      tokensToRead,
      sentAtMs: nowMs,
      isSpared: movedForMs < MOVE_GRACE_MS,
    };
    this.watch.sent(key, watched);
  }

  /** Counts what is late, and judges the version by all that is known. */
  judge(nowMs: number): VersionFault | undefined {
    this.watch.check(nowMs);
    this.evidence.apply(this.#process, this.counts(), nowMs);
    const routes = this.evidence.routes();
    this.#lacking = lackingRoutes(routes);
    return findFault(routes);
  }

  /** What this daemon has counted. */
  counts(): VersionCounts {
    const { service, position } = this.order;
    const { requests, exposed } = this.#credit;
    return {
      service,
      order: position,
      ...this.watch.counts(),
      requests,
      exposed,
    };
  }

  /** What this daemon tells of the order; the holder tells its plan too. */
  news(nowMs: number, epoch: number): RolloutNews {
    const { service, to, position, durationMs } = this.order;
    const plan = this.#plan;
    const isHolder = epoch > 0 && plan?.epoch === epoch &&
      this.#phase === "running" && nowMs < plan.untilMs;
    return {
      service,
      to,
      order: position,
      durationMs,
      ageMs: Math.round(this.ageMs(nowMs)),
      ...(this.#isAgeGuessed ? { isAgeGuessed: true } : {}),
      phase: this.#phase,
      applied: this.applied(nowMs),
      ...(isHolder
        ? {
          plan: {
            epoch,
            share: plan.share,
            servers: plan.servers,
            validMs: Math.round(plan.untilMs - nowMs),
          },
        }
        : {}),
    };
  }

  /** Streams keep their version, for some time also a bad one. */
  #mayGoOn({ isNew }: ServerChoice, { nowMs }: ChoiceMoment): boolean {
    const isStopped = this.#phase === "stopped" ||
      this.#phase === "rolled_back";
    return !isNew || !isStopped ||
      nowMs - this.#phaseSinceMs < GO_ON_PART * this.#bounds.rollbackMs;
  }

  #isLastResort({ servers, nowMs }: ChoiceMoment): boolean {
    return !servers.hasOld && nowMs - this.#phaseSinceMs >= LAST_RESORT_MS;
  }

  /** Without servers of one version the other serves. */
  #sideOf(
    request: RolloutRequest,
    { servers, nowMs, isTrial = false }: ChoiceMoment,
  ): Side {
    const share = this.applied(nowMs);
    if (!this.#sides.has(request) && !isTrial) {
      this.#offer(request, share, servers.daemons);
    }
    if (!servers.hasNew || this.#stranded.has(request)) return "old";
    if (this.#fallenBack.has(request) && servers.hasOld) {
      // A repeat does not go back to servers that are to be left.
      return share >= 1 ? "new" : "old";
    }
    if (share >= 1) return "new";
    return share > 0 ? this.#sides.get(request) ?? "old" : "old";
  }

  #offer(request: RolloutRequest, share: number, daemons: number): void {
    const isNew = this.#credit.offer({
      share,
      weight: this.#weightOf(request.route.name),
      maxShare: MAX_EXPOSE_PART * this.#bounds.exposeShare,
      slack: slackOf(this.#bounds.exposeSlack, daemons),
    });
    this.#sides.set(request, isNew ? "new" : "old");
  }

  #weightOf(route: RouteName): number {
    if (this.#lacking.size === 0) return 1;
    return this.#lacking.has(route) ? LACKING_WEIGHT : OTHER_WEIGHT;
  }

  /** While the share is small, only the announced servers, up to usual load. */
  #takes({ id, load }: ServerChoice, moment: ChoiceMoment): boolean {
    const { servers, nowMs } = moment;
    const plan = this.#plan;
    if (plan === undefined || this.applied(nowMs) >= 1) return true;
    const isPlanned = plan.servers.length === 0 || plan.servers.includes(id);
    return isPlanned &&
      load() < servers.oldLoad * MAX_LOAD_FACTOR + MAX_LOAD_EXCESS;
  }
}
