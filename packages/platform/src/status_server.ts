/**
 * Answers the load balancer's readiness probes and serves counters and
 * histograms.
 *
 * @module
 */

import { createServer } from "node:http";
import type { StatusServer } from "@endivebend/front";
import type { TextMetrics } from "@endivebend/telemetry";
import type { PlatformSettings } from "./settings.ts";
import { PATHS } from "./wire_names.ts";

/** Starts one HTTP server for readiness and one for metrics. */
export function serveStatus(
  settings: Pick<PlatformSettings, "readiness" | "metrics">,
  sources: { isReady(): boolean; readonly metrics: TextMetrics },
): StatusServer {
  const readiness = createServer((request, response) => {
    const isReadinessPath = request.url === PATHS.ready;
    response.writeHead(isReadinessPath && sources.isReady() ? 200 : 503).end();
  }).listen(settings.readiness.port, settings.readiness.host);
  const metrics = createServer((_request, response) => {
    response.end(sources.metrics.text());
  }).listen(settings.metrics.port, settings.metrics.host);
  return {
    close() {
      readiness.close();
      metrics.close();
    },
  };
}
