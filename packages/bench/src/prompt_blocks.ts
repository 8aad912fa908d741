/**
 * The text and the block hashes of a trace's prompts.
 *
 * @module
 */

import { brandId, BYTES_PER_TOKEN } from "@endivebend/types";
import type { BlockHash, ModelName, TeamId } from "@endivebend/types";
import { hashBlocks } from "@endivebend/routing";
import { WEIGHTS } from "./event_feed.ts";
import type { PromptLevel, RequestEvent } from "./trace.ts";

const MODEL = brandId<ModelName>("bench-model");

/**
 * Block hashes of a request, by the product's own code over a text that is
 * made from its levels.
 *
 * @example
 * ```ts
 * await loadHasher();
 * const blocks = blocksOf(request);
 * ```
 */
export function blocksOf(request: RequestEvent): BlockHash[] {
  const text = request.levels.map(levelText).join("");
  return hashBlocks(text, {
    team: brandId<TeamId>(request.team),
    model: MODEL,
    weightsVersion: WEIGHTS,
  });
}

function levelText(level: PromptLevel): string {
  const length = level.tokens * BYTES_PER_TOKEN;
  const pattern = `${level.id} `;
  return pattern.repeat(Math.ceil(length / pattern.length)).slice(0, length);
}
