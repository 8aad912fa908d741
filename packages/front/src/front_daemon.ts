/**
 * Puts the daemon together from the product's parts.
 *
 * @module
 */

import { steadyMs } from "@endivebend/clock";
import {
  FleetState,
  GossipChannel,
  type GossipMessage,
  RecordExchange,
  RecordFollower,
  type RecordSource,
  RecordTable,
  shouldReadTopic,
} from "@endivebend/fleet";
import { WeightsRolloutTask } from "@endivebend/orders";
import {
  AdmissionController,
  CacheWatch,
  NamedWeightsRegistry,
  planDrain,
  ServerRegistry,
} from "@endivebend/request-path";
import { rankByRendezvous } from "@endivebend/routing";
import { brandId, type IncarnationId } from "@endivebend/types";
import { findMemories, findOrderedEngines } from "./engine_views.ts";
import { FleetTalk } from "./fleet_talk.ts";
import type {
  CallerListener,
  FrontPorts,
  FrontSettings,
  StatusServer,
} from "./ports.ts";
import { RecordIntake } from "./record_intake.ts";

/** What the operator writes; daemons hand it on under this name. */
const OPERATOR_TOPIC = "operator";
/** What backend servers write of themselves. */
const SERVER_TOPIC = "servers";
/** The operator's records come at once; a silent connection costs this long. */
const OPERATOR_WAIT_MS = 8_000;
/** Entries of servers change all the time; drains allow 2,000 ms. */
const SERVER_PACE_MS = 400;
const REGISTER_RETRY_MS = 1_000;
const LEAVING_CHECK_MS = 50;
const PRUNE_MS = 5_000;

/** The running daemon. */
export class FrontDaemon {
  readonly #settings: FrontSettings;
  readonly #ports: FrontPorts;
  readonly #incarnation: IncarnationId;
  readonly #registry = new ServerRegistry();
  readonly #named = new NamedWeightsRegistry();
  readonly #fleet: FleetState;
  readonly #admission: AdmissionController;
  readonly #intake: RecordIntake;
  readonly #tables: ReadonlyMap<string, RecordTable>;
  readonly #operatorFollower: RecordFollower;
  readonly #serverFollower: RecordFollower;
  readonly #exchange: RecordExchange;
  readonly #talk: FleetTalk;
  readonly #channel: GossipChannel;
  readonly #duty: WeightsRolloutTask;
  readonly #watch: CacheWatch;
  readonly #listener: CallerListener;
  readonly #status: StatusServer;
  /** Addresses of daemons to tell until they have been heard. */
  readonly #seeds = new Set<string>();
  #leavingSinceMs: number | undefined;

  constructor(settings: FrontSettings, ports: FrontPorts) {
    this.#settings = settings;
    this.#ports = ports;
    this.#incarnation = brandId<IncarnationId>(
      `${Date.now().toString(36)}-${Math.random().toString(36).slice(2, 8)}`,
    );
    ports.log.milestone("start", { incarnation: this.#incarnation });
    this.#fleet = new FleetState(settings.vm, settings.failureDomain);
    this.#registry.recentPlacements.setGossipRound(() =>
      this.#fleet.gossipRoundMs
    );
    this.#registry.setPeerWorkLookup((id) =>
      this.#fleet.workAt(id, this.#nowMs())
    );
    this.#admission = this.#createAdmission();
    this.#intake = this.#createIntake();
    this.#tables = this.#createTables();
    this.#operatorFollower = this.#follow(OPERATOR_TOPIC, {
      source: ports.store.operatorRecords,
      waitMs: OPERATOR_WAIT_MS,
      minReadIntervalMs: 0,
    });
    this.#serverFollower = this.#follow(SERVER_TOPIC, {
      source: ports.store.serverRecords,
      waitMs: 0,
      minReadIntervalMs: SERVER_PACE_MS,
      isReader: () => this.#isReader(),
    });
    this.#exchange = this.#createExchange();
    this.#talk = this.#createTalk();
    this.#channel = this.#createChannel();
    this.#duty = this.#createDuty();
    this.#watch = this.#createWatch();
    this.#listener = ports.listen({
      admission: this.#admission,
      isLeaving: () => this.#leavingSinceMs !== undefined,
    });
    this.#status = ports.serveStatus(() => this.#isReady());
  }

  start(): void {
    for (const ip of this.#settings.seedIps) {
      if (ip !== this.#settings.ip) this.#seeds.add(this.#peerAddress(ip));
    }
    this.#operatorFollower.start();
    this.#serverFollower.start();
    this.#duty.start();
    this.#watch.start();
    void this.#register();
    this.#pruneLater();
  }

  /** Begins a planned stop; calls `ended` when the process may end. */
  stop(ended: () => void): void {
    if (this.#leavingSinceMs !== undefined) return;
    this.#leavingSinceMs = this.#nowMs();
    this.#ports.log.milestone("stop", { open: this.#listener.openCount });
    this.#duty.stop();
    this.#watch.stop();
    this.#leave(ended);
  }

  /** The settings have changed; everything in them needs a new process. */
  reload(): void {
    const outcome = "settings apply at a restart";
    this.#ports.log.milestone("reload", { outcome });
  }

  #nowMs(): number {
    return steadyMs(this.#ports.clock);
  }

  #decision = (step: string, fields: Readonly<Record<string, unknown>>) =>
    this.#ports.log.decision(step, fields);

  #peerAddress(ip: string): string {
    return `${ip}:${this.#settings.firstPeerPort}`;
  }

  #createAdmission(): AdmissionController {
    const { failureDomain, weightsBoundMs, bounds } = this.#settings;
    const { clock, scheduler, serverClient, log, metrics } = this.#ports;
    return new AdmissionController({
      context: {
        registry: this.#registry,
        failureDomain,
        namedWeights: (model) => this.#named.history(model),
        weightsBoundMs,
        clock,
        scheduler,
        client: serverClient,
        log,
        metrics,
      },
      bounds,
      fleetSize: () => this.#fleet.size,
      reachableShare: () => this.#fleet.reachableShare(this.#nowMs()),
    });
  }

  #createIntake(): RecordIntake {
    return new RecordIntake({
      store: this.#ports.store,
      admission: this.#admission,
      registry: this.#registry,
      named: this.#named,
      nowMs: () => this.#nowMs(),
      applyLimits: (limits) => this.#listener.applyLimits(limits),
      decision: this.#decision,
    });
  }

  #createTables(): ReadonlyMap<string, RecordTable> {
    const operator = new RecordTable((records) => {
      this.#intake.takeOperatorRecords(records);
      this.#channel.broadcast();
    });
    const servers = new RecordTable((records) =>
      this.#intake.takeServers(records)
    );
    return new Map([[OPERATOR_TOPIC, operator], [SERVER_TOPIC, servers]]);
  }

  #follow(
    topic: string,
    options: {
      readonly source: RecordSource;
      readonly waitMs: number;
      readonly minReadIntervalMs: number;
      readonly isReader?: () => boolean;
    },
  ): RecordFollower {
    const { clock, scheduler, log } = this.#ports;
    return new RecordFollower({
      ...options,
      clock,
      scheduler,
      table: this.#tables.get(topic)!,
      lost: (reason) => log.milestone("store_lost", { topic, reason }),
      regained: () => log.milestone("store_regained", { topic }),
    });
  }

  #isReader(): boolean {
    const nowMs = this.#nowMs();
    return shouldReadTopic({
      self: this.#settings.vm,
      failureDomain: this.#settings.failureDomain,
      topic: SERVER_TOPIC,
      heldOffset: this.#tables.get(SERVER_TOPIC)?.highestOffset ?? -1,
      ownReadAtMs: this.#serverFollower.readAtMs,
      peers: this.#fleet.reachable(nowMs),
      nowMs,
    });
  }

  #createExchange(): RecordExchange {
    return new RecordExchange({
      ip: this.#settings.ip,
      port: this.#settings.firstPeerPort + 1,
      tables: this.#tables,
      failed: (reason) => this.#decision("peer_records_failed", { reason }),
    });
  }

  #createTalk(): FleetTalk {
    const { vm, failureDomain, ip } = this.#settings;
    return new FleetTalk({
      vm,
      incarnation: this.#incarnation,
      failureDomain,
      address: this.#peerAddress(ip),
      fleet: this.#fleet,
      registry: this.#registry,
      admission: this.#admission,
      named: this.#named,
      tables: this.#tables,
      nowMs: () => this.#nowMs(),
      reachesStore: () => this.#ports.store.isReachable,
      dutyEpoch: () => this.#duty.epoch,
      keptNews: () => this.#watch.recentEvents(),
      readAgesMs: () => this.#readAgesMs(),
    });
  }

  #readAgesMs(): Record<string, number> {
    const ageMs = this.#nowMs() - this.#serverFollower.readAtMs;
    return Number.isFinite(ageMs) ? { [SERVER_TOPIC]: Math.round(ageMs) } : {};
  }

  #createChannel(): GossipChannel {
    const { ip, firstPeerPort } = this.#settings;
    return new GossipChannel({
      ip,
      port: firstPeerPort,
      scheduler: this.#ports.scheduler,
      composeMessage: () => this.#talk.compose(),
      addresses: () => {
        const { sameDomain: near, otherDomains: far } = this.#fleet.addresses();
        const known = new Set([...near, ...far]);
        const unheard = [...this.#seeds].filter((seed) => !known.has(seed));
        return { sameDomain: near, otherDomains: [...far, ...unheard] };
      },
      onMessage: (message) => this.#hear(message),
      failed: (reason) => this.#decision("peer_send_failed", { reason }),
    });
  }

  #hear(message: GossipMessage): void {
    if (!this.#talk.hear(message)) return;
    this.#seeds.delete(message.address);
    this.#pullNewer(message);
  }

  /** Takes records that a peer holds and this daemon lacks. */
  #pullNewer(message: GossipMessage): void {
    const [ip = ""] = message.address.split(":");
    const address = `${ip}:${this.#settings.firstPeerPort + 1}`;
    for (const [topic, offset] of Object.entries(message.records)) {
      const own = this.#tables.get(topic)?.highestOffset ?? offset;
      // Each failure domain has a reader of its own for what changes often.
      const isNear = topic !== SERVER_TOPIC || own < 0 ||
        message.failureDomain === this.#settings.failureDomain;
      if (offset > own && isNear) void this.#exchange.pull(topic, address);
    }
  }

  #createDuty(): WeightsRolloutTask {
    const { clock, scheduler, dutyLog, engineOrders, store } = this.#ports;
    return new WeightsRolloutTask({
      self: this.#settings.vm,
      clock,
      scheduler,
      log: dutyLog,
      orders: engineOrders,
      leaseMs: this.#settings.leaseMs,
      engines: () =>
        findOrderedEngines(this.#registry, this.#named, this.#nowMs()),
      peers: () => this.#dutyPeers(),
      rank: (members) => rankByRendezvous("weights-duty", members),
      reachesStore: () => store.isReachable,
      onWeightsChange: (note) => {
        this.#talk.noteWeights(note);
        this.#channel.broadcast();
      },
      logDecision: this.#decision,
    });
  }

  #dutyPeers() {
    const reachable = this.#fleet.reachable(this.#nowMs())
      .filter(({ message }) => message?.reachesStore);
    const epochs = reachable.map(({ message }) => message?.duty.epoch ?? 0);
    return {
      candidates: reachable.map((member) => member.vm),
      holderEpoch: Math.max(0, ...epochs),
    };
  }

  #createWatch(): CacheWatch {
    const { clock, scheduler, memoryClient } = this.#ports;
    return new CacheWatch({
      self: this.#settings.vm,
      clock,
      scheduler,
      client: memoryClient,
      registry: this.#registry,
      caches: () =>
        findMemories(
          this.#registry,
          this.#admission.view?.configuration.cacheStores ?? [],
        ),
      peers: () =>
        this.#fleet.reachable(this.#nowMs()).map((member) => member.vm),
      gossipRoundMs: () => this.#fleet.gossipRoundMs,
      decision: this.#decision,
    });
  }

  /** Makes this daemon known and learns which others there are. */
  async #register(): Promise<void> {
    const { vm, ip } = this.#settings;
    const { store, log, scheduler } = this.#ports;
    try {
      const members = await store.announce(vm, ip);
      for (const [member, memberIp] of members) {
        this.#fleet.list(member, this.#peerAddress(memberIp), this.#nowMs());
      }
      log.milestone("registered", { members: members.size });
      this.#channel.broadcast();
    } catch (caught) {
      const reason = (caught as Error).message;
      log.decision("register_failed", { reason });
      scheduler.after(REGISTER_RETRY_MS, () => void this.#register());
    }
  }

  #isReady(): boolean {
    return this.#leavingSinceMs === undefined &&
      this.#admission.view !== undefined && this.#intake.hasServers;
  }

  #pruneLater(): void {
    const { scheduler, log, store } = this.#ports;
    scheduler.after(PRUNE_MS, () => {
      this.#registry.prune(this.#nowMs());
      log.milestone("status", {
        members: this.#fleet.size,
        reachable: this.#fleet.reachable(this.#nowMs()).length + 1,
        storeCalls: store.callCounts,
      });
      this.#pruneLater();
    });
  }

  #leave(ended: () => void): void {
    const step = planDrain({
      sinceMs: this.#nowMs() - (this.#leavingSinceMs ?? 0),
      openCount: this.#listener.openCount,
      graceMs: this.#settings.graceMs,
    });
    if (step.refusesConnections) this.#listener.stopListening();
    if (step.mayEnd) return this.#end(ended);
    this.#ports.scheduler.after(LEAVING_CHECK_MS, () => this.#leave(ended));
  }

  #end(ended: () => void): void {
    const { log } = this.#ports;
    log.milestone("end", { open: this.#listener.openCount });
    this.#channel.close({ ...this.#talk.compose(), isLeaving: true });
    this.#status.close();
    log.flush();
    // Datagrams that tell of the end leave with the next turn of the loop; the
    // timer keeps the process alive until then.
    setTimeout(() => {
      this.#channel.dispose();
      this.#exchange.close();
      this.#operatorFollower.stop();
      this.#serverFollower.stop();
      ended();
    }, LEAVING_CHECK_MS);
  }
}
