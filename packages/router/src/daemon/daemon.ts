/**
 * Starts and drains one daemon.
 *
 * @module
 */

import type { PeerHandlers } from "@endivebend/peers";
import { loadHasher } from "@endivebend/routing";
import type { Settings } from "@endivebend/settings";
import { ActiveRequests } from "../callers/active_requests.ts";
import type { Listener } from "../http/listener.ts";
import { createDaemonContext, type DaemonContext } from "./daemon_context.ts";
import {
  createPeerHandlers,
  listenerCallbacks,
  openCallerListener,
  openOperatorListener,
} from "./listeners.ts";
import { openPeerListener, type PeerListener } from "./peer_listener.ts";
import {
  createTasks,
  type DaemonTasks,
  startTasks,
  stopTasks,
} from "./tasks.ts";

/** How long a drain waits until the log has the outcomes of all calls. */
const SETTLE_TIMEOUT_MS = 30_000;

/** The addresses (`host:port`) of a daemon's listeners. */
export interface DaemonAddresses {
  readonly callers: string;
  readonly operators: string;
  readonly peers: string;
}

interface StartedParts {
  readonly tasks: DaemonTasks;
  readonly peers: PeerListener;
  readonly callers: Listener;
  readonly operators: Listener;
}

/** A running daemon. */
export class Daemon {
  readonly #context: DaemonContext;
  readonly #active = new ActiveRequests();
  readonly #stopped: Promise<void>;
  #resolveStopped = () => {};
  #isDraining = false;
  #started: StartedParts | undefined;

  constructor(settings: Settings) {
    this.#context = createDaemonContext(settings);
    this.#stopped = new Promise((resolve) => {
      this.#resolveStopped = resolve;
    });
  }

  get addresses(): DaemonAddresses {
    const { callers, operators, peers } = this.#requireStarted();
    return {
      callers: callers.address,
      operators: operators.address,
      peers: peers.address,
    };
  }

  /** Opens the listeners and starts the tasks; call it once. */
  async start(): Promise<void> {
    await loadHasher();
    const { settings, identity, logger } = this.#context;
    const handlers: Partial<PeerHandlers> = {};
    // The operating system may choose the port, and the tasks need the address.
    const peers = await openPeerListener(settings, handlers, {
      onTls: (tls) => this.#context.peers.setTls(tls),
      ...listenerCallbacks(this.#context, "peers"),
    });
    const isDraining = () => this.#isDraining;
    const tasks = createTasks(this.#context, {
      peerAddress: settings.advertise.peers ?? peers.address,
      isDraining,
    });
    Object.assign(handlers, createPeerHandlers(this.#context, tasks));
    startTasks(tasks);
    tasks.configuration.onChange(() => this.#onConfigurationChange(tasks));
    const drain = () => void this.drain({ releaseRights: true });
    const daemon = { active: this.#active, isDraining, drain };
    const listenerOptions = { tasks, daemon };
    const callers = await openCallerListener(this.#context, listenerOptions);
    const operators = await openOperatorListener(
      this.#context,
      listenerOptions,
    );
    this.#started = { tasks, peers, callers, operators };
    const { incarnation } = identity;
    logger.info({ incarnation, ...this.addresses }, "Daemon started");
    this.#onConfigurationChange(tasks);
  }

  /** Resolves when the daemon has stopped. */
  whenStopped(): Promise<void> {
    return this.#stopped;
  }

  /**
   * Stops the daemon after its active requests have finished. Further calls
   * wait for the same drain. With `releaseRights`, for a VM that is removed,
   * the rights are released; a VM that restarts keeps them, so that its next
   * incarnation holds their groups at once.
   */
  async drain(
    options: { readonly releaseRights?: boolean } = {},
  ): Promise<void> {
    if (this.#isDraining) return this.#stopped;
    this.#isDraining = true;
    const { clock, logger, settings } = this.#context;
    const { tasks, callers } = this.#requireStarted();
    logger.info(
      { active: this.#active.count },
      "Draining: waiting for the active requests to finish",
    );
    // Gives the load balancer time to see that /readyz fails.
    const { drainGraceMs } = settings.limits;
    await this.#delay(drainGraceMs);
    callers.stopAccepting();
    // The load balancer may have checked late, and callers send further requests
    // on their open connections. Each is answered and closes its connection;
    // closing those that are idle now would cut the next request.
    await this.#delay(drainGraceMs);
    await this.#active.waitUntilIdle();
    void callers.close();
    const deadlineElapsedMs = clock.elapsedMs() + SETTLE_TIMEOUT_MS;
    await tasks.commitments.drain({ deadlineElapsedMs });
    await tasks.limits.drain({ release: options.releaseRights ?? false });
    await this.#stop();
    logger.info({}, "Daemon stopped");
    this.#resolveStopped();
  }

  #onConfigurationChange(tasks: DaemonTasks): void {
    const { identity, metrics } = this.#context;
    const stoppedCount = this.#active.stopWithdrawn(tasks.configuration);
    if (stoppedCount > 0) metrics.increment("requests.stopped_by_withdrawal");
    const isDrainRequested = tasks.configuration.isDrainRequested(
      identity.vmId,
    );
    if (!isDrainRequested || this.#started === undefined) return;
    void this.drain({ releaseRights: true });
  }

  async #stop(): Promise<void> {
    const { platform, metrics, tracing } = this.#context;
    const { tasks, peers, callers, operators } = this.#requireStarted();
    await stopTasks(tasks);
    callers.closeAllConnections();
    operators.closeAllConnections();
    await Promise.all([operators.close(), peers.close(), platform.close()]);
    // A trace collector that does not answer must not fail the stop.
    await tracing.shutdown().catch(() => {});
    metrics.close();
  }

  #delay(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#context.scheduler.after(durationMs, resolve);
    });
  }

  #requireStarted(): StartedParts {
    if (this.#started !== undefined) return this.#started;
    throw new Error("The daemon has not started; await start() first");
  }
}

/**
 * Creates a daemon and resolves when its listeners are open.
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
 * Starts a daemon, prints its addresses as one line of JSON, drains it on
 * SIGTERM or SIGINT, and resolves when it has stopped.
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
