/**
 * Orders records of one key by what they say, for the time after a restore of
 * the store, when their positions say nothing of it.
 *
 * @module
 */

import type { ContentOrder, KeyedRecord } from "@endivebend/fleet";
import type { ListedServer } from "@endivebend/request-path";
import type { OperatorRecord, RecordStore } from "./ports.ts";

/** Orders configurations by revision and named weights by version. */
export function operatorRecordOrder(
  store: Pick<RecordStore, "readOperatorRecord">,
): ContentOrder {
  return (record, other) =>
    versionOf(store.readOperatorRecord(record)) <
      versionOf(store.readOperatorRecord(other));
}

function versionOf(record: OperatorRecord): number {
  if (record.kind === "configuration") return record.configuration.revision;
  return record.kind === "weights" ? Number(record.weights) : 0;
}

/** Orders entries of a backend server by its life and its reports. */
export function serverRecordOrder(
  store: Pick<RecordStore, "readServer">,
): ContentOrder {
  return (record: KeyedRecord, other: KeyedRecord) => {
    const server = store.readServer(record);
    const otherServer = store.readServer(other);
    return server !== undefined && otherServer !== undefined &&
      isEarlierReport(server, otherServer);
  };
}

/**
 * Whether a report was made before another one of the same server id.
 *
 * @example
 * ```ts
 * if (isEarlierReport(copied, known)) return known;
 * ```
 */
export function isEarlierReport(
  server: ListedServer,
  other: ListedServer,
): boolean {
  if (server.startedAtMs !== other.startedAtMs) {
    return server.startedAtMs < other.startedAtMs;
  }
  // A process that leaves doesn't come back.
  if (server.isLeaving !== other.isLeaving) return other.isLeaving;
  return server.reportCount < other.reportCount;
}
