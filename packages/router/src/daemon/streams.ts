/**
 * The followed streams of a daemon.
 *
 * @module
 */

import type { LogStream } from "@endivebend/types";
import { DeferredFold } from "../log/deferred_fold.ts";
import { LogFollower } from "../log/follower.ts";
import type { PeerRecordSource } from "../log/log_client.ts";
import type { DaemonContext } from "./foundation.ts";

/** A stream whose fold is attached before it starts. */
export interface DaemonStream {
  readonly fold: DeferredFold;
  readonly follower: LogFollower;
}

const STREAMS: readonly LogStream[] = [
  "configuration",
  "rights",
  "commitments",
  "orders",
];

/** One follower per stream. */
export type DaemonStreams = Readonly<Record<LogStream, DaemonStream>>;

/** Makes the followers; they read nothing before they are started. */
export function createStreams(
  context: DaemonContext,
  peers: PeerRecordSource,
): DaemonStreams {
  const { clock, scheduler, logger, platform, settings } = context;
  const { pollWaitMs } = settings.platform;
  const entries = STREAMS.map((stream) => {
    const fold = new DeferredFold();
    const follower = new LogFollower({
      stream,
      fold,
      log: platform,
      peers,
      clock,
      scheduler,
      logger,
      pollWaitMs,
    });
    return [stream, { fold, follower }] as const;
  });
  return Object.fromEntries(entries) as unknown as DaemonStreams;
}
