/**
 * The listeners of a daemon for callers and operators, and the handlers of all
 * three listeners.
 *
 * @module
 */

import type { PeerHandlers } from "@endivebend/peers";
import { brandId, type RequestId } from "@endivebend/types";
import type { ActiveRequests } from "../callers/active_requests.ts";
import type { CallerContext } from "../callers/context.ts";
import { createCallerHandler } from "../callers/server.ts";
import { createSlotHandlers } from "../engines/slot_client.ts";
import { type Listener, openListener } from "../http/listener.ts";
import { createOperatorHandler } from "../operators/operator_handler.ts";
import { createRecordHandlers } from "../peering/record_handlers.ts";
import type { DaemonContext } from "./daemon_context.ts";
import { type DaemonTasks, followersOf } from "./tasks.ts";

/** How long an operator's change may take before its outcome is unknown. */
const CHANGE_TIMEOUT_MS = 5000;

/** The daemon's state and its drain, as the listeners' handlers use them. */
export interface DaemonControl {
  readonly active: ActiveRequests;
  readonly isDraining: () => boolean;
  readonly drain: () => void;
}

/** Creates the handlers for calls from other daemons. */
export function createPeerHandlers(
  context: DaemonContext,
  tasks: DaemonTasks,
): Partial<PeerHandlers> {
  const { clock, explainer } = context;
  const { slots, prefixes } = tasks.engines;
  const streamEntries = Object.entries(tasks.streams);
  return {
    ...tasks.limits.handlers,
    ...prefixes.handlers(),
    ...createSlotHandlers({ slots, clock, directory: tasks.engines.directory }),
    ...createRecordHandlers(new Map(streamEntries)),
    fetchVmList({ newerThanMs }) {
      const list = tasks.membership.list();
      const isNewer = list !== undefined && list.asOfMs > Number(newerThanMs);
      return { listJson: isNewer ? JSON.stringify(list) : "" };
    },
    exchange({ view }) {
      if (view !== undefined) tasks.membership.applyPeerView(view);
      return { view: tasks.ownView() };
    },
    explain(request) {
      const requestId = brandId<RequestId>(request.requestId);
      const record = explainer.explain(requestId);
      return { recordJson: record ? JSON.stringify(record) : "" };
    },
  };
}

function createCallerContext(
  context: DaemonContext,
  options: { readonly tasks: DaemonTasks; readonly daemon: DaemonControl },
): CallerContext {
  const { tasks, daemon } = options;
  const { configuration, membership, dispatcher, commitments } = tasks;
  return {
    ...context,
    configuration,
    membership,
    dispatcher,
    commitments,
    charger: tasks.limits,
    runContext: tasks.engines.runContext,
    active: daemon.active,
    limits: context.settings.limits,
    isDraining: daemon.isDraining,
    isReady: () => !daemon.isDraining() && configuration.isReady(),
  };
}

/** Callbacks that count a listener's refusals and log certificate reloads. */
export function listenerCallbacks(
  { metrics, logger }: Pick<DaemonContext, "metrics" | "logger">,
  listener: "callers" | "operators" | "peers",
) {
  return {
    onRefusal(reason: string = "peer_unauthorized") {
      metrics.increment("listeners.refused", { listener, reason });
    },
    onReload(failure: unknown) {
      const fields = { listener };
      if (failure === undefined) {
        logger.info(fields, "Certificates reloaded");
        return;
      }
      metrics.increment("listeners.reload_failures", { listener });
      const cause = String(failure);
      logger.warn(
        { ...fields, cause },
        "Certificates not reloaded; write a certificate and a key that match",
      );
    },
  };
}

/** Opens the listener for callers. */
export function openCallerListener(
  context: DaemonContext,
  options: { readonly tasks: DaemonTasks; readonly daemon: DaemonControl },
): Promise<Listener> {
  const { settings } = context;
  return openListener(settings.listen.callers, {
    limits: settings.limits,
    handle: createCallerHandler(createCallerContext(context, options)),
    ...listenerCallbacks(context, "callers"),
  });
}

function createStatusSections(
  context: DaemonContext,
  options: { readonly tasks: DaemonTasks; readonly daemon: DaemonControl },
) {
  const { tasks, daemon } = options;
  return {
    draining: daemon.isDraining,
    activeRequests: () => daemon.active.count,
    unsettledCalls: () => tasks.commitments.unsettledCalls,
    peers: () => tasks.membership.entryVms().map((entry) => entry.vmId),
    engines: () => tasks.membership.serversOfRole("engine"),
    watchedEngines: () => tasks.engines.watcher.watchedEngines(),
    queues: () => tasks.engines.slots.waitingCounts(),
    heldGroups: () => tasks.rights.heldGroups().length,
    counters: () => context.metrics.counts(),
  };
}

/** Opens the listener for operators. */
export function openOperatorListener(
  context: DaemonContext,
  options: { readonly tasks: DaemonTasks; readonly daemon: DaemonControl },
): Promise<Listener> {
  const { settings } = context;
  const { configuration, membership } = options.tasks;
  return openListener(settings.listen.operators, {
    limits: settings.limits,
    handle: createOperatorHandler({
      ...context,
      configuration,
      membership,
      streams: followersOf(options.tasks),
      keys: settings.operators.keys,
      changeTimeoutMs: CHANGE_TIMEOUT_MS,
      drainSelf: options.daemon.drain,
      holdDrain: () => options.daemon.active.hold(),
      orders: options.tasks.orders,
      engines: () => membership.serversOfRole("engine"),
      sections: createStatusSections(context, options),
    }),
    ...listenerCallbacks(context, "operators"),
  });
}
