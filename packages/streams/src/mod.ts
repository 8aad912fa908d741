/**
 * Parses engine streams, and keeps the caller's stream complete and in order
 * over several attempts.
 *
 * @module
 */

export { SseParser } from "./sse.ts";
export type { SseEvent, SseParserOptions } from "./sse.ts";
export { parseEngineMessage, parseUsage } from "./engine_message.ts";
export type {
  EngineChunk,
  EngineMessage,
  EngineUsage,
} from "./engine_message.ts";
export { createStreamState, StreamState } from "./state.ts";
export type {
  IgnoredChunks,
  StreamEffect,
  StreamEvent,
  StreamOptions,
} from "./events.ts";
