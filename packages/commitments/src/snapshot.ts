/**
 * Snapshots of the state, for a VM that starts while the log does not answer.
 *
 * @module
 */

import { z } from "zod";
import { outcomeBytes } from "./answers.ts";
import { entrySchema } from "./records.ts";
import { type CommitmentSettings, CommitmentState } from "./state.ts";

const snapshotSchema = z.object({
  entries: z.array(entrySchema),
  logTimeMs: z.number(),
  horizonMs: z.number().optional(),
});

/**
 * Writes the state as JSON. It holds the newest answers up to `maxAnswersBytes`;
 * for older ones, only the status with which the call ran.
 *
 * @example
 * ```ts
 * const json = writeSnapshot(state, { maxAnswersBytes: 1 << 20 });
 * ```
 */
export function writeSnapshot(
  state: CommitmentState,
  options: { readonly maxAnswersBytes: number },
): string {
  let bytes = 0;
  const entries = [...state.entries()].reverse().map((entry) => {
    bytes += outcomeBytes(entry.outcome);
    if (entry.outcome?.result !== "answered") return entry;
    if (bytes <= options.maxAnswersBytes) return entry;
    const { status } = entry.outcome;
    return { ...entry, outcome: { result: "answer_not_kept", status } };
  });
  const { logTimeMs, horizonMs } = state;
  return JSON.stringify({ entries: entries.reverse(), logTimeMs, horizonMs });
}

/**
 * Reads a state that {@link writeSnapshot} wrote. Throws a `SyntaxError` or a
 * `ZodError` when it is malformed.
 *
 * @example
 * ```ts
 * const state = readSnapshot(json, settings);
 * ```
 */
export function readSnapshot(
  json: string,
  settings: CommitmentSettings,
): CommitmentState {
  const snapshot = snapshotSchema.parse(JSON.parse(json));
  const state = new CommitmentState(settings);
  state.mergeSnapshot({ horizonMs: undefined, ...snapshot });
  return state;
}
