/**
 * Creates the tasks that send model requests to engines.
 *
 * @module
 */

import { RetryBudget } from "@endivebend/routing";
import { EngineConnections } from "../engines/attempt_client.ts";
import { EngineDirectory } from "../engines/engine_directory.ts";
import { EngineSelector } from "../engines/engine_selector.ts";
import type { RunContext } from "../engines/run_context.ts";
import { PrefixTask } from "../engines/prefix_task.ts";
import { SlotClient } from "../engines/slot_client.ts";
import { SlotsTask } from "../engines/slots_task.ts";
import { WatcherTask } from "../engines/watcher_task.ts";
import type { MembershipTask } from "../membership/membership_task.ts";
import type { DaemonContext } from "./daemon_context.ts";

/** The tasks of one daemon that serve model requests. */
export interface EngineTasks {
  readonly connections: EngineConnections;
  readonly directory: EngineDirectory;
  readonly prefixes: PrefixTask;
  readonly slots: SlotsTask;
  readonly watcher: WatcherTask;
  readonly runContext: RunContext;
}

/** Creates the tasks without starting the watcher. */
export function createEngineTasks(
  context: DaemonContext,
  options: {
    readonly membership: MembershipTask;
    readonly directory: EngineDirectory;
  },
): EngineTasks {
  const { membership, directory } = options;
  const { settings } = context;
  const entryVms = () => membership.entryVms();
  const sharedOptions = { ...context, membership, directory, entryVms };
  const connections = new EngineConnections();
  const prefixes = new PrefixTask(sharedOptions);
  const slots = new SlotsTask({
    ...context,
    takesNewWork: (engine) =>
      membership.backendServer(engine)?.takesNewWork ?? false,
  });
  const watcher = new WatcherTask({ ...sharedOptions, prefixes, connections });
  directory.setLocalQueueLookup((engine) =>
    watcher.isWatching(engine) ? slots.queuedPrefillTokens(engine) : undefined
  );
  const runContext: RunContext = {
    ...context,
    selector: new EngineSelector({
      ...sharedOptions,
      prefixes,
      saltSecret: settings.peers.sharedKey,
    }),
    slots: new SlotClient({
      ...sharedOptions,
      slots,
      silenceMs: (vmId) => membership.silenceMs(vmId),
    }),
    connections,
    directory,
    membershipRecorder: membership,
    retryBudget: new RetryBudget(),
    progressTimeoutMs: settings.limits.streamProgressMs,
  };
  return { connections, directory, prefixes, slots, watcher, runContext };
}
