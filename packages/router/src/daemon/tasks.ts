/**
 * Creates, connects, starts and stops the tasks of one daemon.
 *
 * @module
 */

import type { PeerView } from "@endivebend/peers";
import { brandId, type VmId } from "@endivebend/types";
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
import {
  createLimitsTask,
  createRightsTask,
  type LimitsTask,
  RightsFold,
  type RightsTask,
} from "../limits/mod.ts";
import type { LogFollower } from "../log/follower.ts";
import type { MembershipTask } from "../membership/membership_task.ts";
import { HttpEngineOrderClient } from "../orders/engine_order_client.ts";
import { createOrdersTask, type OrdersTask } from "../orders/orders_task.ts";
import { DEFAULT_ORDERS_SETTINGS } from "../orders/settings.ts";
import { createPeerView } from "../peering/peer_view.ts";
import { PeerRecordFetcher } from "../peering/record_source.ts";
import { HttpServiceDispatcher } from "../services/dispatcher.ts";
import { createEngineTasks, type EngineTasks } from "./engine_tasks.ts";
import type { DaemonContext } from "./daemon_context.ts";
import { createMembershipTask } from "./create_membership.ts";
import { createStreams, type DaemonStreams } from "./streams.ts";

/** Time limit for a holder's answer, added to the time a charge may wait. */
const PEER_CHARGE_MARGIN_MS = 300;

/** The daemon's state as its tasks use it. */
export interface DaemonState {
  /** The address (`host:port`) at which other daemons reach this one. */
  readonly peerAddress: string;
  readonly isDraining: () => boolean;
}

/** The tasks of one daemon. */
export interface DaemonTasks {
  readonly streams: DaemonStreams;
  readonly membership: MembershipTask;
  readonly configuration: ConfigurationTask;
  readonly engines: EngineTasks;
  readonly rights: RightsTask;
  readonly limits: LimitsTask;
  readonly dispatcher: HttpServiceDispatcher;
  readonly commitments: CommitmentTask;
  readonly orders: OrdersTask;
  /** Creates the view that this daemon sends to its peers. */
  readonly ownView: () => PeerView;
}

/** The followers of all streams. */
export function followersOf(tasks: DaemonTasks): readonly LogFollower[] {
  return Object.values(tasks.streams).map(({ follower }) => follower);
}

function recordPeerOffsets(streams: DaemonStreams, view: PeerView): void {
  for (const { follower } of Object.values(streams)) {
    const nextOffset = view.appliedOffsets[follower.stream];
    if (nextOffset === undefined) continue;
    follower.onPeerProgress(Number(nextOffset));
  }
}

function createRights(
  context: DaemonContext,
  options: {
    readonly streams: DaemonStreams;
    readonly membership: MembershipTask;
  },
): RightsTask {
  const { limits, fleet } = context.settings;
  const { streams, membership } = options;
  const fold = new RightsFold();
  streams.rights.fold.attach(fold);
  return createRightsTask({
    ...context,
    membership,
    fold,
    stream: streams.rights.follower,
    failureDomains: fleet.failureDomains,
    loanLeaseMs: limits.loanLeaseMs,
  });
}

function createCommitments(
  context: DaemonContext,
  options: {
    readonly streams: DaemonStreams;
    readonly membership: MembershipTask;
    readonly dispatcher: HttpServiceDispatcher;
  },
): CommitmentTask {
  const { platform } = context.settings;
  const { streams, membership, dispatcher } = options;
  const task = createCommitmentTask({
    ...context,
    membership,
    dispatcher,
    stream: streams.commitments.follower,
    settings: {
      ...defaultCommitmentSettings({ retentionMs: platform.logRetentionMs }),
      // The platform answers for an idle stream only when the long poll ends.
      logUnavailableAfterMs: platform.pollWaitMs + platform.timeoutMs,
    },
  });
  streams.commitments.fold.attach(task);
  return task;
}

function createOrders(
  context: DaemonContext,
  options: {
    readonly streams: DaemonStreams;
    readonly membership: MembershipTask;
  },
): OrdersTask {
  const { streams, membership } = options;
  const task = createOrdersTask({
    ...context,
    membership,
    stream: streams.orders.follower,
    client: new HttpEngineOrderClient(),
    settings: DEFAULT_ORDERS_SETTINGS,
  });
  streams.orders.fold.attach(task);
  return task;
}

/** Creates all tasks; nothing runs before {@link startTasks}. */
export function createTasks(
  context: DaemonContext,
  daemon: DaemonState,
): DaemonTasks {
  const { identity, clock, settings, peers } = context;
  const directory = new EngineDirectory(clock);
  const recordFetcher = new PeerRecordFetcher({
    peers,
    entryOfPeer: (vmId) => membership.entryVm(brandId<VmId>(vmId)),
  });
  const streams = createStreams(context, recordFetcher);
  const ownView = () =>
    createPeerView({
      identity,
      clock,
      directory,
      address: daemon.peerAddress,
      followers: Object.values(streams).map(({ follower }) => follower),
      watchedEngines: () => engines.watcher.watchedEngines(),
      blockedDigests: () => configuration.blockedDigests(),
      isDraining: daemon.isDraining,
    });
  const membership = createMembershipTask(context, {
    peerAddress: daemon.peerAddress,
    directory,
    viewHandlers: {
      ownView,
      recordProgress(view) {
        recordFetcher.recordView(view);
        recordPeerOffsets(streams, view);
      },
      blockKeys: (digests) => configuration.mergeBlockedDigests(digests),
    },
  });
  const configuration = createConfigurationTask({
    ...context,
    membership,
    stream: () => streams.configuration.follower,
    logRetentionMs: settings.platform.logRetentionMs,
  });
  streams.configuration.fold.attach(configuration);
  const engines = createEngineTasks(context, { membership, directory });
  const rights = createRights(context, { streams, membership });
  const limits = createLimitsTask({
    ...context,
    membership,
    rights,
    configuration,
    settings: {
      loanLeaseMs: settings.limits.loanLeaseMs,
      floorFraction: settings.limits.floorFraction,
      chargeTimeoutMs: PEER_CHARGE_MARGIN_MS,
    },
  });
  const dispatcher = new HttpServiceDispatcher({
    ...context,
    membership,
    membershipRecorder: membership,
  });
  const commitments = createCommitments(context, {
    streams,
    membership,
    dispatcher,
  });
  const orders = createOrders(context, { streams, membership });
  return {
    orders,
    streams,
    membership,
    configuration,
    engines,
    rights,
    limits,
    dispatcher,
    commitments,
    ownView,
  };
}

/** Starts the followers and the timers of all tasks. */
export function startTasks(tasks: DaemonTasks): void {
  for (const follower of followersOf(tasks)) void follower.start();
  void tasks.membership.start();
  tasks.configuration.start();
  tasks.rights.start();
  tasks.limits.start();
  tasks.engines.watcher.start();
}

/** Stops all tasks and closes their connections. */
export async function stopTasks(tasks: DaemonTasks): Promise<void> {
  tasks.engines.watcher.stop();
  tasks.orders.stop();
  tasks.commitments.stop();
  tasks.limits.stop();
  tasks.rights.stop();
  tasks.configuration.stop();
  tasks.membership.stop();
  for (const follower of followersOf(tasks)) follower.stop();
  await Promise.all([
    tasks.engines.connections.close(),
    tasks.dispatcher.close(),
  ]);
}
