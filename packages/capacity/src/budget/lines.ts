/**
 * The lines of a daemon's control budget, computed from measured slopes.
 *
 * @module
 */

import { engineLines } from "./engine_lines.ts";
import { followerLines } from "./follower_lines.ts";
import { holderLines, requestLines } from "./request_lines.ts";
import type { Line, Slopes } from "./slopes.ts";

/** All lines of the budget, for the code as it is. */
export function presentLines(slopes: Slopes): readonly Line[] {
  return [
    ...engineLines(slopes),
    ...followerLines(slopes),
    ...holderLines(slopes),
    ...requestLines(slopes),
  ];
}
