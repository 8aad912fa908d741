/**
 * Settings and faults of the engine stand-in.
 *
 * @module
 */

import type { ListenOptions } from "../stand_in_server.ts";

/** Settings that can also be changed while the engine runs. */
export interface EngineTuning {
  maxBatch: number;
  /** Microseconds of prefill per prompt token that is not cached. */
  prefillUsPerToken: number;
  /** Milliseconds per decode step of a batch of one. */
  decodeMsPerToken: number;
  /** Growth of the decode step per further sequence, as a share. */
  decodeBatchGrowth: number;
  /** Milliseconds until a cache event can be read. */
  eventDelayMs: number;
  /** Every so many cache events one is lost; 0 loses none. */
  dropEventEvery: number;
  /** Age of the load report in milliseconds. */
  loadLagMs: number;
  /** Milliseconds that importing one block takes. */
  importMsPerBlock: number;
  /** Size of an exported block. */
  kvBytesPerBlock: number;
  /** Cache store that computed blocks are written to; none when empty. */
  storeAddress: string;
  /** Orders with a stale fencing token are refused 409. */
  checksFence: boolean;
}

/** Faults that `POST /control` and `control()` switch. */
export interface EngineFaults {
  /** New connections are refused; open ones go on. */
  refuse: boolean;
  /** Completion calls are refused 503 with `x-leaving: 1`. */
  drainingRefusal: boolean;
  /** So many chunks swap streams with one of another running stream. */
  crossAnswers: number;
  /** So many chunks are sent twice. */
  duplicateChunk: number;
  /** So many chunks are not sent. */
  dropChunk: number;
}

/** Settings of the engine stand-in. */
export interface EngineOptions extends ListenOptions, Partial<EngineTuning> {
  readonly model?: string;
  readonly weightsVersion?: string;
  /** Blocks that the prefix cache holds. */
  readonly cacheBlocks?: number;
  /** IP number and port of the platform, which weights are loaded from. */
  readonly platformAddress?: string;
  /** Calls whose headers `/record` keeps. */
  readonly recordedRequests?: number;
}

/** Defaults: no time passes, nothing lags. */
export const DEFAULT_TUNING: Readonly<EngineTuning> = {
  maxBatch: 16,
  prefillUsPerToken: 0,
  decodeMsPerToken: 0,
  decodeBatchGrowth: 0.02,
  eventDelayMs: 0,
  dropEventEvery: 0,
  loadLagMs: 0,
  importMsPerBlock: 0,
  kvBytesPerBlock: 1024,
  storeAddress: "",
  checksFence: true,
};

/** Picks the tuning from the options, with defaults. */
export function tuningOf(options: EngineOptions): EngineTuning {
  const tuning: Record<string, unknown> = { ...DEFAULT_TUNING };
  for (const name of Object.keys(DEFAULT_TUNING)) {
    const value = options[name as keyof EngineTuning];
    if (value !== undefined) tuning[name] = value;
  }
  return tuning as unknown as EngineTuning;
}
