/**
 * Puts the product's daemon on the users' platform.
 *
 * @module
 */

import { createClock, createScheduler, steadyMs } from "@endivebend/clock";
import { FrontDaemon } from "@endivebend/front";
import { createDecisionLog, TextMetrics } from "@endivebend/telemetry";
import { createRolloutLeaseLog } from "./duty_log.ts";
import { createRolloutOrderClient } from "./engine_orders.ts";
import { IngressListener } from "./ingress_listener.ts";
import { createCacheEventClient } from "./memory_client.ts";
import { createServerClient } from "./server_client.ts";
import type { PlatformSettings } from "./settings.ts";
import { serveStatus } from "./status_server.ts";
import { StoreClient } from "./store_client.ts";
import { createRecordStore } from "./store_records.ts";

/**
 * Makes the daemon; it serves once it is started.
 *
 * @example
 * ```ts
 * createDaemon(readSettings()).start();
 * ```
 */
export function createDaemon(settings: PlatformSettings): FrontDaemon {
  const clock = createClock();
  const metrics = new TextMetrics();
  const log = createDecisionLog({
    fields: { vm: settings.vm, domain: settings.failureDomain },
    nowMs: () => steadyMs(clock),
  });
  const store = new StoreClient(settings.storeAddress);
  return new FrontDaemon(settings, {
    clock,
    scheduler: createScheduler(),
    log,
    metrics,
    store: createRecordStore(store),
    rolloutLeaseLog: createRolloutLeaseLog(store),
    engineOrders: createRolloutOrderClient(),
    serverClient: createServerClient(clock),
    cacheEventClient: createCacheEventClient(),
    listen: (context) =>
      new IngressListener({
        ...context,
        endpoint: settings.callers,
        clock,
        log,
      }),
    serveStatus: (isReady) => serveStatus(settings, { isReady, metrics }),
  });
}
