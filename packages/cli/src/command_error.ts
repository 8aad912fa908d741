/**
 * Errors that end a command.
 *
 * @module
 */

import { EndivebendError } from "@endivebend/errors";
import type { Fault } from "@endivebend/settings";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";

interface CommandErrorProps {
  readonly exitCode: ExitCode;
  readonly recordId: string | undefined;
  /** Faults of a settings or template file. */
  readonly faults: readonly Fault[] | undefined;
}

/** An error with the exit code that a script sees. */
export const CommandError = EndivebendError.subclass("CommandError", {
  props: {} as CommandErrorProps,
});

/** An instance of {@link CommandError}. */
export type CommandError = InstanceType<typeof CommandError>;

/** What an error carries beside its message. */
export interface CommandErrorOptions {
  readonly exitCode: ExitCode;
  readonly remedy: string;
  readonly field?: string;
  readonly recordId?: string;
  readonly faults?: readonly Fault[];
}

/** Makes an error; throw it. */
export function failCommand(
  message: string,
  options: CommandErrorOptions,
): CommandError {
  const { exitCode, remedy, field, recordId, faults } = options;
  const props = { exitCode, remedy, field, recordId, faults };
  return new CommandError(message, { props }) as CommandError;
}

/** Makes an error about wrong usage; throw it. */
export function failUsage(message: string, remedy: string): CommandError {
  return failCommand(message, { exitCode: EXIT_CODES.wrongUsage, remedy });
}

/** Tells whether a caught value is a {@link CommandError}. */
export function isCommandError(value: unknown): value is CommandError {
  return value instanceof CommandError;
}
