/**
 * Encodes engine loads for peers and decodes theirs.
 *
 * @module
 */

import { create } from "@bufbuild/protobuf";
import {
  type EngineLoad as EngineLoadMessage,
  EngineLoadSchema,
} from "@endivebend/peers";
import {
  type BackendServerId,
  brandId,
  type EngineLoad,
  type WeightsVersion,
} from "@endivebend/types";
import type { EngineDirectory } from "../engines/engine_directory.ts";
import type { Clock } from "../ports.ts";

/** A load with its age in milliseconds when it was received. */
export interface AgedLoad {
  readonly load: EngineLoad;
  readonly ageMs: number;
}

/** Encodes the latest load of an engine; undefined when none is known. */
export function encodeEngineLoad(
  id: BackendServerId,
  sources: { readonly directory: EngineDirectory; readonly clock: Clock },
): EngineLoadMessage | undefined {
  const known = sources.directory.load(id);
  if (known === undefined) return undefined;
  const { load, asOfElapsedMs } = known;
  const ageMs = sources.clock.elapsedMs() - asOfElapsedMs;
  return create(EngineLoadSchema, {
    backendServerId: load.backendServerId,
    incarnation: load.incarnation,
    weightsVersion: load.weightsVersion,
    runningRequests: load.runningRequests,
    queuedRequests: load.queuedRequests,
    queuedTokens: Math.ceil(load.queuedTokens),
    freeBlocks: load.freeBlocks,
    ageMs: Math.max(0, Math.round(ageMs)),
  });
}

/** Decodes a load that a peer sent. */
export function decodeEngineLoad(message: EngineLoadMessage): AgedLoad {
  return {
    ageMs: message.ageMs,
    load: {
      backendServerId: brandId<BackendServerId>(message.backendServerId),
      incarnation: message.incarnation,
      weightsVersion: brandId<WeightsVersion>(message.weightsVersion),
      runningRequests: message.runningRequests,
      queuedRequests: message.queuedRequests,
      queuedTokens: message.queuedTokens,
      freeBlocks: message.freeBlocks,
      asOfMs: 0,
    },
  };
}
