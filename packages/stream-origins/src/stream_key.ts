/**
 * Shortens what names a stream, for memory and records.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type {
  Branded,
  RequestId,
  ServiceName,
  TeamId,
} from "@endivebend/types";

/** A digest of the service, the team and the request that began the stream. */
export type StreamKey = Branded<string, "StreamKey">;

/** Callers choose request ids, so 64 bits make chance collisions rare. */
const KEY_BYTES = 8;

/**
 * Returns the key of the stream that the request began. Teams don't share keys,
 * so none can name the streams of another.
 *
 * @example
 * ```ts
 * const key = streamKey({ service, team: team?.id, requestId });
 * ```
 */
export function streamKey(stream: {
  readonly service: ServiceName;
  readonly team: TeamId | undefined;
  readonly requestId: RequestId;
}): StreamKey {
  const { service, team = "", requestId } = stream;
  return createHash("sha256")
    .update(JSON.stringify([service, team, requestId]))
    .digest()
    .subarray(0, KEY_BYTES)
    .toString("base64url") as StreamKey;
}
