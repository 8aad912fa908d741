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
 * Segments of a prompt that are told apart. Each is looked up for each server,
 * and a header of 16 KiB has thousands; prompts of users have a few.
 */
const MAX_SEGMENTS = 256;

/**
 * Parses `ID:TOKENS` entries, separated by commas. Engines get the header as the
 * caller sent it; here long ids are replaced by digests, and the last of more
 * than 256 segments has the tokens of those before it that are left out.
 *
 * @example
 * ```ts
 * const [rulebook] = parsePrompt("5c1e07a2:800,91bd3f06:410");
 * ```
 */
export function parsePrompt(header: string | undefined): PromptSegment[] {
  if (header === undefined || header === "") return [];
  const entries = header.split(",");
  const shared = entries.slice(0, Math.min(MAX_SEGMENTS, entries.length) - 1);
  const rest = entries.slice(shared.length);
  const last = parseSegment(rest.at(-1)!);
  const tokens = rest.reduce((sum, entry) => sum + tokensOf(entry), 0);
  return [...shared.map(parseSegment), { ...last, tokens }];
}

function parseSegment(entry: string): PromptSegment {
  const [id = ""] = entry.trim().split(":");
  return {
    id: brandId<PromptSegmentId>(boundedName(id)),
    tokens: tokensOf(entry),
  };
}

function tokensOf(entry: string): number {
  const [, tokens = "0"] = entry.trim().split(":");
  return TOKEN_COUNT.test(tokens) ? Number(tokens) : 0;
}
