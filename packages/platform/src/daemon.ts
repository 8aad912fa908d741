/**
 * Puts the daemon together from the product's parts and the translators of the
 * users' platform.
 *
 * @module
 */

import { createServer, type Server } from "node:http";
import {
  type Clock,
  createClock,
  createScheduler,
  steadyMs,
} from "@endivebend/clock";
import {
  FleetChannel,
  type FleetMessage,
  FleetState,
  RecordExchange,
  RecordFollower,
  RecordTable,
  shouldRead,
  type WeightsNote,
} from "@endivebend/fleet";
import { type OrderedEngine, WeightsDutyTask } from "@endivebend/orders";
import {
  AdmissionController,
  type KeptChange,
  KeptPartsWatch,
  type MemoryId,
  type NamedWeights,
  NamedWeightsRegistry,
  type PartKey,
  planLeaving,
  ServerRegistry,
  type WatchedMemory,
} from "@endivebend/request-path";
import { rankByRendezvous } from "@endivebend/routing";
import {
  type BoundedLog,
  createDecisionLog,
  TextMetrics,
} from "@endivebend/telemetry";
import {
  type BackendServerId,
  brandId,
  type IncarnationId,
  type ModelName,
  type VmId,
} from "@endivebend/types";
import { createDutyLog } from "./duty_log.ts";
import { createEngineOrders } from "./engine_orders.ts";
import { createMemoryClient } from "./memory_client.ts";
import { IngressListener } from "./ingress_listener.ts";
import { createServerClient } from "./server_client.ts";
import type { PlatformSettings } from "./settings.ts";
import { StoreClient } from "./store_client.ts";
import {
  applyOperatorRecords,
  applyServerRecords,
  MEMBER_TOPIC,
  OPERATOR_TOPIC,
  type RecordSinks,
  SERVER_TOPIC,
} from "./store_records.ts";
import { PATHS } from "./wire_names.ts";

/** The operator's records come at once; a silent connection costs this long. */
const OPERATOR_WAIT_MS = 8_000;
/** Entries of servers change all the time; drains allow 2,000 ms. */
const SERVER_PACE_MS = 400;
const REGISTER_RETRY_MS = 1_000;
const LEAVING_CHECK_MS = 50;
/** How long peers are told that a server has new weights. */
const WEIGHTS_NOTE_MS = 4_000;
/** An engine that takes new weights is avoided no longer than this. */
const LOADING_MS = 3_000;
const PRUNE_MS = 5_000;

/** The running daemon. */
export class Daemon {
  readonly #settings: PlatformSettings;
  readonly #clock: Clock = createClock();
  readonly #scheduler = createScheduler();
  readonly #log: BoundedLog;
  readonly #metrics = new TextMetrics();
  readonly #store: StoreClient;
  readonly #registry = new ServerRegistry();
  readonly #fleet: FleetState;
  readonly #named = new NamedWeightsRegistry();
  readonly #notes = new Map<
    BackendServerId,
    WeightsNote & { readonly untilMs: number }
  >();
  readonly #incarnation: IncarnationId;
  readonly #admission: AdmissionController;
  readonly #tables: ReadonlyMap<string, RecordTable>;
  readonly #serverFollower: RecordFollower;
  readonly #followers: readonly RecordFollower[];
  readonly #exchange: RecordExchange;
  readonly #channel: FleetChannel;
  readonly #duty: WeightsDutyTask;
  readonly #watch: KeptPartsWatch;
  readonly #ingress: IngressListener;
  readonly #servers: readonly Server[];
  /** Addresses of daemons to tell until they have been heard. */
  readonly #seeds = new Set<string>();
  #sequence = 0;
  #hasServers = false;
  #hasListedRecords = false;
  #leavingSinceMs: number | undefined;

  constructor(settings: PlatformSettings) {
    this.#settings = settings;
    this.#incarnation = brandId<IncarnationId>(
      `${Date.now().toString(36)}-${Math.random().toString(36).slice(2, 8)}`,
    );
    this.#log = createDecisionLog({
      fields: { vm: settings.vm, domain: settings.failureDomain },
      nowMs: () => this.#nowMs(),
    });
    this.#log.milestone("start", { incarnation: this.#incarnation });
    this.#store = new StoreClient(settings.storeAddress);
    this.#fleet = new FleetState(settings.vm, settings.failureDomain);
    this.#registry.recentParts.useRound(() => this.#fleet.roundMs);
    this.#admission = this.#createAdmission();
    this.#tables = this.#createTables();
    const followers = this.#createFollowers();
    this.#serverFollower = followers.servers;
    this.#followers = [followers.operator, followers.servers];
    this.#exchange = new RecordExchange({
      ip: settings.ip,
      port: settings.firstPeerPort + 1,
      tables: this.#tables,
      failed: (reason) => this.#log.decision("peer_records_failed", { reason }),
    });
    this.#channel = this.#createChannel();
    this.#duty = this.#createDuty();
    this.#watch = this.#createWatch();
    this.#ingress = new IngressListener({
      endpoint: settings.callers,
      admission: this.#admission,
      clock: this.#clock,
      log: this.#log,
      isLeaving: () => this.#leavingSinceMs !== undefined,
    });
    this.#servers = [this.#serveReadiness(), this.#serveMetrics()];
  }

  start(): void {
    for (const ip of this.#settings.seedIps) {
      if (ip !== this.#settings.ip) this.#seeds.add(this.#peerAddress(ip));
    }
    for (const follower of this.#followers) follower.start();
    this.#duty.start();
    this.#watch.start();
    void this.#register();
    this.#pruneLater();
  }

  /** Begins a planned stop; calls `ended` when the process may end. */
  stop(ended: () => void): void {
    if (this.#leavingSinceMs !== undefined) return;
    this.#leavingSinceMs = this.#nowMs();
    this.#log.milestone("stop", { open: this.#ingress.openCount });
    this.#duty.stop();
    this.#watch.stop();
    this.#leave(ended);
  }

  /** The settings file has changed; everything in it needs a new process. */
  reload(): void {
    this.#log.milestone("reload", { outcome: "settings apply at a restart" });
  }

  #nowMs(): number {
    return steadyMs(this.#clock);
  }

  #peerAddress(ip: string): string {
    return `${ip}:${this.#settings.firstPeerPort}`;
  }

  #createAdmission(): AdmissionController {
    const settings = this.#settings;
    this.#registry.usePeerWork((id) => this.#fleet.workAt(id, this.#nowMs()));
    return new AdmissionController({
      context: {
        registry: this.#registry,
        failureDomain: settings.failureDomain,
        namedWeights: (model) => this.#named.history(model),
        weightsBoundMs: settings.weightsBoundMs,
        clock: this.#clock,
        scheduler: this.#scheduler,
        client: createServerClient(this.#clock),
        log: this.#log,
        metrics: this.#metrics,
      },
      bounds: {
        tolerance: {
          overshootShare: settings.limitOvershoot,
          slackUnits: settings.limitSlack,
          windowMs: settings.limitWindowMs,
        },
        repeats: {
          windowMs: settings.repeatWindowMs,
          share: settings.repeatShare,
          slack: settings.repeatSlack,
        },
      },
      fleetSize: () => this.#fleet.size,
      reachableShare: () => this.#fleet.reachableShare(this.#nowMs()),
    });
  }

  #createTables(): ReadonlyMap<string, RecordTable> {
    const sinks: RecordSinks = {
      admission: this.#admission,
      registry: this.#registry,
      named: ({ model, weights }) => this.#noteNamed(model, weights),
      configured: () => {
        const limits = this.#admission.view?.configuration.callerLimits;
        if (limits !== undefined) this.#ingress.applyLimits(limits);
      },
      decision: (step, fields) => this.#log.decision(step, fields),
    };
    return new Map([
      [
        OPERATOR_TOPIC,
        new RecordTable((records) => {
          applyOperatorRecords(records, sinks);
          this.#hasListedRecords = true;
          this.#channel.tellAll();
        }),
      ],
      [
        SERVER_TOPIC,
        new RecordTable((records) => {
          this.#hasServers = true;
          applyServerRecords(records, { sinks, nowMs: this.#nowMs() });
        }),
      ],
    ]);
  }

  #noteNamed(model: ModelName, weights: NamedWeights["weights"]): void {
    const isNews = this.#named.name(model, {
      weights,
      heardAtMs: this.#nowMs(),
      // The first listing holds what was named before the start as well.
      isAgeKnown: this.#hasListedRecords,
    });
    if (!isNews) return;
    this.#log.decision("weights_named", { model, weights });
  }

  #createFollowers() {
    const shared = { clock: this.#clock, scheduler: this.#scheduler };
    const follow = (
      topic: string,
      options: {
        readonly waitMs: number;
        readonly paceMs: number;
        readonly isReader?: () => boolean;
      },
    ) =>
      new RecordFollower({
        ...shared,
        ...options,
        source: this.#store.source(topic),
        table: this.#tables.get(topic)!,
        lost: (reason) => this.#log.milestone("store_lost", { topic, reason }),
        regained: () => this.#log.milestone("store_regained", { topic }),
      });
    return {
      operator: follow(OPERATOR_TOPIC, {
        waitMs: OPERATOR_WAIT_MS,
        paceMs: 0,
      }),
      servers: follow(SERVER_TOPIC, {
        waitMs: 0,
        paceMs: SERVER_PACE_MS,
        isReader: () => this.#isReader(),
      }),
    };
  }

  #isReader(): boolean {
    const nowMs = this.#nowMs();
    return shouldRead({
      self: this.#settings.vm,
      failureDomain: this.#settings.failureDomain,
      topic: SERVER_TOPIC,
      heldOffset: this.#tables.get(SERVER_TOPIC)?.highestOffset ?? -1,
      ownReadAtMs: this.#serverFollower.readAtMs,
      peers: this.#fleet.reachable(nowMs),
      nowMs,
    });
  }

  #createChannel(): FleetChannel {
    const { ip, firstPeerPort } = this.#settings;
    return new FleetChannel({
      ip,
      port: firstPeerPort,
      scheduler: this.#scheduler,
      compose: () => this.#compose(),
      addresses: () => {
        const { near, far } = this.#fleet.addresses();
        const known = new Set([...near, ...far]);
        const unheard = [...this.#seeds].filter((seed) => !known.has(seed));
        return { near, far: [...far, ...unheard] };
      },
      hear: (message) => this.#hear(message),
      failed: (reason) => this.#log.decision("peer_send_failed", { reason }),
    });
  }

  #compose(): FleetMessage {
    const work: Record<BackendServerId, [number, number]> = {};
    for (const { listed, own } of this.#registry.all()) {
      if (own.size === 0) continue;
      let prefillTokens = 0;
      for (const item of own.values()) prefillTokens += item.prefillTokens;
      work[listed.id] = [own.size, prefillTokens];
    }
    const records: Record<string, number> = {};
    for (const [topic, table] of this.#tables) {
      records[topic] = table.highestOffset;
    }
    return {
      vm: this.#settings.vm,
      incarnation: this.#incarnation,
      failureDomain: this.#settings.failureDomain,
      address: this.#peerAddress(this.#settings.ip),
      sequence: ++this.#sequence,
      isLeaving: false,
      reachesStore: this.#reachesStore(),
      duty: { epoch: this.#duty.epoch },
      spent: this.#admission.spent(),
      work,
      weights: this.#freshNotes(),
      named: this.#named.ages(this.#nowMs()),
      suspects: this.#registry.suspects(this.#nowMs()),
      placed: this.#registry.recentParts.fresh(this.#nowMs()),
      kept: this.#watch.news() as Record<string, KeptChange[]>,
      records,
      readAgesMs: this.#readAges(),
    };
  }

  /** Topics that this daemon reads itself, and how long ago it did. */
  #readAges(): Record<string, number> {
    const ageMs = this.#nowMs() - this.#serverFollower.readAtMs;
    return Number.isFinite(ageMs) ? { [SERVER_TOPIC]: Math.round(ageMs) } : {};
  }

  #freshNotes(): WeightsNote[] {
    const nowMs = this.#nowMs();
    const fresh: WeightsNote[] = [];
    for (const [id, { untilMs, ...note }] of this.#notes) {
      if (untilMs < nowMs) this.#notes.delete(id);
      else fresh.push(note);
    }
    return fresh;
  }

  #hear(message: FleetMessage): void {
    const nowMs = this.#nowMs();
    const heard = this.#fleet.hear(message, nowMs);
    if (heard === undefined) return;
    this.#seeds.delete(message.address);
    for (const { team, units } of heard.spent) {
      this.#admission.spentElsewhere(team, units);
    }
    for (const note of message.weights) this.#applyNote(note);
    this.#hearAges(message);
    for (const id of message.suspects) this.#registry.noteSuspected(id, nowMs);
    for (const [id, parts] of Object.entries(message.placed)) {
      this.#registry.notePlaced(id as MemoryId, parts as PartKey[], nowMs);
    }
    for (const [id, changes] of Object.entries(message.kept)) {
      this.#registry.noteReported(
        id as MemoryId,
        changes as KeptChange[],
        nowMs,
      );
    }
    this.#pullNewer(message);
  }

  #hearAges(message: FleetMessage): void {
    for (const [model, ages] of Object.entries(message.named)) {
      for (const [weights, ageMs] of ages) {
        this.#named.knownSince(
          brandId<ModelName>(model),
          brandId<NamedWeights["weights"]>(weights),
          this.#nowMs() - ageMs,
        );
      }
    }
  }

  #applyNote(note: WeightsNote): void {
    const weights = brandId<NamedWeights["weights"]>(note.weights);
    if (note.isDone) {
      this.#registry.noteWeights(note.server, note.model, weights);
      return;
    }
    const server = this.#registry.get(note.server);
    const known = server && this.#registry.weightsOf(server, note.model);
    if (known !== undefined && known >= weights) return;
    this.#registry.noteLoading(note.server, this.#nowMs() + LOADING_MS);
  }

  #pullNewer(message: FleetMessage): void {
    const [ip = ""] = message.address.split(":");
    const address = `${ip}:${this.#settings.firstPeerPort + 1}`;
    for (const [topic, offset] of Object.entries(message.records)) {
      const own = this.#tables.get(topic)?.highestOffset ?? offset;
      const isNear = topic !== SERVER_TOPIC || own < 0 ||
        message.failureDomain === this.#settings.failureDomain;
      if (offset > own && isNear) void this.#exchange.pull(topic, address);
    }
  }

  #reachesStore(): boolean {
    return this.#store.isReachable;
  }

  #createDuty(): WeightsDutyTask {
    const { vm, leaseMs } = this.#settings;
    return new WeightsDutyTask({
      self: vm,
      clock: this.#clock,
      scheduler: this.#scheduler,
      log: createDutyLog(this.#store),
      orders: createEngineOrders(),
      leaseMs,
      engines: () => this.#orderedEngines(),
      peers: () => {
        const reachable = this.#fleet.reachable(this.#nowMs())
          .filter(({ message }) => message?.reachesStore);
        const epochs = reachable.map(({ message }) => message?.duty.epoch ?? 0);
        return {
          candidates: reachable.map((member) => member.vm),
          holderEpoch: Math.max(0, ...epochs),
        };
      },
      rank: (members) => rankByRendezvous("weights-duty", members),
      reachesStore: () => this.#reachesStore(),
      changed: (note) => {
        const nowMs = this.#nowMs();
        this.#notes.set(note.server, {
          ...note,
          untilMs: nowMs + WEIGHTS_NOTE_MS,
        });
        this.#applyNote(note);
        this.#channel.tellAll();
      },
      decision: (step, fields) => this.#log.decision(step, fields),
    });
  }

  #createWatch(): KeptPartsWatch {
    return new KeptPartsWatch({
      self: this.#settings.vm,
      clock: this.#clock,
      scheduler: this.#scheduler,
      client: createMemoryClient(),
      registry: this.#registry,
      memories: () => this.#memories(),
      peers: () =>
        this.#fleet.reachable(this.#nowMs()).map((member) => member.vm),
      roundMs: () => this.#fleet.roundMs,
      decision: (step, fields) => this.#log.decision(step, fields),
    });
  }

  #memories(): WatchedMemory[] {
    const stores = this.#admission.view?.configuration.cacheStores ?? [];
    const engines = [...this.#registry.all()]
      .filter(({ listed, lapsedAtMs }) =>
        lapsedAtMs === undefined && listed.weights.size > 0
      )
      .map(({ listed: { id, address } }) => ({ id, address }));
    const storeMemories = stores.map((address) => {
      this.#registry.storeParts(address);
      return { id: address as MemoryId, address };
    });
    return [...engines, ...storeMemories];
  }

  #orderedEngines(): OrderedEngine[] {
    const engines: OrderedEngine[] = [];
    for (const server of this.#registry.all()) {
      const { listed } = server;
      const isAway = listed.isLeaving || server.lapsedAtMs !== undefined ||
        this.#nowMs() < server.avoidUntilMs;
      if (isAway) continue;
      for (const model of listed.weights.keys()) {
        const named = this.#named.newest(model);
        if (named === undefined) continue;
        engines.push({
          id: listed.id,
          address: listed.address,
          model,
          weights: this.#registry.weightsOf(server, model) ?? 0,
          namedWeights: named,
          running: this.#registry.runningAt(server),
        });
      }
    }
    return engines;
  }

  /** Makes this daemon known and learns which others there are. */
  async #register(): Promise<void> {
    const { vm, ip } = this.#settings;
    try {
      await this.#store.appendKeyed(MEMBER_TOPIC, vm, Buffer.from(ip));
      const { records } = await this.#store.newest(MEMBER_TOPIC);
      for (const { key, value } of records) {
        if (value === undefined) continue;
        const address = this.#peerAddress(value.toString("utf8"));
        this.#fleet.list(brandId<VmId>(key), address, this.#nowMs());
      }
      this.#log.milestone("registered", { members: records.length });
      this.#channel.tellAll();
    } catch (caught) {
      const reason = (caught as Error).message;
      this.#log.decision("register_failed", { reason });
      this.#scheduler.after(REGISTER_RETRY_MS, () => void this.#register());
    }
  }

  #isReady(): boolean {
    return this.#leavingSinceMs === undefined &&
      this.#admission.view !== undefined && this.#hasServers;
  }

  #serveReadiness(): Server {
    const { host, port } = this.#settings.readiness;
    return createServer((request, response) => {
      const isKnown = request.url === PATHS.ready;
      response.writeHead(isKnown && this.#isReady() ? 200 : 503).end();
    }).listen(port, host);
  }

  #serveMetrics(): Server {
    const { host, port } = this.#settings.metrics;
    return createServer((_request, response) => {
      response.end(this.#metrics.text());
    }).listen(port, host);
  }

  #pruneLater(): void {
    this.#scheduler.after(PRUNE_MS, () => {
      this.#registry.prune(this.#nowMs());
      this.#log.milestone("status", {
        members: this.#fleet.size,
        reachable: this.#fleet.reachable(this.#nowMs()).length + 1,
        storeCalls: this.#store.callCounts,
      });
      this.#pruneLater();
    });
  }

  #leave(ended: () => void): void {
    const sinceMs = this.#nowMs() - (this.#leavingSinceMs ?? 0);
    const step = planLeaving({
      sinceMs,
      openCount: this.#ingress.openCount,
      graceMs: this.#settings.graceMs,
    });
    if (step.refusesConnections) this.#ingress.stopListening();
    if (step.mayEnd) return this.#end(ended);
    this.#scheduler.after(LEAVING_CHECK_MS, () => this.#leave(ended));
  }

  #end(ended: () => void): void {
    this.#log.milestone("end", { open: this.#ingress.openCount });
    this.#channel.close({ ...this.#compose(), isLeaving: true });
    for (const server of this.#servers) server.close();
    this.#log.flush();
    // Datagrams that tell of the end leave with the next turn of the loop.
    setTimeout(() => {
      this.#channel.dispose();
      this.#exchange.close();
      for (const follower of this.#followers) follower.stop();
      ended();
    }, LEAVING_CHECK_MS);
  }
}
