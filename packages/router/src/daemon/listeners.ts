/**
 * The listeners of a daemon and what they serve.
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
import type { Foundation } from "./foundation.ts";
import { type DaemonTasks, followersOf } from "./tasks.ts";

/** How long an operator's change may take until its outcome is unknown. */
const CHANGE_TIMEOUT_MS = 5000;

/** What the listeners need to know of the daemon around them. */
export interface ServedDaemon {
  readonly active: ActiveRequests;
  readonly isDraining: () => boolean;
  readonly drain: () => void;
}

/** The handlers of the calls of other daemons. */
export function createPeerHandlers(
  foundation: Foundation,
  tasks: DaemonTasks,
): Partial<PeerHandlers> {
  const { clock, explainer } = foundation;
  const { slots, prefixes } = tasks.engines;
  const served = Object.entries(tasks.streams);
  return {
    ...tasks.limits.handlers,
    ...prefixes.handlers(),
    ...createSlotHandlers({ slots, clock, directory: tasks.engines.directory }),
    ...createRecordHandlers(new Map(served)),
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

function callerContext(
  foundation: Foundation,
  options: { readonly tasks: DaemonTasks; readonly daemon: ServedDaemon },
): CallerContext {
  const { tasks, daemon } = options;
  const { configuration, membership, dispatcher, commitments } = tasks;
  return {
    ...foundation,
    configuration,
    membership,
    dispatcher,
    commitments,
    charger: tasks.limits,
    runContext: tasks.engines.runs,
    active: daemon.active,
    limits: foundation.settings.limits,
    isDraining: daemon.isDraining,
    isReady: () => !daemon.isDraining() && configuration.isReady(),
  };
}

/** Counts what a listener turns away, and logs reloads of certificates. */
export function listenerNotes(
  { metrics, logger }: Pick<Foundation, "metrics" | "logger">,
  listener: "callers" | "operators" | "peers",
) {
  return {
    onRefusal(reason: string = "peer_unauthorized") {
      metrics.increment("listeners.refused", { listener, reason });
    },
    onReload(failure: unknown) {
      const fields = { listener };
      if (failure === undefined) {
        logger.info(fields, "The certificates were read again");
        return;
      }
      metrics.increment("listeners.reload_failures", { listener });
      const cause = String(failure);
      logger.warn(
        { ...fields, cause },
        "The certificates were not read again; write a pair that fits",
      );
    },
  };
}

/** Opens the listener for callers. */
export function openCallerListener(
  foundation: Foundation,
  options: { readonly tasks: DaemonTasks; readonly daemon: ServedDaemon },
): Promise<Listener> {
  const { settings } = foundation;
  return openListener(settings.listen.callers, {
    limits: settings.limits,
    handle: createCallerHandler(callerContext(foundation, options)),
    ...listenerNotes(foundation, "callers"),
  });
}

function statusSections(
  foundation: Foundation,
  options: { readonly tasks: DaemonTasks; readonly daemon: ServedDaemon },
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
    counters: () => foundation.metrics.counts(),
  };
}

/** Opens the listener for operators. */
export function openOperatorListener(
  foundation: Foundation,
  options: { readonly tasks: DaemonTasks; readonly daemon: ServedDaemon },
): Promise<Listener> {
  const { settings } = foundation;
  const { configuration, membership } = options.tasks;
  return openListener(settings.listen.operators, {
    limits: settings.limits,
    handle: createOperatorHandler({
      ...foundation,
      configuration,
      membership,
      streams: followersOf(options.tasks),
      keys: settings.operators.keys,
      changeTimeoutMs: CHANGE_TIMEOUT_MS,
      drainSelf: options.daemon.drain,
      holdDrain: () => options.daemon.active.hold(),
      orders: options.tasks.orders,
      engines: () => membership.serversOfRole("engine"),
      sections: statusSections(foundation, options),
    }),
    ...listenerNotes(foundation, "operators"),
  });
}
