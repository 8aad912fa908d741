/**
 * Serves log records to peers that lack them.
 *
 * @module
 */

import type { FetchRecordsRequest, PeerHandlers } from "@endivebend/peers";
import type { LogFollower } from "../log/follower.ts";
import type { StreamFold } from "../ports.ts";

const MAX_RECORDS_PER_ANSWER = 1000;

/** A follower with the fold to which it applies records. */
export interface ServedStream {
  readonly follower: LogFollower;
  readonly fold: StreamFold;
}

function answerFromStream(served: ServedStream, request: FetchRecordsRequest) {
  const { follower, fold } = served;
  const nextOffset = BigInt(follower.nextOffset());
  const limit = Math.min(request.limit, MAX_RECORDS_PER_ANSWER);
  const records = follower.recordsFrom(Number(request.fromOffset), limit);
  if (records !== undefined) {
    const encoded = records.map((record) => ({
      offset: BigInt(record.offset),
      appendedAtMs: BigInt(Math.round(record.appendedAtMs)),
      valueJson: JSON.stringify(record.value),
    }));
    return { records: encoded, nextOffset };
  }
  const snapshot = fold.snapshot?.();
  if (snapshot === undefined) return { records: [], nextOffset };
  const snapshotOffset = BigInt(snapshot.offset);
  return {
    records: [],
    nextOffset,
    snapshotJson: snapshot.json,
    snapshotOffset,
  };
}

/** Creates the handler of `FetchRecords` for the followed streams. */
export function createRecordHandlers(
  streams: ReadonlyMap<string, ServedStream>,
): Pick<PeerHandlers, "fetchRecords"> {
  return {
    fetchRecords(request) {
      const served = streams.get(request.stream);
      if (served === undefined) return { records: [], nextOffset: -1n };
      return answerFromStream(served, request);
    },
  };
}
