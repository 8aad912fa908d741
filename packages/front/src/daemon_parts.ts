/**
 * Constructs the components of a daemon from its settings and ports, and connects
 * them.
 *
 * @module
 */

import { steadyMs } from "@endivebend/clock";
import {
  FleetState,
  type GossipChannel,
  type RecordExchange,
  type RecordTable,
} from "@endivebend/fleet";
import type { ServerPaths } from "@endivebend/forwarding";
import {
  type VersionRolloutTask,
  WeightsRolloutTask,
} from "@endivebend/orders";
import {
  AdmissionController,
  CacheWatch,
  ForwardedRuns,
  NamedWeightsRegistry,
  ProcessCheck,
  ServerAllowances,
  ServerEndCheck,
  ServerPaces,
  ServerRegistry,
  type Sharer,
} from "@endivebend/request-path";
import { rankByRendezvous } from "@endivebend/routing";
import {
  brandId,
  type IncarnationId,
  type ServiceName,
  type VmId,
} from "@endivebend/types";
import { createDomainBalance } from "./daemon_balance.ts";
import { DaemonDrain } from "./daemon_drain.ts";
import { createGossip, createGossipChannel } from "./daemon_gossip.ts";
import { createServerPaths } from "./daemon_paths.ts";
import {
  createFollowers,
  createRecordApplier,
  createRecordExchange,
  createTables,
  type RecordFollowers,
} from "./daemon_records.ts";
import { DaemonRegistration } from "./daemon_registration.ts";
import {
  createVersionRollouts,
  createVersionRolloutTask,
} from "./daemon_rollouts.ts";
import type { FleetGossip } from "./fleet_gossip.ts";
import { leaseCandidates, reachesEngines } from "./lease_candidates.ts";
import { PauseGuard } from "./pause_guard.ts";
import { PeerRecordPulls } from "./peer_record_pulls.ts";
import type {
  CallerListener,
  ForwardListener,
  FrontPorts,
  FrontSettings,
  StatusServer,
} from "./ports.ts";
import { QuarantineKeeper } from "./quarantine_keeper.ts";
import type { RecordApplier } from "./record_applier.ts";
import { findRolloutEngines, findWatchedCaches } from "./server_selection.ts";
import { SharedReads } from "./shared_reads.ts";
import { StoreContact } from "./store_contact.ts";
import { StreamOriginKeeper } from "./stream_origin_keeper.ts";
import type { VersionRollouts } from "./version_rollouts.ts";
import { WeightsWatch } from "./weights_watch.ts";

/** The components of a daemon. */
export class DaemonParts {
  readonly settings: FrontSettings;
  readonly ports: FrontPorts;
  readonly incarnation: IncarnationId;
  readonly registry: ServerRegistry;
  readonly namedWeights = new NamedWeightsRegistry();
  readonly weightsWatch: WeightsWatch;
  readonly fleet: FleetState;
  readonly paths: ServerPaths;
  readonly quarantines: QuarantineKeeper;
  readonly streamOrigins: StreamOriginKeeper;
  readonly processCheck: ProcessCheck;
  readonly paces: ServerPaces;
  readonly admission: AdmissionController;
  readonly recordApplier: RecordApplier;
  readonly tables: ReadonlyMap<string, RecordTable>;
  readonly followers: RecordFollowers;
  readonly pulls: PeerRecordPulls;
  readonly registration = new DaemonRegistration(this);
  readonly storeContact = new StoreContact(this);
  readonly drain = new DaemonDrain(this);
  readonly listReads = new SharedReads(() =>
    this.followers.server.refresh().then(() => true, () => false)
  );
  readonly recordExchange: Pick<RecordExchange, "pull" | "close">;
  readonly gossip: FleetGossip;
  readonly gossipChannel: GossipChannel;
  readonly weightsRollout: WeightsRolloutTask;
  readonly versionRollouts: VersionRollouts;
  readonly versionRolloutTask: VersionRolloutTask;
  readonly cacheWatch: CacheWatch;
  readonly pauseGuard: PauseGuard;
  readonly listener: CallerListener;
  readonly forwardedRuns: ForwardedRuns;
  readonly forwardListener: ForwardListener;
  readonly statusServer: StatusServer;
  /** Addresses that get gossip messages until their daemon has sent one. */
  readonly seedAddresses = new Set<string>();
  /** What this daemon has sent as a relay of gossip. */
  readonly relayed = { datagrams: 0, bytes: 0 };

  constructor(settings: FrontSettings, ports: FrontPorts) {
    this.settings = settings;
    this.ports = ports;
    this.incarnation = brandId<IncarnationId>(
      `${Date.now().toString(36)}-${Math.random().toString(36).slice(2, 8)}`,
    );
    ports.log.stateChange("start", { incarnation: this.incarnation });
    const { repeats, tolerance } = settings.bounds;
    this.fleet = new FleetState(settings.vm, settings.failureDomain, {
      limitWindowMs: Math.max(repeats.windowMs, tolerance.windowMs),
    });
    this.registry = new ServerRegistry({
      wallOffsetMs: ports.clock.wallMs() - this.nowMs(),
      weightsChanged: (change) => {
        this.weightsWatch.note(change);
        this.gossip.shareStatedWeights(change);
      },
    });
    this.weightsWatch = new WeightsWatch({
      registry: () => this.registry,
      named: this.namedWeights,
      log: ports.log,
      metrics: ports.metrics,
      nowMs: () => this.nowMs(),
    });
    this.registry.recentPlacements.setGossipRound(() =>
      this.fleet.gossipRoundMs
    );
    this.registry.setPeerWorkLookup((id) =>
      this.fleet.workAt(id, this.nowMs())
    );
    this.paths = createServerPaths(this);
    this.quarantines = this.#createQuarantines();
    this.streamOrigins = this.#createStreamOrigins();
    this.processCheck = this.#createProcessCheck();
    this.paces = new ServerPaces({
      registry: this.registry,
      self: settings.vm,
      daemons: () => [
        settings.vm,
        ...this.fleet.members().map(({ vm }) => vm),
      ],
      log: ports.log,
      metrics: ports.metrics,
    });
    this.versionRollouts = createVersionRollouts(this);
    this.admission = this.#createAdmission();
    this.forwardedRuns = this.#createForwardedRuns();
    this.recordApplier = createRecordApplier(this);
    this.tables = createTables(this);
    this.pulls = new PeerRecordPulls(this);
    this.followers = createFollowers(this);
    this.recordExchange = createRecordExchange(this);
    this.gossip = createGossip(this);
    this.gossipChannel = createGossipChannel(this);
    this.weightsRollout = this.#createWeightsRollout();
    this.versionRolloutTask = createVersionRolloutTask(this);
    this.cacheWatch = this.#createCacheWatch();
    this.pauseGuard = this.#createPauseGuard();
    this.listener = ports.listen({
      admission: this.admission,
      isLeaving: () => this.drain.isDraining,
      mayTake: (timeLeftMs) => this.drain.mayTake(timeLeftMs),
      whenCurrent: () => this.pauseGuard.whenCurrent(),
    });
    this.forwardListener = this.#listenForPeers();
    this.statusServer = ports.serveStatus({
      isReady: () => this.#isReady(),
      explain: (query) => this.admission.explain(query),
    });
  }

  nowMs(): number {
    return steadyMs(this.ports.clock);
  }

  logDecision = (step: string, fields: Readonly<Record<string, unknown>>) =>
    this.ports.log.decision(step, fields);

  peerAddress(ip: string): string {
    return `${ip}:${this.settings.firstPeerPort}`;
  }

  #createProcessCheck(): ProcessCheck {
    const { clock, scheduler, engineOrders, log, metrics } = this.ports;
    return new ProcessCheck({
      ask: (server) => engineOrders.report(server),
      clock,
      scheduler,
      log,
      metrics,
    });
  }

  #createAdmission(): AdmissionController {
    const { vm, failureDomain, weightsBoundMs, bounds } = this.settings;
    const {
      clock,
      scheduler,
      serverClient,
      log,
      metrics,
      memory,
    } = this.ports;
    return new AdmissionController({
      context: {
        registry: this.registry,
        allowances: new ServerAllowances({
          registry: this.registry,
          self: vm,
          daemons: (service) => this.#sharersOf(service),
        }),
        pace: this.paces,
        failureDomain,
        versions: this.versionRollouts,
        balance: createDomainBalance(this),
        namedWeights: (model) => this.namedWeights.history(model),
        weightsBoundMs,
        clock,
        scheduler,
        client: serverClient,
        crashGuard: this.quarantines.guard,
        streamOrigins: this.streamOrigins,
        paths: this.paths,
        processCheck: this.processCheck,
        log,
        metrics,
        memory,
      },
      bounds,
      fleetSize: () => this.fleet.size,
      limitSharers: () =>
        this.registration.isRegistered
          ? this.fleet.sharerCount(this.nowMs())
          : undefined,
      reachableShare: () => this.fleet.reachableShare(this.nowMs()),
    });
  }

  #createForwardedRuns(): ForwardedRuns {
    const { clock, scheduler, serverClient, log, metrics } = this.ports;
    return new ForwardedRuns({
      registry: this.registry,
      clock,
      scheduler,
      client: serverClient,
      paths: this.paths,
      crashGuard: this.quarantines.guard,
      processCheck: this.processCheck,
      log,
      metrics,
      isLeaving: () => this.drain.isDraining,
    });
  }

  #listenForPeers(): ForwardListener {
    const { ip, firstPeerPort } = this.settings;
    return this.ports.listenForPeers({
      ip,
      port: firstPeerPort + 2,
      runs: this.forwardedRuns,
      isPeer: (peerIp) =>
        this.fleet.members().some(({ address }) =>
          address.startsWith(`${peerIp}:`)
        ),
      failed: (reason) => this.logDecision("forward_failed", { reason }),
    });
  }

  #createQuarantines(): QuarantineKeeper {
    const { clock, scheduler, store, serverClient, log, metrics } = this.ports;
    return new QuarantineKeeper({
      self: this.settings.vm,
      clock,
      scheduler,
      store,
      endCheck: new ServerEndCheck({
        client: serverClient,
        registry: this.registry,
        scheduler,
        reachesAnother: (server) => this.paths.reachesAnother(server),
        log,
        metrics,
      }),
      log,
      metrics,
      peers: () => this.#reachablePeers(),
      announce: () => this.gossipChannel.announce(),
    });
  }

  #createStreamOrigins(): StreamOriginKeeper {
    const { clock, scheduler, store, streamOriginLog, log, metrics } =
      this.ports;
    return new StreamOriginKeeper({
      self: this.settings.vm,
      clock,
      scheduler,
      originLog: streamOriginLog,
      registry: this.registry,
      log,
      metrics,
      timeoutsMs: () => this.#resumableTimeoutsMs(),
      peers: () => this.#reachablePeers(),
      fleetSize: () => this.fleet.size,
      reachesStore: () => store.isReachable,
      readList: () => this.listReads.read(),
      listReadAtMs: () => this.storeContact.listReadAtMs(),
    });
  }

  /** The longest timeout of each service's streams that may be taken up. */
  #resumableTimeoutsMs(): ReadonlyMap<ServiceName, number> {
    return this.admission.view?.resumableTimeoutsMs ?? new Map();
  }

  /** All daemons that may be alive, with their demand for the service. */
  #sharersOf(service: ServiceName): Sharer[] {
    const ownDemandPerS = this.admission.demandPerS().get(service) ?? 0;
    const others = this.fleet.members().map(({ vm, message }) => ({
      vm,
      demandPerS: message?.demandPerS?.[service] ?? 0,
    }));
    return [{ vm: this.settings.vm, demandPerS: ownDemandPerS }, ...others];
  }

  #reachablePeers(): VmId[] {
    return this.fleet.reachable(this.nowMs()).map(({ vm }) => vm);
  }

  #createWeightsRollout(): WeightsRolloutTask {
    const {
      clock,
      scheduler,
      rolloutLeaseLog,
      engineOrders,
      store,
    } = this.ports;
    return new WeightsRolloutTask({
      self: this.settings.vm,
      incarnation: this.incarnation,
      clock,
      scheduler,
      log: rolloutLeaseLog,
      orders: engineOrders,
      leaseMs: this.settings.leaseMs,
      engines: () =>
        findRolloutEngines(this.registry, this.namedWeights, {
          nowMs: this.nowMs(),
          weightsBoundMs: this.settings.weightsBoundMs,
        }),
      candidates: () => leaseCandidates(this),
      rank: (members) => rankByRendezvous("weights-duty", members),
      // Without the list of daemons each would take itself for the first.
      reachesStore: () => this.registration.isRegistered && store.isReachable,
      reachesEngines: () =>
        reachesEngines(this) && this.versionRollouts.mayHold(),
      onWeightsChange: (progress) => {
        this.gossip.announceWeightsProgress(progress);
        this.gossipChannel.announce();
      },
      logDecision: this.logDecision,
    });
  }

  #createCacheWatch(): CacheWatch {
    const { clock, scheduler, cacheEventClient } = this.ports;
    return new CacheWatch({
      self: this.settings.vm,
      clock,
      scheduler,
      client: cacheEventClient,
      registry: this.registry,
      caches: () =>
        findWatchedCaches(
          this.registry,
          this.admission.view?.configuration.cacheStores ?? [],
        ),
      peers: () => this.#reachablePeers(),
      gossipRoundMs: () => this.fleet.gossipRoundMs,
      decision: this.logDecision,
    });
  }

  #createPauseGuard(): PauseGuard {
    const { scheduler, log, metrics } = this.ports;
    return new PauseGuard({
      scheduler,
      nowMs: () => this.ports.clock.elapsedMs(),
      renew: async () => {
        await Promise.all([
          this.followers.operator.refresh(),
          this.followers.server.refresh(),
        ]);
        log.stateChange("renewed", {});
      },
      paused: ({ fromMs, untilMs }) => {
        this.admission.resumeAfterPause();
        this.streamOrigins.notePause();
        metrics.count("pauses", {});
        log.stateChange("paused", { pausedMs: Math.round(untilMs - fromMs) });
      },
    });
  }

  /** Whether callers may be sent to this daemon. */
  #isReady(): boolean {
    return !this.drain.isDraining &&
      this.pauseGuard.whenCurrent() === undefined &&
      this.admission.view !== undefined &&
      this.recordApplier.hasServerRecords;
  }
}
