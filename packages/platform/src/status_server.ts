/**
 * Answers the load balancer's readiness probes and serves counters and
 * histograms.
 *
 * @module
 */

import { createServer } from "node:http";
import type { StatusServer } from "@endivebend/front";
import type { TextMetrics } from "@endivebend/telemetry";
import { connectionBounds, limitConnections } from "./connection_limit.ts";
import type { PlatformSettings } from "./settings.ts";
import { PATHS } from "./wire_names.ts";

/** Probes and collectors send their heads at once. */
const HEADERS_TIMEOUT_MS = 3_000;

/** Starts one HTTP server for readiness and one for metrics. */
export function serveStatus(
  settings: Pick<PlatformSettings, "readiness" | "metrics" | "processLimits">,
  sources: { isReady(): boolean; readonly metrics: TextMetrics },
): StatusServer {
  const readiness = createServer((request, response) => {
    const isReadinessPath = request.url === PATHS.ready;
    response.writeHead(isReadinessPath && sources.isReady() ? 200 : 503).end();
  }).listen(settings.readiness.port, settings.readiness.host);
  const metrics = createServer((_request, response) => {
    response.end(sources.metrics.text());
  }).listen(settings.metrics.port, settings.metrics.host);
  const bounds = connectionBounds("status", settings.processLimits);
  for (const server of [readiness, metrics]) {
    server.headersTimeout = HEADERS_TIMEOUT_MS;
    limitConnections(
      server,
      bounds,
      (reason) => sources.metrics.count("closed_connections", { reason }),
    );
  }
  return {
    close() {
      readiness.close();
      metrics.close();
    },
  };
}
