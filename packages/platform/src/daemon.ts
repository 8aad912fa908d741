/**
 * Wires the front daemon to the platform's store, engines and sockets.
 *
 * @module
 */

import { canReclaim, MemoryBudget } from "@endivebend/byte-buffers";
import { createClock, createScheduler, steadyMs } from "@endivebend/clock";
import { createUdpTransport, RecordExchange } from "@endivebend/fleet";
import { FrontDaemon } from "@endivebend/front";
import { createDecisionLog, TextMetrics } from "@endivebend/telemetry";
import { connectionBounds, limitConnections } from "./connection_limit.ts";
import { createRolloutLeaseLog } from "./rollout_lease_log.ts";
import { createRolloutOrderClient } from "./rollout_order_client.ts";
import { createRolloutStatusLog } from "./rollout_status_log.ts";
import { serveForwarding } from "./forward_listener.ts";
import { IngressListener } from "./ingress_listener.ts";
import { createCacheEventClient } from "./cache_event_client.ts";
import { createServerClient } from "./server_client.ts";
import type { PlatformSettings } from "./settings.ts";
import { serveStatus } from "./status_server.ts";
import { StoreClient } from "./store_client.ts";
import { createRecordStore } from "./store_records.ts";
import { createStreamOriginLog } from "./stream_origin_log.ts";
import { UnfinishedBodies } from "./unfinished_bodies.ts";
import { UnreadAnswers } from "./unread_answers.ts";

/**
 * Creates the daemon with its adapters and opens its listeners. It gets ready
 * after `start` only.
 *
 * @example
 * ```ts
 * createDaemon(readSettings()).start();
 * ```
 */
export function createDaemon(settings: PlatformSettings): FrontDaemon {
  const clock = createClock();
  const memory = new MemoryBudget(settings.messageBytes);
  const unread = new UnreadAnswers(memory);
  const unfinished = new UnfinishedBodies(clock);
  const metrics = new TextMetrics();
  const { processLimits } = settings;
  const log = createDecisionLog({
    fields: { vm: settings.vm, domain: settings.failureDomain },
    nowMs: () => steadyMs(clock),
  });
  if (!canReclaim) {
    log.stateChange("memory_not_reclaimed", {
      reason: "Node.js was started without --expose-gc; add it to the command",
    });
  }
  const store = new StoreClient(settings.storeAddress);
  return new FrontDaemon(settings, {
    clock,
    scheduler: createScheduler(),
    log,
    metrics,
    memory,
    store: createRecordStore(store),
    rolloutLeaseLog: createRolloutLeaseLog(store),
    rolloutStatusLog: createRolloutStatusLog(store),
    streamOriginLog: createStreamOriginLog(store, settings.storeRates),
    engineOrders: createRolloutOrderClient(memory),
    serverClient: createServerClient(clock, { ip: settings.ip }),
    cacheEventClient: createCacheEventClient(memory),
    createGossipTransport: createUdpTransport,
    createRecordExchange: (options) =>
      new RecordExchange({
        ...options,
        prepareServer: (server) =>
          limitConnections(
            server,
            connectionBounds("records", processLimits),
            (reason) => metrics.count("closed_connections", { reason }),
          ),
      }),
    listen: (context) =>
      new IngressListener({
        ...context,
        endpoint: settings.callers,
        clock,
        log,
        memory,
        metrics,
        unread,
        unfinished,
        processLimits,
      }),
    listenForPeers: (context) =>
      serveForwarding({
        ...context,
        clock,
        memory,
        metrics,
        unread,
        unfinished,
        processLimits,
      }),
    serveStatus: (sources) =>
      serveStatus(settings, {
        ...sources,
        metrics,
        nowMs: () => steadyMs(clock),
        failed: (reason) => log.decision("explain_failed", { reason }),
      }),
  });
}
