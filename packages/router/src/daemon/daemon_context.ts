/**
 * The dependencies that all tasks of a daemon share: settings, identity, time,
 * telemetry and clients.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { createPeerClients, type PeerClients } from "@endivebend/peers";
import {
  createPlatformClient,
  type PlatformClient,
} from "@endivebend/platform-client";
import type { Settings } from "@endivebend/settings";
import {
  createLogger,
  createMetrics,
  createTracing,
  type MetricsSink,
  type StructuredLogger,
  type Tracing,
} from "@endivebend/telemetry";
import { brandId, type IncarnationId } from "@endivebend/types";
import { ExplainLog } from "../explain.ts";
import { readPeerTlsMaterial } from "../http/tls.ts";
import type { Clock, Identity, Scheduler } from "../ports.ts";
import { createClock, createScheduler } from "@endivebend/clock";

/** The dependencies that the tasks of one daemon share. */
export interface DaemonContext {
  readonly settings: Settings;
  readonly identity: Identity;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly logger: StructuredLogger;
  readonly metrics: MetricsSink;
  readonly tracing: Tracing;
  readonly explainer: ExplainLog;
  readonly platform: PlatformClient;
  readonly peers: PeerClients;
}

function peerTlsOptions(settings: Settings) {
  const { tls } = settings.listen.peers;
  return tls === undefined ? {} : { tls: readPeerTlsMaterial(tls) };
}

function createTelemetry(settings: Settings) {
  const { vmId, failureDomain, metrics, traces } = settings;
  const fields = { vmId, failureDomain };
  return {
    logger: createLogger({ level: settings.log.level, fields }),
    metrics: createMetrics({
      address: metrics?.address,
      prefix: `${metrics?.prefix ?? "endivebend"}.`,
      tags: { vm: vmId, domain: failureDomain },
    }),
    tracing: createTracing({
      otlpAddress: traces?.otlpAddress,
      sampleRatio: traces?.sampleRatio ?? 0,
      attributes: { "service.instance.id": vmId },
    }),
  };
}

/** Creates the shared dependencies; the clients send nothing by themselves. */
export function createDaemonContext(settings: Settings): DaemonContext {
  const clock = createClock();
  const { peers, platform, vmId, failureDomain } = settings;
  return {
    settings,
    identity: {
      vmId,
      failureDomain,
      incarnation: brandId<IncarnationId>(randomUUID()),
    },
    clock,
    scheduler: createScheduler(),
    ...createTelemetry(settings),
    explainer: new ExplainLog(clock),
    platform: createPlatformClient({
      baseUrl: `http://${platform.address}`,
      timeoutMs: platform.timeoutMs,
    }),
    peers: createPeerClients({
      vmId,
      sharedKey: peers.sharedKey,
      timeoutMs: peers.timeoutMs,
      ...peerTlsOptions(settings),
    }),
  };
}
