/**
 * One daemon: its tasks, its listeners and its planned stop.
 *
 * @module
 */

import type { PeerHandlers } from "@endivebend/peers";
import { loadHasher } from "@endivebend/routing";
import type { Settings } from "@endivebend/settings";
import { brandId, type RequestId, type VmId } from "@endivebend/types";
import { ActiveRequests } from "../callers/active_requests.ts";
import type { CallerContext } from "../callers/context.ts";
import { createCallerHandler } from "../callers/server.ts";
import { defaultCommitmentSettings } from "../commitments/settings.ts";
import {
  type CommitmentTask,
  createCommitmentTask,
} from "../commitments/task.ts";
import {
  type ConfigurationTask,
  createConfigurationTask,
} from "../configuration/configuration_task.ts";
import { EngineDirectory } from "../engines/engine_directory.ts";
import { createSlotHandlers } from "../engines/slot_client.ts";
import { type Listener, openListener } from "../http/listener.ts";
import {
  createLimitsTask,
  createRightsTask,
  type LimitsTask,
  RightsFold,
  type RightsTask,
} from "../limits/mod.ts";
import type { MembershipTask } from "../membership/membership_task.ts";
import { createOperatorHandler } from "../operators/operator_handler.ts";
import { createPeerView } from "../peering/peer_view.ts";
import { createRecordHandlers } from "../peering/record_handlers.ts";
import { PeerRecordFetcher } from "../peering/record_source.ts";
import { HttpServiceDispatcher } from "../services/dispatcher.ts";
import { createEngineTasks, type EngineTasks } from "./engine_tasks.ts";
import { createFoundation, type Foundation } from "./foundation.ts";
import { createMembership } from "./membership_parts.ts";
import { openPeerListener, type PeerListener } from "./peer_listener.ts";
import { createStreams, type DaemonStreams } from "./streams.ts";

const CHANGE_TIMEOUT_MS = 5000;
const PEER_CHARGE_MARGIN_MS = 300;
/** How long a stop waits for the outcomes of its calls to be in the log. */
const SETTLE_TIMEOUT_MS = 30_000;

/** Where a daemon listens. */
export interface DaemonAddresses {
  readonly callers: string;
  readonly operators: string;
  readonly peers: string;
}

/** A running daemon. */
export class Daemon {
  readonly #foundation: Foundation;
  readonly #active = new ActiveRequests();
  readonly #directory: EngineDirectory;
  readonly #handlers: Partial<PeerHandlers> = {};
  readonly #records: PeerRecordFetcher;
  readonly #streams: DaemonStreams;
  readonly #rightsFold = new RightsFold();
  readonly #stopped: Promise<void>;
  #resolveStopped = () => {};
  #isDraining = false;
  #peerListener!: PeerListener;
  #callerListener!: Listener;
  #operatorListener!: Listener;
  #membership!: MembershipTask;
  #configuration!: ConfigurationTask;
  #engines!: EngineTasks;
  #rights!: RightsTask;
  #limits!: LimitsTask;
  #dispatcher!: HttpServiceDispatcher;
  #commitments!: CommitmentTask;

  constructor(settings: Settings) {
    this.#foundation = createFoundation(settings);
    this.#directory = new EngineDirectory(this.#foundation.clock);
    this.#records = new PeerRecordFetcher({
      peers: this.#foundation.peers,
      entryOf: (vmId) => this.#membership.entryVm(brandId<VmId>(vmId)),
    });
    this.#streams = createStreams(this.#foundation, this.#records);
    this.#stopped = new Promise((resolve) => {
      this.#resolveStopped = resolve;
    });
  }

  get addresses(): DaemonAddresses {
    return {
      callers: this.#callerListener.address,
      operators: this.#operatorListener.address,
      peers: this.#peerListener.address,
    };
  }

  /** Opens the listeners and starts the tasks. */
  async start(): Promise<void> {
    await loadHasher();
    const { settings, identity, logger } = this.#foundation;
    this.#peerListener = await openPeerListener(settings, this.#handlers);
    this.#createTasks();
    this.#fillHandlers();
    this.#startTasks();
    await this.#openListeners();
    logger.info({ ...identity, ...this.addresses }, "The daemon has started");
  }

  /** Resolves when the daemon has stopped. */
  whenStopped(): Promise<void> {
    return this.#stopped;
  }

  /** Stops without cutting a request; safe to call twice. */
  async drain(): Promise<void> {
    if (this.#isDraining) return this.#stopped;
    this.#isDraining = true;
    const { clock, logger, scheduler, settings } = this.#foundation;
    logger.info({ active: this.#active.count }, "The daemon drains");
    // The balancer needs this long to see that /readyz fails.
    await new Promise<void>((resolve) => {
      scheduler.after(settings.limits.drainGraceMs, resolve);
    });
    const closed = this.#callerListener.close();
    this.#callerListener.closeIdleConnections();
    await this.#active.idle();
    await Promise.race([closed, this.#active.idle()]);
    const deadlineElapsedMs = clock.elapsedMs() + SETTLE_TIMEOUT_MS;
    await this.#commitments.drain({ deadlineElapsedMs });
    await this.#limits.drain({ release: true });
    await this.#stop();
    logger.info({}, "The daemon has stopped");
    this.#resolveStopped();
  }

  #createTasks(): void {
    const foundation = this.#foundation;
    const { settings } = foundation;
    this.#membership = createMembership(foundation, {
      peerAddress: this.#peerAddress(),
      directory: this.#directory,
      receivers: {
        ownView: () => this.#ownView(),
        noteProgress: (view) => this.#records.noteView(view),
        blockKeys: (digests) =>
          this.#configuration.mergeBlockedDigests(digests),
      },
    });
    const membership = this.#membership;
    this.#configuration = createConfigurationTask({
      ...foundation,
      membership,
      stream: () => this.#streams.configuration.follower,
      logRetentionMs: settings.platform.logRetentionMs,
    });
    this.#streams.configuration.fold.attach(this.#configuration);
    this.#engines = createEngineTasks(foundation, {
      membership,
      directory: this.#directory,
    });
    this.#createLimits();
    this.#createCommitments();
  }

  #createCommitments(): void {
    const foundation = this.#foundation;
    const { platform } = foundation.settings;
    const membership = this.#membership;
    const notes = membership;
    this.#dispatcher = new HttpServiceDispatcher({
      ...foundation,
      membership,
      notes,
    });
    this.#commitments = createCommitmentTask({
      ...foundation,
      membership,
      stream: this.#streams.commitments.follower,
      dispatcher: this.#dispatcher,
      settings: {
        ...defaultCommitmentSettings({ retentionMs: platform.logRetentionMs }),
        // An idle stream is silent for as long as its long poll waits.
        logAwayAfterMs: platform.pollWaitMs + platform.timeoutMs,
      },
    });
    this.#streams.commitments.fold.attach(this.#commitments);
  }

  #createLimits(): void {
    const foundation = this.#foundation;
    const { limits, fleet } = foundation.settings;
    const membership = this.#membership;
    this.#streams.rights.fold.attach(this.#rightsFold);
    this.#rights = createRightsTask({
      ...foundation,
      membership,
      fold: this.#rightsFold,
      stream: this.#streams.rights.follower,
      failureDomains: fleet.failureDomains,
      loanLeaseMs: limits.loanLeaseMs,
    });
    this.#limits = createLimitsTask({
      ...foundation,
      membership,
      rights: this.#rights,
      configuration: this.#configuration,
      settings: {
        loanLeaseMs: limits.loanLeaseMs,
        floorFraction: limits.floorFraction,
        chargeTimeoutMs: PEER_CHARGE_MARGIN_MS,
      },
    });
  }

  #fillHandlers(): void {
    const { explainer, clock } = this.#foundation;
    const { slots, prefixes } = this.#engines;
    Object.assign(
      this.#handlers,
      this.#limits.handlers,
      prefixes.handlers(),
      createSlotHandlers({ slots, clock }),
      createRecordHandlers(this.#servedStreams()),
      {
        exchange: (request) => {
          if (request.view !== undefined) {
            this.#membership.takePeerView(request.view);
          }
          return { view: this.#ownView() };
        },
        explain: (request) => {
          const requestId = brandId<RequestId>(request.requestId);
          const record = explainer.explain(requestId);
          return { recordJson: record ? JSON.stringify(record) : "" };
        },
      } satisfies Partial<PeerHandlers>,
    );
  }

  #startTasks(): void {
    void this.#streams.configuration.follower.start();
    void this.#streams.rights.follower.start();
    void this.#streams.commitments.follower.start();
    void this.#membership.start();
    this.#configuration.start();
    this.#configuration.onChange(() => this.#onConfiguration());
    this.#rights.start();
    this.#limits.start();
    this.#engines.watcher.start();
  }

  #onConfiguration(): void {
    this.#active.stopWithdrawn(this.#configuration);
    const { vmId } = this.#foundation.identity;
    if (this.#configuration.isDrainRequested(vmId)) void this.drain();
  }

  async #openListeners(): Promise<void> {
    const { settings, identity, metrics, clock, logger, peers, explainer } =
      this.#foundation;
    const limits = settings.limits;
    this.#callerListener = await openListener(settings.listen.callers, {
      limits,
      handle: createCallerHandler(this.#callerContext()),
    });
    this.#operatorListener = await openListener(settings.listen.operators, {
      limits,
      handle: createOperatorHandler({
        identity,
        metrics,
        clock,
        logger,
        peers,
        explainer,
        configuration: this.#configuration,
        membership: this.#membership,
        streams: this.#followers(),
        keys: settings.operators.keys,
        changeTimeoutMs: CHANGE_TIMEOUT_MS,
        drainSelf: () => void this.drain(),
        sections: this.#statusSections(),
      }),
    });
  }

  #callerContext(): CallerContext {
    return {
      ...this.#foundation,
      configuration: this.#configuration,
      charger: this.#limits,
      membership: this.#membership,
      runs: this.#engines.runs,
      dispatcher: this.#dispatcher,
      commitments: this.#commitments,
      active: this.#active,
      limits: this.#foundation.settings.limits,
      isReady: () => !this.#isDraining && this.#configuration.isReady(),
    };
  }

  #statusSections() {
    const { metrics } = this.#foundation;
    return {
      draining: () => this.#isDraining,
      activeRequests: () => this.#active.count,
      peers: () => this.#membership.entryVms().map((entry) => entry.vmId),
      engines: () => this.#membership.serversOfRole("engine"),
      watchedEngines: () => this.#engines.watcher.watchedEngines(),
      queues: () => this.#engines.slots.waitingCounts(),
      heldGroups: () => this.#rights.heldGroups().length,
      counters: () => metrics.counts(),
    };
  }

  #servedStreams() {
    const { configuration, rights, commitments } = this.#streams;
    return new Map([configuration, rights, commitments].map((parts) => [
      parts.follower.stream,
      parts,
    ]));
  }

  #followers() {
    return [...this.#servedStreams().values()].map(({ follower }) => follower);
  }

  #peerAddress(): string {
    const { advertise } = this.#foundation.settings;
    return advertise.peers ?? this.#peerListener.address;
  }

  #ownView() {
    return createPeerView({
      identity: this.#foundation.identity,
      address: this.#peerAddress(),
      clock: this.#foundation.clock,
      directory: this.#directory,
      followers: this.#followers(),
      watchedEngines: () => this.#engines.watcher.watchedEngines(),
      blockedDigests: () => this.#configuration.blockedDigests(),
      isDraining: () => this.#isDraining,
    });
  }

  async #stop(): Promise<void> {
    const { platform, metrics, tracing } = this.#foundation;
    this.#engines.watcher.stop();
    this.#commitments.stop();
    this.#limits.stop();
    this.#rights.stop();
    this.#configuration.stop();
    this.#membership.stop();
    for (const follower of this.#followers()) follower.stop();
    this.#callerListener.closeAllConnections();
    this.#operatorListener.closeAllConnections();
    await Promise.all([
      this.#operatorListener.close(),
      this.#peerListener.close(),
      this.#engines.connections.close(),
      this.#dispatcher.close(),
      platform.close(),
      tracing.shutdown().catch(() => {}),
    ]);
    metrics.close();
  }
}

/**
 * Starts a daemon.
 *
 * @example
 * ```ts
 * const daemon = await startDaemon(settings);
 * process.once("SIGTERM", () => void daemon.drain());
 * await daemon.whenStopped();
 * ```
 */
export async function startDaemon(settings: Settings): Promise<Daemon> {
  const daemon = new Daemon(settings);
  await daemon.start();
  return daemon;
}

/**
 * Runs a daemon until SIGTERM or SIGINT, prints its addresses as one line of
 * JSON, and resolves when it has stopped without cutting a request.
 *
 * @example
 * ```ts
 * await serveDaemon(settings);
 * ```
 */
export async function serveDaemon(settings: Settings): Promise<void> {
  const daemon = await startDaemon(settings);
  process.stdout.write(`${JSON.stringify(daemon.addresses)}\n`);
  const drain = () => void daemon.drain();
  process.once("SIGTERM", drain);
  process.once("SIGINT", drain);
  await daemon.whenStopped();
}
