/**
 * Collects bytes that come in chunks, within limits.
 *
 * @module
 */

export {
  canReclaim,
  MemoryReclaimer,
  noteDiscarded,
} from "./memory_reclaimer.ts";
export type { MemoryCollector } from "./memory_reclaimer.ts";
export { ByteCollector } from "./byte_collector.ts";
export type { ByteCollectorOptions } from "./byte_collector.ts";
export { ChunkBatch } from "./chunk_batch.ts";
export { MemoryBudget } from "./memory_budget.ts";
export type { MemoryUse } from "./memory_budget.ts";
export { holdReading, releaseReading } from "./read_hold.ts";
export type { HoldReason } from "./read_hold.ts";
export { paceReading } from "./read_pace.ts";
export type { SocketMessage } from "./read_pace.ts";
