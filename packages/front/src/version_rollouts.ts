/**
 * Keeps the orders to move services to other software versions: takes them from
 * the operator's records and from peers, lets requests choose their version, and
 * gives the holder of the lease what it decides on.
 *
 * @module
 */

import {
  eraOf,
  type FleetState,
  type GossipMessage,
  type LogPosition,
} from "@endivebend/fleet";
import type { OpenRollouts, RolloutStatus } from "@endivebend/orders";
import type {
  KnownServer,
  RoutedRequest,
  ServerRegistry,
  SoftwareVersion,
  VersionChoice,
  VersionNeed,
} from "@endivebend/request-path";
import { rankByRendezvous } from "@endivebend/routing";
import type { Scheduler } from "@endivebend/clock";
import type { ServiceName } from "@endivebend/types";
import {
  type ChoiceMoment,
  type FinalPhase,
  planEnd,
  planShare,
  planValidMs,
  type RolloutBounds,
  type RolloutNews,
  ServiceRollout,
  type ServiceServers,
  type VersionOrder,
} from "@endivebend/version-rollouts";
import type { FrontPorts } from "./ports.ts";

/** What the orders depend on. */
export interface VersionRolloutsOptions {
  /** Undefined where the deployment does not roll versions out. */
  readonly bounds: RolloutBounds | undefined;
  /** Names this daemon's process. */
  readonly process: string;
  readonly registry: ServerRegistry;
  readonly fleet: FleetState;
  readonly scheduler: Scheduler;
  readonly metrics: FrontPorts["metrics"];
  nowMs(): number;
  /** The epoch under which this daemon holds the lease; 0 when it does not. */
  epoch(): number;
  /** Lets all daemons have a message at once. */
  announce(): void;
  logDecision(step: string, fields: Readonly<Record<string, unknown>>): void;
}

/** Interval at which each daemon judges the versions. */
const JUDGE_INTERVAL_MS = 100;
/** A timer that comes so much later shows that the process stood still. */
const PAUSE_MS = 150;
/** Loads and lists of servers are looked up again after this time. */
const SERVERS_TTL_MS = 20;
/** Interval of log lines about what an order waits for. */
const AWAITED_LOG_INTERVAL_MS = 500;
/** Peers are told of an order that has ended for this long. */
const TELL_END_MS = 30_000;
/** A daemon that hears nothing of an order for so long reads its status. */
const UNHEARD_MS = 1_500;
/** Daemons that fell silent so long before an order have nothing to do with it. */
const SILENT_BEFORE_MS = 5_000;
/** A holder writes within this time that a version was stopped. */
const UNWRITTEN_MS = 700;
/** The others then write it one after another. */
const UNWRITTEN_SPREAD_MS = 2_500;
/** So long before the time limit an order without a holder is rolled back. */
const UNHELD_MARGIN_MS = 700;
/** A holder that hears fewer daemons leaves the lease to another one. */
const MIN_HEARD_SHARE = 0.5;
/** A cut that ends soon costs less than another holder. */
const LONELY_MS = 1_000;
/** Then it leaves the lease to daemons that hear more, if there are any. */
const YIELD_MS = 5_000;

/** Stands for the version of a server whose entry names none. */
const UNKNOWN_VERSION = "" as SoftwareVersion;

/** An order with what only this daemon needs to know of it. */
interface HeldRollout {
  readonly rollout: ServiceRollout;
  /** Versions of earlier orders that did not succeed, and whether they are bad. */
  readonly barred: Map<SoftwareVersion, { readonly isBad: boolean }>;
  /** The status of an earlier order to the same version may still stand. */
  mayShowEarlier: boolean;
  /** When something was last heard of it that a holder says. */
  heardAtMs: number;
  toldBad: number;
  awaitedLogAtMs: number;
  servers: ServiceServers;
  serversAtMs: number;
}

/** The orders, the newest of each service. */
export class VersionRollouts implements VersionChoice, OpenRollouts {
  readonly #options: VersionRolloutsOptions;
  readonly #held = new Map<ServiceName, HeldRollout>();
  readonly #attempts = new WeakMap<object, ServiceRollout>();
  /** When enough of the fleet was last heard. */
  #heardFleetAtMs = Number.NEGATIVE_INFINITY;
  /** When versions were last judged, or an answer came. */
  #judgedAtMs = Number.NEGATIVE_INFINITY;
  #cancelTick = () => {};

  constructor(options: VersionRolloutsOptions) {
    this.#options = options;
  }

  /** Ends the judging of versions. */
  stop(): void {
    this.#cancelTick();
  }

  /** Takes an order of the operator's records. */
  ordered(
    { service, to, durationMs }: Omit<VersionOrder, "position">,
    at: { readonly position: number; readonly isAgeKnown: boolean },
  ): void {
    const { position, isAgeKnown } = at;
    this.#take({ service, to, durationMs, position }, { ageMs: 0, isAgeKnown });
  }

  /** What this daemon tells its peers. */
  composeReport(): Pick<GossipMessage, "rollouts" | "versionCounts"> {
    if (this.#held.size === 0) return {};
    const nowMs = this.#options.nowMs();
    const epoch = this.#options.epoch();
    const told = [...this.#held.values()].filter(({ rollout }) =>
      !rollout.isFinal || nowMs - rollout.phaseSinceMs < TELL_END_MS
    );
    const open = told.map(({ rollout }) => rollout)
      .filter(({ isFinal }) => !isFinal);
    return {
      ...(told.length > 0 &&
        { rollouts: told.map((held) => newsOf(held, { nowMs, epoch })) }),
      ...(open.length > 0 &&
        { versionCounts: open.map((rollout) => rollout.counts()) }),
    };
  }

  /** Applies what a peer tells. */
  applyReport(message: GossipMessage, ageMs: number): void {
    if (this.#options.bounds === undefined) return;
    for (const news of message.rollouts ?? []) this.#applyNews(news, ageMs);
    const process = `${message.vm}/${message.incarnation}`;
    for (const counts of message.versionCounts ?? []) {
      const rollout = this.#held.get(counts.service)?.rollout;
      if (rollout?.order.position !== counts.order) continue;
      rollout.evidence.apply(process, counts, this.#options.nowMs());
    }
  }

  /**
   * Whether this daemon may hold the lease. One that hears less than half of the
   * fleet leaves it to others for a while; these may have ended, though.
   */
  mayHold(): boolean {
    const { fleet } = this.#options;
    const nowMs = this.#options.nowMs();
    const isHeard = this.open().length === 0 ||
      fleet.reachableShare(nowMs) >= MIN_HEARD_SHARE;
    if (isHeard) this.#heardFleetAtMs = nowMs;
    const lonelyMs = nowMs - this.#heardFleetAtMs;
    return lonelyMs < LONELY_MS || lonelyMs >= LONELY_MS + YIELD_MS;
  }

  open(): readonly VersionOrder[] {
    return [...this.#held.values()].filter(({ rollout }) => !rollout.isFinal)
      .map(({ rollout }) => rollout.order);
  }

  wantsStatus({ service }: VersionOrder): boolean {
    const held = this.#held.get(service);
    const nowMs = this.#options.nowMs();
    return held !== undefined && !held.rollout.hasPlan(nowMs) &&
      nowMs - held.heardAtMs >= UNHEARD_MS;
  }

  mayRollBack(order: VersionOrder): boolean {
    const held = this.#heldOf(order);
    if (held === undefined) return false;
    const { rollout } = held;
    const nowMs = this.#options.nowMs();
    const { process } = this.#options;
    const spread = evenly(`${process}/rollback/${order.position}`);
    if (rollout.phase === "stopped") {
      const sinceMs = nowMs - rollout.phaseSinceMs;
      return sinceMs >= UNWRITTEN_MS + spread * UNWRITTEN_SPREAD_MS;
    }
    const dueMs = order.durationMs - UNHELD_MARGIN_MS * (1 - spread / 2);
    return !rollout.isAgeGuessed && !rollout.hasPlan(nowMs) &&
      rollout.ageMs(nowMs) >= dueMs;
  }

  applyStatus(order: VersionOrder, { to, phase }: RolloutStatus): boolean {
    const held = this.#heldOf(order);
    if (held === undefined) return true;
    if (to !== order.to) return false;
    if (phase === "running") {
      held.mayShowEarlier = false;
      return false;
    }
    if (held.mayShowEarlier) return false;
    this.#finish(held, phase);
    return true;
  }

  plan(order: VersionOrder, epoch: number): "running" | FinalPhase {
    const held = this.#heldOf(order);
    if (held === undefined) return "running";
    const { rollout } = held;
    const nowMs = this.#options.nowMs();
    if (rollout.phase === "running") this.#planShare(held, epoch);
    const { durationMs } = rollout.order;
    const movedAllForMs = rollout.movedAllForMs(nowMs);
    const awaited = {
      oldWork: this.#workToLeave(held),
      ...this.#fleetAt(rollout),
    };
    if (movedAllForMs !== undefined) this.#logAwaited(held, awaited);
    return planEnd({
      elapsedMs: rollout.ageMs(nowMs),
      durationMs,
      movedAllForMs,
      isBad: rollout.phase !== "running",
      ...awaited,
    });
  }

  /** Logs what keeps an order from its end, in intervals. */
  #logAwaited(
    held: HeldRollout,
    awaited: Readonly<Record<string, number>>,
  ): void {
    const nowMs = this.#options.nowMs();
    if (nowMs < held.awaitedLogAtMs) return;
    held.awaitedLogAtMs = nowMs + AWAITED_LOG_INTERVAL_MS;
    const { service, to } = held.rollout.order;
    this.#options.logDecision("rollout_awaits", { service, to, ...awaited });
  }

  allows(
    server: KnownServer,
    request: RoutedRequest,
    need: VersionNeed,
  ): boolean {
    const held = this.#held.get(request.service);
    if (held === undefined) return true;
    const bar = held.barred.get(versionOf(server));
    if (bar !== undefined) {
      if (need.goesOn) return !bar.isBad;
      const { servers } = this.#moment(held, need);
      return !servers.hasOld && !servers.hasNew;
    }
    const choice = {
      id: server.listed.id,
      isNew: isNew(server, held.rollout),
      load: () => this.#options.registry.workAt(server).running,
    };
    return held.rollout.allows(request, choice, this.#moment(held, need));
  }

  fallsBack(
    request: RoutedRequest,
    reason: string,
    need: VersionNeed,
  ): boolean {
    const held = this.#held.get(request.service);
    return held !== undefined &&
      held.rollout.fallsBack(request, reason, this.#moment(held, need));
  }

  sent(
    key: object,
    { request, server, tokensToRead }: Parameters<VersionChoice["sent"]>[1],
  ): void {
    const held = this.#held.get(request.service);
    if (held === undefined || held.rollout.isFinal) return;
    const { rollout, barred } = held;
    if (barred.has(versionOf(server))) return;
    const isNewServer = isNew(server, rollout);
    this.#options.metrics.count("rollout_attempts", {
      version: isNewServer ? "new" : "other",
    });
    this.#attempts.set(key, rollout);
    rollout.noteSent(key, {
      request,
      server: server.listed.id,
      isNew: isNewServer,
      tokensToRead,
      nowMs: this.#options.nowMs(),
    });
  }

  began(key: object): void {
    this.#noticePause();
    this.#attempts.get(key)?.watch.began(key, this.#options.nowMs());
  }

  answered(key: object): void {
    this.#noticePause();
    this.#attempts.get(key)?.watch.answered(key, this.#options.nowMs());
  }

  failed(key: object): void {
    this.#attempts.get(key)?.watch.failed(key);
  }

  lost(key: object): void {
    this.#attempts.get(key)?.watch.lost(key);
  }

  dropped(key: object): void {
    this.#attempts.get(key)?.watch.dropped(key);
  }

  #heldOf({ service, position }: VersionOrder): HeldRollout | undefined {
    const held = this.#held.get(service);
    return held?.rollout.order.position === position ? held : undefined;
  }

  #take(
    order: VersionOrder,
    { ageMs, isAgeKnown }: {
      readonly ageMs: number;
      readonly isAgeKnown: boolean;
    },
  ): HeldRollout | undefined {
    const { bounds, process } = this.#options;
    if (bounds === undefined) return undefined;
    const known = this.#held.get(order.service);
    const before = known?.rollout.order;
    if (before !== undefined && order.position <= before.position) {
      return order.position === before.position ? known : undefined;
    }
    if (before !== undefined && isCopyOf(order, before)) {
      known!.rollout.reposition(order.position);
      return known;
    }
    const nowMs = this.#options.nowMs();
    const { to } = order;
    const rollout = new ServiceRollout(order, {
      bounds,
      process,
      creditStart: evenly(`${process}/${order.service}/${order.position}`),
      orderedAtMs: isAgeKnown ? nowMs - ageMs : undefined,
      nowMs,
    });
    const held = {
      rollout,
      barred: barredAfter(known, to),
      mayShowEarlier: before?.to === to,
      // An order that was given before the start may have ended.
      heardAtMs: isAgeKnown ? nowMs : Number.NEGATIVE_INFINITY,
      toldBad: 0,
      awaitedLogAtMs: Number.NEGATIVE_INFINITY,
      servers: { hasOld: true, hasNew: true, oldLoad: 0, daemons: 1 },
      serversAtMs: Number.NEGATIVE_INFINITY,
    };
    this.#held.set(order.service, held);
    this.#options.logDecision("rollout_order", { ...order, ageMs, isAgeKnown });
    this.#cancelTick();
    this.#tick();
    return held;
  }

  #applyNews(news: RolloutNews, messageAgeMs: number): void {
    const { service, to, durationMs, order: position } = news;
    const ageMs = news.ageMs + messageAgeMs;
    const order = { service, to, durationMs, position };
    const { isAgeGuessed = false } = news;
    const held = this.#take(order, { ageMs, isAgeKnown: !isAgeGuessed });
    if (held === undefined) return;
    const { rollout } = held;
    const nowMs = this.#options.nowMs();
    rollout.noteAge({ ageMs, isAgeGuessed }, nowMs);
    for (const version of news.barred ?? []) {
      if (!held.barred.has(version)) held.barred.set(version, { isBad: true });
    }
    if (news.plan !== undefined) {
      held.heardAtMs = nowMs;
      rollout.setPlan(news.plan, nowMs - messageAgeMs);
    }
    if (news.phase === "running") return;
    if (news.phase === "stopped") return this.#stop(held, { by: "peer" });
    this.#finish(held, news.phase);
  }

  /** After a pause of this process, answers that waited for it look late. */
  #noticePause(): void {
    const nowMs = this.#options.nowMs();
    const isPaused = nowMs - this.#judgedAtMs > JUDGE_INTERVAL_MS + PAUSE_MS;
    this.#judgedAtMs = nowMs;
    if (!isPaused) return;
    for (const { rollout } of this.#held.values()) rollout.watch.notePause();
  }

  #tick(): void {
    const { scheduler } = this.#options;
    this.#noticePause();
    this.#cancelTick = scheduler.after(JUDGE_INTERVAL_MS, () => this.#tick());
    for (const held of this.#held.values()) {
      if (!held.rollout.isFinal) this.#judge(held);
    }
  }

  #judge(held: HeldRollout): void {
    const { rollout } = held;
    const fault = rollout.judge(this.#options.nowMs());
    const { bad } = rollout.watch;
    const isNews = bad > held.toldBad && rollout.phase === "running";
    held.toldBad = bad;
    if (fault !== undefined) this.#stop(held, { by: "evidence", ...fault });
    else if (isNews) this.#options.announce();
  }

  #stop(
    { rollout }: HeldRollout,
    why: Readonly<Record<string, unknown>>,
  ): void {
    if (!rollout.stop(this.#options.nowMs())) return;
    const { service, to } = rollout.order;
    this.#options.logDecision("rollout_stopped", { service, to, ...why });
    this.#options.metrics.count("rollout_stops");
    this.#options.announce();
  }

  #finish(held: HeldRollout, phase: FinalPhase): void {
    const { rollout } = held;
    const { service, to } = rollout.order;
    const nowMs = this.#options.nowMs();
    // A daemon that has started since does not know which servers stop.
    const wasSeen = !rollout.isAgeGuessed || rollout.hasPlan(nowMs);
    const oldIds = wasSeen
      ? this.#servers(held, false).map(({ listed }) => listed.id)
      : [];
    if (!rollout.finish(phase, { oldIds, nowMs })) return;
    const ageMs = Math.round(rollout.ageMs(nowMs));
    const { exposure } = rollout.evidence;
    this.#options.logDecision("rollout_end", {
      service,
      to,
      phase,
      ageMs,
      ...exposure,
    });
    this.#options.announce();
  }

  #planShare(held: HeldRollout, epoch: number): void {
    const { rollout } = held;
    const { fleet, bounds } = this.#options;
    const nowMs = this.#options.nowMs();
    const { service, position, durationMs, to } = rollout.order;
    const newIds = this.#servers(held, true).map(({ listed }) => listed.id);
    const plan = planShare({
      elapsedMs: rollout.ageMs(nowMs),
      durationMs,
      exposeShare: bounds?.exposeShare ?? 0,
      exposeSlack: bounds?.exposeSlack ?? 0,
      oldServers: this.#servers(held, false).length,
      newServers: rankByRendezvous(`${service}/${position}`, newIds),
      routes: rollout.evidence.routes(),
      requests: rollout.evidence.exposure.requests,
      share: rollout.applied(nowMs),
      longestMs: rollout.watch.longestMs,
    });
    const before = rollout.applied(nowMs);
    const validMs = planValidMs({
      share: plan.share,
      gossipRoundMs: fleet.gossipRoundMs,
      rollbackMs: bounds?.rollbackMs ?? 0,
    });
    rollout.setPlan({ ...plan, epoch, validMs }, nowMs);
    if (plan.share === before) return;
    this.#options.logDecision("rollout_plan", {
      service,
      to,
      epoch,
      share: plan.share,
      servers: plan.servers,
      ageMs: Math.round(rollout.ageMs(nowMs)),
      ...rollout.evidence.exposure,
    });
    this.#options.announce();
  }

  /** Daemons that don't apply the plan, or that nothing is heard of. */
  #fleetAt(rollout: ServiceRollout) {
    const { fleet, nowMs } = this.#options;
    const { service, position } = rollout.order;
    const reachable = new Set(
      fleet.reachable(nowMs()).map(({ vm }) => vm),
    );
    const sinceMs = nowMs() - rollout.ageMs(nowMs()) - SILENT_BEFORE_MS;
    let [lagging, silent, daemons] = [0, 0, 1];
    for (const { vm, message, heardAtMs } of fleet.members()) {
      if (message === undefined || heardAtMs < sinceMs) continue;
      daemons += 1;
      if (!reachable.has(vm)) {
        silent += 1;
        continue;
      }
      const news = message.rollouts?.find((entry) =>
        entry.service === service && entry.order === position
      );
      if ((news?.applied ?? 0) < 1) lagging += 1;
    }
    return { lagging, silent, daemons };
  }

  #oldWork(held: HeldRollout): number {
    const { registry } = this.#options;
    return this.#servers(held, false).reduce(
      (sum, server) => sum + registry.workAt(server).running,
      0,
    );
  }

  /** Work at all servers that stop at success, also those of barred versions. */
  #workToLeave({ rollout }: HeldRollout): number {
    const { registry, nowMs } = this.#options;
    return registry.usable(rollout.order.service, nowMs())
      .filter((server) => !isNew(server, rollout))
      .reduce((sum, server) => sum + registry.workAt(server).running, 0);
  }

  #servers({ rollout, barred }: HeldRollout, areNew: boolean): KnownServer[] {
    const { registry, nowMs } = this.#options;
    return registry.usable(rollout.order.service, nowMs()).filter((server) =>
      isNew(server, rollout) === areNew && !barred.has(versionOf(server))
    );
  }

  #moment(held: HeldRollout, need: VersionNeed): ChoiceMoment {
    const nowMs = this.#options.nowMs();
    if (nowMs - held.serversAtMs >= SERVERS_TTL_MS) {
      const old = this.#servers(held, false).length;
      held.serversAtMs = nowMs;
      held.servers = {
        hasOld: old > 0,
        hasNew: this.#servers(held, true).length > 0,
        daemons: this.#options.fleet.size,
        oldLoad: old === 0 ? 0 : this.#oldWork(held) / old,
      };
    }
    return { servers: held.servers, ...need, nowMs };
  }
}

function versionOf({ listed }: KnownServer): SoftwareVersion {
  return listed.softwareVersion ?? UNKNOWN_VERSION;
}

/** A version of which no order has shown that it is sound counts as bad. */
function barredAfter(
  before: HeldRollout | undefined,
  to: SoftwareVersion,
): HeldRollout["barred"] {
  const barred = new Map(before?.barred);
  if (before !== undefined && before.rollout.phase !== "succeeded") {
    const isBad = before.rollout.phase !== "running";
    barred.set(before.rollout.order.to, { isBad });
  }
  barred.delete(to);
  return barred;
}

function newsOf(
  { rollout, barred }: HeldRollout,
  at: { readonly nowMs: number; readonly epoch: number },
): RolloutNews {
  const news = rollout.news(at.nowMs, at.epoch);
  return barred.size === 0 ? news : { ...news, barred: [...barred.keys()] };
}

function isNew({ listed }: KnownServer, { order }: ServiceRollout): boolean {
  return listed.softwareVersion === order.to;
}

/** Whether an order is one that a restore of the store has brought elsewhere. */
function isCopyOf(order: VersionOrder, before: VersionOrder): boolean {
  return order.to === before.to && order.durationMs === before.durationMs &&
    eraOf(order.position as LogPosition) !==
      eraOf(before.position as LogPosition);
}

/** Maps a text evenly to 0 up to 1, so that daemons start at different ones. */
function evenly(text: string): number {
  // FNV-1a, with a last mix, as texts differ in a few characters only.
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 15), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return ((hash ^ (hash >>> 16)) >>> 0) / 2 ** 32;
}
