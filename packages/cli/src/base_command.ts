/**
 * The base of all commands.
 *
 * @module
 */

import { Command, Option } from "clipanion";
import { isEndivebendError } from "@endivebend/errors";
import { isCommandError } from "./command_error.ts";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import { formatError, formatErrorJson } from "./output.ts";

function exitCodeOf(caught: unknown): ExitCode {
  if (isCommandError(caught)) return caught.exitCode;
  if (isEndivebendError(caught) && caught.code === "invalid_settings") {
    return EXIT_CODES.wrongUsage;
  }
  return EXIT_CODES.refused;
}

/** A command with `--json`, whose errors become exit codes. */
export abstract class BaseCommand extends Command {
  json = Option.Boolean("--json", false, {
    description: "Write the result as JSON",
  });

  /** Does the work; throws a `CommandError` to end with another code than 0. */
  abstract perform(): Promise<ExitCode>;

  async execute(): Promise<ExitCode> {
    try {
      return await this.perform();
    } catch (caught) {
      const exitCode = exitCodeOf(caught);
      const text = this.json
        ? formatErrorJson(caught, exitCode)
        : formatError(caught);
      this.context.stderr.write(text);
      return exitCode;
    }
  }

  /** Writes the value with `--json`, else the text. */
  protected print(value: unknown, text: string): ExitCode {
    const json = `${JSON.stringify(value)}\n`;
    this.context.stdout.write(this.json ? json : text);
    return EXIT_CODES.ok;
  }
}
