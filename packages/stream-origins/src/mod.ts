/**
 * Which software version began a stream that a caller takes up again.
 *
 * @module
 */

export { OriginLogState } from "./origin_log_state.ts";
export type { ReadRecord, ServiceState } from "./origin_log_state.ts";
export { decodeOriginRecord, encodeOriginRecord } from "./origin_record.ts";
export type { OriginRecord, ServiceOrigins } from "./origin_record.ts";
export { OriginTable } from "./origin_table.ts";
export type { KnownOrigin } from "./origin_table.ts";
export { streamKey } from "./stream_key.ts";
export type { StreamKey } from "./stream_key.ts";
export { VersionWatch } from "./version_watch.ts";
