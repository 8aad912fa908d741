/**
 * Exit codes of the command.
 *
 * @module
 */

/** What each exit code tells a script. */
export const EXIT_CODES = {
  ok: 0,
  /** The system refused; nothing changed. */
  refused: 1,
  /** Wrong usage, settings or template file; nothing was sent. */
  wrongUsage: 2,
  /** No daemon answered at the operator address; nothing changed. */
  unreachable: 3,
  /** The change may be in force; repeat the command with its record id. */
  outcomeUnknown: 4,
} as const;

/** A code of {@link EXIT_CODES}. */
export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES];
