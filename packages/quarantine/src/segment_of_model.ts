/**
 * The name under which a prompt segment is suspected and quarantined.
 *
 * @module
 */

import type { Branded, ModelName } from "@endivebend/types";

/** A prompt segment as it is read by the engines of one model. */
export type SegmentOfModel = Branded<string, "SegmentOfModel">;

/**
 * Names a segment of a model's prompts.
 *
 * @example
 * ```ts
 * const key = segmentOfModel(work.model, work.prompt[0].id);
 * ```
 */
export function segmentOfModel(
  model: ModelName,
  segmentId: string,
): SegmentOfModel {
  return `${model}/${segmentId}` as SegmentOfModel;
}
