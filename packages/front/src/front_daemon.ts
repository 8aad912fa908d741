/**
 * Assembles the daemon from the other packages.
 *
 * @module
 */

import { steadyMs } from "@endivebend/clock";
import {
  BEFORE_FIRST,
  FleetState,
  GossipChannel,
  type GossipMessage,
  MIN_RELAYED_FLEET,
  type RecordExchange,
  RecordFollower,
  type RecordFollowerOptions,
  RecordTable,
  SERVED_OVERDUE_MS,
  shouldReadTopic,
  topicReadAtMs,
} from "@endivebend/fleet";
import { type ForwarderCandidate, ServerPaths } from "@endivebend/forwarding";
import { WeightsRolloutTask } from "@endivebend/orders";
import {
  AdmissionController,
  CacheWatch,
  ForwardedRuns,
  mayTakeRequest,
  NamedWeightsRegistry,
  planDrain,
  ProcessCheck,
  ServerAllowances,
  ServerEndCheck,
  ServerRegistry,
  type Sharer,
} from "@endivebend/request-path";
import { rankByRendezvous } from "@endivebend/routing";
import {
  brandId,
  type FailureDomainId,
  type IncarnationId,
  type ServiceName,
  type VmId,
} from "@endivebend/types";
import { findRolloutEngines, findWatchedCaches } from "./server_selection.ts";
import { FleetGossip } from "./fleet_gossip.ts";
import type {
  CallerListener,
  ForwardListener,
  FrontPorts,
  FrontSettings,
  StatusServer,
} from "./ports.ts";
import { PauseGuard } from "./pause_guard.ts";
import { QuarantineKeeper } from "./quarantine_keeper.ts";
import { RecordApplier } from "./record_applier.ts";
import { SharedReads } from "./shared_reads.ts";
import { StreamOriginKeeper } from "./stream_origin_keeper.ts";
import { operatorRecordOrder, serverRecordOrder } from "./record_order.ts";
import { WeightsWatch } from "./weights_watch.ts";

/** Topic of the operator's records, also when daemons pass them on. */
const OPERATOR_TOPIC = "operator";
/** Topic of the records that backend servers write about themselves. */
const SERVER_TOPIC = "servers";
/** Topic of the prompt segments that crash engines. */
const QUARANTINE_TOPIC = "quarantines";
/**
 * Time for which the store may hold a read of operator records. New records are
 * returned at once; a connection that went silent costs this long.
 */
const OPERATOR_POLL_WAIT_MS = 8_000;
/**
 * Minimum time between reads of server records. They change all the time, so
 * reads don't wait for a change; a drain leaves 2,000 ms to notice it.
 */
const SERVER_READ_INTERVAL_MS = 400;
/**
 * Time for which the store may hold a read of quarantines, which change rarely;
 * peers' gossip tells of the same crashes.
 */
const QUARANTINE_POLL_WAIT_MS = 20_000;
const REGISTER_RETRY_DELAY_MS = 1_000;
const DRAIN_CHECK_INTERVAL_MS = 50;
const PRUNE_INTERVAL_MS = 5_000;
/**
 * Time after the return of the store in which its list may lack servers that
 * live; the users take the store as stable from then on.
 */
const STORE_RECOVERY_MS = 3_000;

/** A message may have waited for so long on its way, or to be read. */
const MAX_MESSAGE_AGE_MS = 100;

/** A listed daemon that runs has been heard by then. */
const FIRST_MESSAGE_TIMEOUT_MS = 3_000;

/** The daemon, assembled from its settings and ports. */
export class FrontDaemon {
  readonly #settings: FrontSettings;
  readonly #ports: FrontPorts;
  readonly #incarnation: IncarnationId;
  readonly #registry: ServerRegistry;
  readonly #namedWeights = new NamedWeightsRegistry();
  readonly #weightsWatch: WeightsWatch;
  readonly #fleet: FleetState;
  readonly #paths: ServerPaths;
  readonly #quarantines: QuarantineKeeper;
  readonly #streamOrigins: StreamOriginKeeper;
  readonly #processCheck: ProcessCheck;
  readonly #admission: AdmissionController;
  readonly #recordApplier: RecordApplier;
  readonly #tables: ReadonlyMap<string, RecordTable>;
  readonly #operatorFollower: RecordFollower;
  readonly #serverFollower: RecordFollower;
  readonly #listReads = new SharedReads(() =>
    this.#serverFollower.refresh().then(() => true, () => false)
  );
  readonly #quarantineFollower: RecordFollower;
  readonly #recordExchange: Pick<RecordExchange, "pull" | "close">;
  readonly #gossip: FleetGossip;
  readonly #gossipChannel: GossipChannel;
  readonly #weightsRollout: WeightsRolloutTask;
  readonly #cacheWatch: CacheWatch;
  readonly #pauseGuard: PauseGuard;
  readonly #listener: CallerListener;
  readonly #forwardedRuns: ForwardedRuns;
  readonly #forwardListener: ForwardListener;
  readonly #statusServer: StatusServer;
  /** Addresses that get gossip messages until their daemon has sent one. */
  readonly #seedAddresses = new Set<string>();
  /**
   * Topics of which no peer's records were read yet, since the start or since a
   * restore. Peers may know what the store has lost.
   */
  readonly #unmergedTopics: Set<string>;
  /** The most other daemons that were known at a time. */
  #mostPeers = 0;
  /** Whether the store has listed the other daemons. */
  #isRegistered = false;
  #drainingSinceMs: number | undefined;
  /** When this daemon last found the store away, or back. */
  #storeAwayAtMs = Number.NEGATIVE_INFINITY;
  /** What this daemon has sent as a relay of gossip. */
  readonly #relayed = { datagrams: 0, bytes: 0 };
  #nextServerPullMs = Number.NEGATIVE_INFINITY;

  constructor(settings: FrontSettings, ports: FrontPorts) {
    this.#settings = settings;
    this.#ports = ports;
    this.#incarnation = brandId<IncarnationId>(
      `${Date.now().toString(36)}-${Math.random().toString(36).slice(2, 8)}`,
    );
    ports.log.stateChange("start", { incarnation: this.#incarnation });
    const { repeats, tolerance } = settings.bounds;
    this.#fleet = new FleetState(settings.vm, settings.failureDomain, {
      limitWindowMs: Math.max(repeats.windowMs, tolerance.windowMs),
    });
    this.#registry = new ServerRegistry({
      wallOffsetMs: ports.clock.wallMs() - this.#nowMs(),
      weightsChanged: (change) => {
        this.#weightsWatch.note(change);
        this.#gossip.shareStatedWeights(change);
      },
    });
    this.#weightsWatch = new WeightsWatch({
      registry: () => this.#registry,
      named: this.#namedWeights,
      log: ports.log,
      metrics: ports.metrics,
      nowMs: () => this.#nowMs(),
    });
    this.#registry.recentPlacements.setGossipRound(() =>
      this.#fleet.gossipRoundMs
    );
    this.#registry.setPeerWorkLookup((id) =>
      this.#fleet.workAt(id, this.#nowMs())
    );
    this.#paths = this.#createPaths();
    this.#quarantines = this.#createQuarantines();
    this.#streamOrigins = this.#createStreamOrigins();
    this.#processCheck = this.#createProcessCheck();
    this.#admission = this.#createAdmission();
    this.#forwardedRuns = this.#createForwardedRuns();
    this.#recordApplier = this.#createRecordApplier();
    this.#tables = this.#createTables();
    this.#unmergedTopics = new Set(this.#tables.keys());
    this.#operatorFollower = this.#createFollower(OPERATOR_TOPIC, {
      source: ports.store.operatorRecords,
      waitMs: OPERATOR_POLL_WAIT_MS,
      minReadIntervalMs: 0,
    });
    this.#serverFollower = this.#createFollower(SERVER_TOPIC, {
      source: ports.store.serverRecords,
      waitMs: 0,
      minReadIntervalMs: SERVER_READ_INTERVAL_MS,
      isReader: () => this.#shouldReadServers(),
    });
    this.#quarantineFollower = this.#createFollower(QUARANTINE_TOPIC, {
      source: ports.store.quarantineRecords,
      waitMs: QUARANTINE_POLL_WAIT_MS,
      minReadIntervalMs: 0,
      isOwnTopic: true,
      listed: (records) => this.#quarantines.noteStored(records),
    });
    this.#recordExchange = this.#createRecordExchange();
    this.#gossip = this.#createGossip();
    this.#gossipChannel = this.#createGossipChannel();
    this.#weightsRollout = this.#createWeightsRollout();
    this.#cacheWatch = this.#createCacheWatch();
    this.#pauseGuard = this.#createPauseGuard();
    this.#listener = ports.listen({
      admission: this.#admission,
      isLeaving: () => this.#drainingSinceMs !== undefined,
      mayTake: (timeLeftMs) =>
        this.#drainingSinceMs === undefined ||
        mayTakeRequest({
          sinceMs: this.#nowMs() - this.#drainingSinceMs,
          graceMs: this.#settings.graceMs,
          timeLeftMs,
        }),
      whenCurrent: () => this.#pauseGuard.whenCurrent(),
    });
    this.#forwardListener = this.#listenForPeers();
    this.#statusServer = ports.serveStatus(() => this.#isReady());
  }

  start(): void {
    for (const ip of this.#settings.seedIps) {
      if (ip !== this.#settings.ip) {
        this.#seedAddresses.add(this.#peerAddress(ip));
      }
    }
    this.#operatorFollower.start();
    this.#serverFollower.start();
    this.#quarantineFollower.start();
    this.#quarantines.start();
    this.#streamOrigins.start();
    this.#weightsRollout.start();
    this.#cacheWatch.start();
    this.#pauseGuard.start();
    this.#paths.start();
    void this.#register();
    this.#schedulePrune();
  }

  /** Starts draining. Calls `onEnd` when the process may end. */
  stop(onEnd: () => void): void {
    if (this.#drainingSinceMs !== undefined) return;
    this.#drainingSinceMs = this.#nowMs();
    this.#ports.log.stateChange("stop", {
      open: this.#listener.openRequestCount,
    });
    this.#weightsRollout.stop();
    this.#cacheWatch.stop();
    this.#quarantines.stop();
    this.#continueDrain(onEnd);
  }

  /** Logs that changed settings need a restart; none is applied before. */
  reload(): void {
    const outcome = "settings not reloaded; restart the daemon to apply them";
    this.#ports.log.stateChange("reload", { outcome });
  }

  #nowMs(): number {
    return steadyMs(this.#ports.clock);
  }

  #logDecision = (step: string, fields: Readonly<Record<string, unknown>>) =>
    this.#ports.log.decision(step, fields);

  #peerAddress(ip: string): string {
    return `${ip}:${this.#settings.firstPeerPort}`;
  }

  #createProcessCheck(): ProcessCheck {
    const { clock, scheduler, engineOrders, log, metrics } = this.#ports;
    return new ProcessCheck({
      ask: (server) => engineOrders.report(server),
      clock,
      scheduler,
      log,
      metrics,
    });
  }

  #createAdmission(): AdmissionController {
    const { vm, failureDomain, weightsBoundMs, bounds } = this.#settings;
    const {
      clock,
      scheduler,
      serverClient,
      log,
      metrics,
      memory,
    } = this.#ports;
    return new AdmissionController({
      context: {
        registry: this.#registry,
        allowances: new ServerAllowances({
          registry: this.#registry,
          self: vm,
          daemons: (service) => this.#sharersOf(service),
        }),
        failureDomain,
        namedWeights: (model) => this.#namedWeights.history(model),
        weightsBoundMs,
        clock,
        scheduler,
        client: serverClient,
        crashGuard: this.#quarantines.guard,
        streamOrigins: this.#streamOrigins,
        paths: this.#paths,
        processCheck: this.#processCheck,
        log,
        metrics,
        memory,
      },
      bounds,
      fleetSize: () => this.#fleet.size,
      limitSharers: () =>
        this.#isRegistered ? this.#fleet.sharerCount(this.#nowMs()) : undefined,
      reachableShare: () => this.#fleet.reachableShare(this.#nowMs()),
      peerTeamWork: (service, nowMs) => this.#fleet.teamWork(service, nowMs),
    });
  }

  #createPaths(): ServerPaths {
    const { scheduler, serverClient, log, metrics } = this.#ports;
    return new ServerPaths({
      failureDomain: this.#settings.failureDomain,
      scheduler,
      nowMs: () => this.#nowMs(),
      usable: (service) =>
        this.#registry.usable(service, this.#nowMs())
          .map(({ listed }) => listed),
      listed: () =>
        [...this.#registry.all()]
          .filter(({ removedAtMs }) => removedAtMs === undefined)
          .map(({ listed }) => listed),
      checkAnswering: (server) => serverClient.checkAnswering(server),
      checked: ({ id, service }, state) => {
        metrics.count("link_checks", { state });
        if (state === "answered") return;
        this.#logDecision("link_check", { server: id, service, state });
      },
      peers: () => this.#forwarders(),
      cutOff: (service, servers, { failures, peersReaching }) => {
        log.stateChange("servers_lost", {
          service,
          servers: servers.length,
          ...failures,
          peersReaching,
        });
        metrics.count("cuts", { service });
        for (const { id, address } of servers) {
          this.#registry.forgive(id);
          // Open ones may be dead without a sign of it, also after the cut.
          serverClient.closeIdleConnections(address);
        }
        this.#gossipChannel.announce();
      },
      restored: (service) => {
        log.stateChange("servers_regained", { service });
        this.#gossipChannel.announce();
      },
    });
  }

  /** Reachable daemons that forward requests. */
  #forwarders(): ForwarderCandidate[] {
    const reachable = this.#fleet.reachable(this.#nowMs());
    return reachable.flatMap(({ vm, address, message }) => {
      if (message?.forwarding === undefined) return [];
      const { failureDomain, forwarding } = message;
      const [ip = ""] = address.split(":");
      return [{
        vm,
        address: `${ip}:${this.#settings.firstPeerPort + 2}`,
        failureDomain,
        reaches: forwarding.reaches,
        forwarding: forwarding.open,
      }];
    });
  }

  #createForwardedRuns(): ForwardedRuns {
    const { clock, scheduler, serverClient, log, metrics } = this.#ports;
    return new ForwardedRuns({
      registry: this.#registry,
      clock,
      scheduler,
      client: serverClient,
      paths: this.#paths,
      crashGuard: this.#quarantines.guard,
      processCheck: this.#processCheck,
      log,
      metrics,
      isLeaving: () => this.#drainingSinceMs !== undefined,
    });
  }

  #listenForPeers(): ForwardListener {
    const { ip, firstPeerPort } = this.#settings;
    return this.#ports.listenForPeers({
      ip,
      port: firstPeerPort + 2,
      runs: this.#forwardedRuns,
      isPeer: (peerIp) =>
        this.#fleet.members().some(({ address }) =>
          address.startsWith(`${peerIp}:`)
        ),
      failed: (reason) => this.#logDecision("forward_failed", { reason }),
    });
  }

  #createQuarantines(): QuarantineKeeper {
    const { clock, scheduler, store, serverClient, log, metrics } = this.#ports;
    return new QuarantineKeeper({
      self: this.#settings.vm,
      clock,
      scheduler,
      store,
      endCheck: new ServerEndCheck({
        client: serverClient,
        registry: this.#registry,
        scheduler,
        reachesAnother: (server) => this.#paths.reachesAnother(server),
        log,
        metrics,
      }),
      log,
      metrics,
      peers: () => this.#reachablePeers(),
      announce: () => this.#gossipChannel.announce(),
    });
  }

  #createStreamOrigins(): StreamOriginKeeper {
    const { clock, scheduler, store, streamOriginLog, log, metrics } =
      this.#ports;
    return new StreamOriginKeeper({
      self: this.#settings.vm,
      clock,
      scheduler,
      originLog: streamOriginLog,
      registry: this.#registry,
      log,
      metrics,
      timeoutsMs: () => this.#resumableTimeoutsMs(),
      peers: () => this.#reachablePeers(),
      fleetSize: () => this.#fleet.size,
      reachesStore: () => store.isReachable,
      readList: () => this.#listReads.read(),
      listReadAtMs: () => this.#listReadAtMs(),
    });
  }

  /** The longest timeout of each service's streams that may be taken up. */
  #resumableTimeoutsMs(): ReadonlyMap<ServiceName, number> {
    return this.#admission.view?.resumableTimeoutsMs ?? new Map();
  }

  /**
   * When the servers that this daemon knows were last all that are listed. While
   * no daemon reaches the store, none can learn of others.
   */
  #listReadAtMs(): number {
    const nowMs = this.#nowMs();
    const peers = this.#fleet.reachable(nowMs);
    // A daemon that is cut off from its peers forgets them by and by.
    this.#mostPeers = Math.max(this.#mostPeers, this.#fleet.members().length);
    const isAwayForAll = !this.#ports.store.isReachable &&
      this.#isRegistered && peers.length >= this.#mostPeers &&
      peers.every(({ message }) => message?.reachesStore === false);
    const ownReadAtMs = this.#serverFollower.readAtMs;
    const toldAtMs = isAwayForAll
      ? Math.min(nowMs, ...peers.map(({ heardAtMs }) => heardAtMs))
      : topicReadAtMs({
        topic: SERVER_TOPIC,
        held: this.#tables.get(SERVER_TOPIC)?.newest ?? BEFORE_FIRST,
        ownReadAtMs,
        peers,
      });
    return Math.max(ownReadAtMs, toldAtMs - MAX_MESSAGE_AGE_MS);
  }

  /** All daemons that may be alive, with their demand for the service. */
  #sharersOf(service: ServiceName): Sharer[] {
    const ownDemandPerS = this.#admission.demandPerS().get(service) ?? 0;
    const others = this.#fleet.members().map(({ vm, message }) => ({
      vm,
      demandPerS: message?.demandPerS?.[service] ?? 0,
    }));
    return [{ vm: this.#settings.vm, demandPerS: ownDemandPerS }, ...others];
  }

  #reachablePeers(): VmId[] {
    return this.#fleet.reachable(this.#nowMs()).map(({ vm }) => vm);
  }

  #createRecordApplier(): RecordApplier {
    return new RecordApplier({
      store: this.#ports.store,
      admission: this.#admission,
      registry: this.#registry,
      named: this.#namedWeights,
      nowMs: () => this.#nowMs(),
      serverListed: (server) => this.#streamOrigins.noteListed(server),
      wasStoreAway: () => this.#wasStoreAway(),
      applyLimits: (limits) => this.#listener.applyLimits(limits),
      logDecision: this.#logDecision,
    });
  }

  #createTables(): ReadonlyMap<string, RecordTable> {
    const operator = new RecordTable((records) => {
      this.#recordApplier.applyOperatorRecords(records);
      // In a large fleet the next message tells of them soon enough.
      if (this.#fleet.size < MIN_RELAYED_FLEET) this.#gossipChannel.broadcast();
    }, operatorRecordOrder(this.#ports.store));
    const servers = new RecordTable(
      (records) => this.#recordApplier.applyServerRecords(records),
      serverRecordOrder(this.#ports.store),
    );
    const quarantines = new RecordTable((records) =>
      this.#quarantines.applyRecords(records)
    );
    return new Map([
      [OPERATOR_TOPIC, operator],
      [SERVER_TOPIC, servers],
      [QUARANTINE_TOPIC, quarantines],
    ]);
  }

  #createFollower(
    topic: string,
    options: Pick<
      RecordFollowerOptions,
      | "source"
      | "waitMs"
      | "minReadIntervalMs"
      | "isReader"
      | "isOwnTopic"
      | "listed"
    >,
  ): RecordFollower {
    const { clock, scheduler, log } = this.#ports;
    return new RecordFollower({
      ...options,
      clock,
      scheduler,
      table: this.#tables.get(topic)!,
      wasRead: (read) => {
        // Reads in order would fill the log; listings and old records are rare.
        if (read.kind === "newest" || read.ignored > 0) {
          log.decision("records_read", { topic, ...read });
        }
      },
      restored: () => this.#noteRestore(topic),
      lost: (reason) => {
        this.#storeAwayAtMs = this.#nowMs();
        log.stateChange("store_lost", { topic, reason });
      },
      regained: () => {
        this.#storeAwayAtMs = this.#nowMs();
        log.stateChange("store_regained", { topic });
      },
    });
  }

  #wasStoreAway(): boolean {
    return !this.#ports.store.isReachable ||
      this.#nowMs() - this.#storeAwayAtMs < STORE_RECOVERY_MS;
  }

  #noteRestore(topic: string): void {
    this.#storeAwayAtMs = this.#nowMs();
    this.#unmergedTopics.add(topic);
    this.#ports.log.stateChange("store_restored", { topic });
    // The copy may lack this daemon, and daemons that start now list it.
    if (topic !== OPERATOR_TOPIC) return;
    void this.#register();
    this.#streamOrigins.noteRestore();
  }

  #shouldReadServers(): boolean {
    const nowMs = this.#nowMs();
    return shouldReadTopic({
      self: this.#settings.vm,
      failureDomain: this.#settings.failureDomain,
      topic: SERVER_TOPIC,
      held: this.#tables.get(SERVER_TOPIC)?.newest ?? BEFORE_FIRST,
      ownReadAtMs: this.#serverFollower.readAtMs,
      peers: this.#fleet.reachable(nowMs),
      nowMs,
    });
  }

  #createRecordExchange(): Pick<RecordExchange, "pull" | "close"> {
    return this.#ports.createRecordExchange({
      ip: this.#settings.ip,
      port: this.#settings.firstPeerPort + 1,
      tables: this.#tables,
      failed: (reason) => this.#logDecision("peer_records_failed", { reason }),
    });
  }

  #createGossip(): FleetGossip {
    const { vm, failureDomain, ip } = this.#settings;
    return new FleetGossip({
      vm,
      incarnation: this.#incarnation,
      failureDomain,
      address: this.#peerAddress(ip),
      fleet: this.#fleet,
      registry: this.#registry,
      admission: this.#admission,
      named: this.#namedWeights,
      tables: this.#tables,
      quarantines: this.#quarantines,
      nowMs: () => this.#nowMs(),
      logDecision: this.#logDecision,
      reachesStore: () => this.#ports.store.isReachable,
      rolloutLease: () => ({
        epoch: this.#weightsRollout.epoch,
        logEnd: this.#weightsRollout.leaseLogEnd,
      }),
      watchedCacheChanges: () => this.#cacheWatch.recentEvents(),
      answerAgesMs: () => this.#cacheWatch.answerAgesMs(),
      forwarding: () => ({
        reaches: this.#drainingSinceMs === undefined
          ? [...this.#registry.services()].filter((service) =>
            this.#paths.mayForward(service)
          )
          : [],
        open: this.#forwardedRuns.openCount,
      }),
      readAgesMs: () => this.#readAgesMs(),
    });
  }

  #readAgesMs(): Record<string, number> {
    const ageMs = this.#nowMs() - this.#serverFollower.readAtMs;
    return Number.isFinite(ageMs) ? { [SERVER_TOPIC]: Math.round(ageMs) } : {};
  }

  #createGossipChannel(): GossipChannel {
    const { ip, firstPeerPort } = this.#settings;
    const { metrics } = this.#ports;
    const failed = (reason: string) =>
      this.#logDecision("peer_send_failed", { reason });
    return new GossipChannel({
      failed,
      failureDomain: this.#settings.failureDomain,
      address: this.#peerAddress(ip),
      transport: this.#ports.createGossipTransport({
        ip,
        port: firstPeerPort,
        failed,
      }),
      scheduler: this.#ports.scheduler,
      nowMs: () => this.#nowMs(),
      composeMessage: () => this.#gossip.composeMessage(),
      addresses: () => {
        const { sameDomain, otherDomains } = this
          .#fleet.addresses();
        const known = new Set([...sameDomain, ...otherDomains]);
        const unknownSeeds = [...this.#seedAddresses].filter((seed) =>
          !known.has(seed)
        );
        return {
          sameDomain,
          otherDomains: [...otherDomains, ...unknownSeeds],
        };
      },
      relayPlan: () =>
        this.#fleet.relayPlan(this.#peerAddress(ip), this.#nowMs()),
      composeBundle: () => this.#gossip.composeBundle(),
      overdueDomains: (limitMs) =>
        this.#fleet.overdueDomains(this.#nowMs(), limitMs)
          .map(({ failureDomain }) => failureDomain),
      addressesOf: (failureDomain) => this.#fleet.addressesOf(failureDomain),
      relayed: (bytes) => {
        this.#relayed.datagrams += 1;
        this.#relayed.bytes += bytes;
        metrics.count("gossip_relayed");
        metrics.count("gossip_relayed_bytes", {}, bytes);
      },
      requested: (domain) => metrics.count("gossip_requests", { domain }),
      onMessage: (message) => this.#receive(message, 0),
      onBundle: ({ failureDomain, messages }) => {
        this.#fleet.recordBundle(failureDomain, this.#nowMs());
        for (const { message, ageMs } of messages) {
          this.#receive(message, ageMs);
        }
      },
    });
  }

  #receive(message: GossipMessage, ageMs: number): void {
    if (!this.#gossip.receive(message, ageMs)) return;
    this.#seedAddresses.delete(message.address);
    this.#weightsRollout.noteLeaseLogEnd(message.duty.logEnd ?? 0);
    this.#pullNewerRecords(message);
  }

  /** Fetches records that a peer has and this daemon lacks. */
  #pullNewerRecords(message: GossipMessage): void {
    const nowMs = this.#nowMs();
    for (const topic in message.records) {
      const position = message.records[topic]!;
      const own = this.#tables.get(topic)?.newest ?? position;
      // Server records change often, so each failure domain has a daemon that
      // reads them from the store. Others fetch them within their domain, or
      // from any peer while they have none.
      const mayPull = topic !== SERVER_TOPIC || own === BEFORE_FIRST ||
        message.failureDomain === this.#settings.failureDomain;
      const all = this.#unmergedTopics.has(topic);
      if ((position <= own && !all) || !mayPull) continue;
      if (topic === SERVER_TOPIC) {
        // Peers hold different records all the time; each pull brings those of
        // one of them.
        if (nowMs < this.#nextServerPullMs) continue;
        this.#nextServerPullMs = nowMs + SERVER_READ_INTERVAL_MS;
      }
      const [ip = ""] = message.address.split(":");
      const address = `${ip}:${this.#settings.firstPeerPort + 1}`;
      void this.#pull(topic, { address, all });
    }
  }

  async #pull(
    topic: string,
    from: { readonly address: string; readonly all: boolean },
  ): Promise<void> {
    const { address, all } = from;
    this.#unmergedTopics.delete(topic);
    const isDone = await this.#recordExchange.pull(topic, address, { all });
    if (all && !isDone) this.#unmergedTopics.add(topic);
  }

  #createWeightsRollout(): WeightsRolloutTask {
    const {
      clock,
      scheduler,
      rolloutLeaseLog,
      engineOrders,
      store,
    } = this.#ports;
    return new WeightsRolloutTask({
      self: this.#settings.vm,
      incarnation: this.#incarnation,
      clock,
      scheduler,
      log: rolloutLeaseLog,
      orders: engineOrders,
      leaseMs: this.#settings.leaseMs,
      engines: () =>
        findRolloutEngines(this.#registry, this.#namedWeights, {
          nowMs: this.#nowMs(),
          weightsBoundMs: this.#settings.weightsBoundMs,
        }),
      candidates: () => this.#leaseCandidates(),
      rank: (members) => rankByRendezvous("weights-duty", members),
      // Without the list of daemons each would take itself for the first.
      reachesStore: () => this.#isRegistered && store.isReachable,
      reachesEngines: () => this.#reachesEngines(),
      onWeightsChange: (progress) => {
        this.#gossip.announceWeightsProgress(progress);
        this.#gossipChannel.announce();
      },
      logDecision: this.#logDecision,
    });
  }

  /**
   * Daemons that may claim the rollout lease. Those that were listed a moment
   * ago count before they are heard, so that daemons that start at the same time
   * agree on who comes first.
   */
  #leaseCandidates(): VmId[] {
    const nowMs = this.#nowMs();
    const candidates: VmId[] = [];
    for (const { vm, message } of this.#fleet.reachable(nowMs)) {
      const reachesServers = message?.forwarding?.reaches.length !== 0;
      if (message?.reachesStore && reachesServers) candidates.push(vm);
    }
    for (const { vm, message, heardAtMs } of this.#fleet.members()) {
      const isRecent = nowMs - heardAtMs < FIRST_MESSAGE_TIMEOUT_MS;
      if (message === undefined && isRecent) candidates.push(vm);
    }
    return candidates;
  }

  /** False while this daemon reaches no engine whose weights are named. */
  #reachesEngines(): boolean {
    const services = new Set(
      [...this.#registry.all()]
        .filter(({ listed }) => listed.weights.size > 0)
        .map(({ listed }) => listed.service),
    );
    return services.size === 0 ||
      [...services].some((service) => !this.#paths.isCutOff(service));
  }

  #createCacheWatch(): CacheWatch {
    const { clock, scheduler, cacheEventClient } = this.#ports;
    return new CacheWatch({
      self: this.#settings.vm,
      clock,
      scheduler,
      client: cacheEventClient,
      registry: this.#registry,
      caches: () =>
        findWatchedCaches(
          this.#registry,
          this.#admission.view?.configuration.cacheStores ?? [],
        ),
      peers: () => this.#reachablePeers(),
      gossipRoundMs: () => this.#fleet.gossipRoundMs,
      decision: this.#logDecision,
    });
  }

  #createPauseGuard(): PauseGuard {
    const { scheduler, log, metrics } = this.#ports;
    return new PauseGuard({
      scheduler,
      nowMs: () => this.#ports.clock.elapsedMs(),
      renew: async () => {
        await Promise.all([
          this.#operatorFollower.refresh(),
          this.#serverFollower.refresh(),
        ]);
        log.stateChange("renewed", {});
      },
      paused: ({ fromMs, untilMs }) => {
        this.#admission.resumeAfterPause();
        this.#streamOrigins.notePause();
        metrics.count("pauses", {});
        log.stateChange("paused", { pausedMs: Math.round(untilMs - fromMs) });
      },
    });
  }

  /** Registers this daemon and adds all registered daemons to the fleet. */
  async #register(): Promise<void> {
    const { vm, ip } = this.#settings;
    const { store, log, scheduler } = this.#ports;
    try {
      const members = await store.registerDaemon(vm, ip);
      for (const [member, memberIp] of members) {
        this.#fleet.list(member, this.#peerAddress(memberIp), this.#nowMs());
      }
      this.#isRegistered = true;
      log.stateChange("registered", { members: members.size });
      this.#gossipChannel.broadcast();
    } catch (caught) {
      const reason = (caught as Error).message;
      log.decision("register_failed", { reason });
      scheduler.after(REGISTER_RETRY_DELAY_MS, () => void this.#register());
    }
  }

  #isReady(): boolean {
    return this.#drainingSinceMs === undefined &&
      this.#pauseGuard.whenCurrent() === undefined &&
      this.#admission.view !== undefined &&
      this.#recordApplier.hasServerRecords;
  }

  #schedulePrune(): void {
    const { scheduler, log, store } = this.#ports;
    scheduler.after(PRUNE_INTERVAL_MS, () => {
      this.#registry.prune(this.#nowMs());
      log.stateChange("status", {
        members: this.#fleet.size,
        reachable: this.#fleet.reachable(this.#nowMs()).length + 1,
        silentDomainsMs: this.#silentDomainsMs(),
        relayed: { ...this.#relayed },
        ...this.#registry.contactCounts(this.#nowMs()),
        ...this.#weightsWatch.summary(),
        storeCalls: store.callCounts,
      });
      this.#schedulePrune();
    });
  }

  /** Time for which nothing was heard of most of a failure domain. */
  #silentDomainsMs(): Record<FailureDomainId, number> {
    const overdue = this.#fleet.overdueDomains(
      this.#nowMs(),
      SERVED_OVERDUE_MS,
    );
    return Object.fromEntries(overdue.map(
      ({ failureDomain, ageMs }) => [failureDomain, Math.round(ageMs)],
    ));
  }

  #continueDrain(onEnd: () => void): void {
    const step = planDrain({
      sinceMs: this.#nowMs() - (this.#drainingSinceMs ?? 0),
      openCount: this.#listener.openRequestCount +
        this.#forwardedRuns.openCount,
      graceMs: this.#settings.graceMs,
    });
    if (step.refusesConnections) this.#listener.stopListening();
    if (step.endsRequests) this.#admission.stopRuns();
    if (step.mayEnd) return this.#finishDrain(onEnd);
    this.#ports.scheduler.after(
      DRAIN_CHECK_INTERVAL_MS,
      () => this.#continueDrain(onEnd),
    );
  }

  #finishDrain(onEnd: () => void): void {
    const { log } = this.#ports;
    log.stateChange("end", { open: this.#listener.openRequestCount });
    this.#gossipChannel.close({
      ...this.#gossip.composeMessage(),
      isLeaving: true,
    });
    this.#statusServer.close();
    this.#pauseGuard.stop();
    this.#paths.stop();
    this.#streamOrigins.stop();
    this.#forwardListener.close();
    log.flush();
    // The datagrams that announce the end are sent in the next turn of the
    // event loop; the timer keeps the process alive until then.
    setTimeout(() => {
      this.#gossipChannel.dispose();
      this.#recordExchange.close();
      this.#operatorFollower.stop();
      this.#serverFollower.stop();
      this.#quarantineFollower.stop();
      onEnd();
    }, DRAIN_CHECK_INTERVAL_MS);
  }
}
