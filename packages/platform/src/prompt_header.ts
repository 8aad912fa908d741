/**
 * Decodes the header that lists the segments of a prompt.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { PromptSegment, PromptSegmentId } from "@endivebend/request-path";
import { brandId } from "@endivebend/types";

/**
 * Callers choose the names of segments and models. Daemons tell them to each
 * other, in messages that are refused whole for a name of over 256 bytes with
 * its scope, and store them under keys of at most 255 bytes.
 */
const MAX_NAME_LENGTH = 96;

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

/** The name itself, or its digest when it is long. */
export function boundedName(name: string): string {
  if (name.length <= MAX_NAME_LENGTH) return name;
  return createHash("sha256").update(name).digest("hex");
}
