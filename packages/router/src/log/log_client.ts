/**
 * Interfaces of a follower to the platform's log and to peers.
 *
 * @module
 */

import type { AppendAnswer, ReadAnswer } from "@endivebend/platform-client";
import type { LogRecord, LogStream } from "@endivebend/types";
import type { AppendRecord } from "../ports.ts";

export type { AppendAnswer, ReadAnswer };

/** Access to the log; reads throw when the platform does not answer. */
export interface LogClient {
  append(
    stream: LogStream,
    records: readonly AppendRecord[],
  ): Promise<AppendAnswer>;
  read(
    stream: LogStream,
    options: {
      readonly fromOffset: number;
      readonly waitMs: number;
      readonly limit: number;
    },
  ): Promise<ReadAnswer>;
}

/** Records that a peer has and this daemon lacks. */
export interface PeerRecords {
  readonly records: readonly LogRecord[];
  readonly nextOffset: number;
  readonly snapshot?: { readonly json: string; readonly offset: number };
}

/**
 * Fetches records from the peer that is furthest ahead; resolves with undefined
 * when no peer is ahead or none answers.
 */
export interface PeerRecordSource {
  fetch(
    stream: LogStream,
    fromOffset: number,
  ): Promise<PeerRecords | undefined>;
}
