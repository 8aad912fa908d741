/**
 * Creates the followers of the platform's log streams.
 *
 * @module
 */

import type { LogStream } from "@endivebend/types";
import { DeferredFold } from "../log/deferred_fold.ts";
import { LogFollower } from "../log/follower.ts";
import type { PeerRecordSource } from "../log/log_client.ts";
import type { DaemonContext } from "./daemon_context.ts";

/** A followed stream; attach its fold before the follower starts. */
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

/** The follower and the fold of each stream. */
export type DaemonStreams = Readonly<Record<LogStream, DaemonStream>>;

/** Creates the followers; they read nothing before they are started. */
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
