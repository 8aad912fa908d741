/**
 * Decodes the header that lists the segments of a prompt.
 *
 * @module
 */

import type { PromptSegment, PromptSegmentId } from "@endivebend/request-path";
import { brandId } from "@endivebend/types";
import { boundedName } from "./bounded_names.ts";

/** Engines hold some 100,000 tokens; counts of more digits are none. */
const TOKEN_COUNT = /^\s*\d{1,9}(?:\.\d*)?\s*$/;

/**
 * Parses `ID:TOKENS` entries, separated by commas. Engines get the header as the
 * caller sent it; here long ids are replaced by digests.
 *
 * @example
 * ```ts
 * const [rulebook] = parsePrompt("5c1e07a2:800,91bd3f06:410");
 * ```
 */
export function parsePrompt(header: string | undefined): PromptSegment[] {
  if (header === undefined || header === "") return [];
  return header.split(",").map((segment) => {
    const [id = "", tokens = "0"] = segment.trim().split(":");
    return {
      id: brandId<PromptSegmentId>(boundedName(id)),
      tokens: TOKEN_COUNT.test(tokens) ? Number(tokens) : 0,
    };
  });
}
