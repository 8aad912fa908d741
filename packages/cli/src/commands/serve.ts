/**
 * `endivebend serve`.
 *
 * @module
 */

import { Command, Option } from "clipanion";
import { BaseCommand } from "../base_command.ts";
import { failCommand } from "../command_error.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";
import { readSettings } from "../files.ts";

/** `serve --settings FILE`. */
export class ServeCommand extends BaseCommand {
  static override paths = [["serve"]];
  static override usage = Command.Usage({
    category: "Daemon",
    description: "Run the daemon until it has been stopped",
    details: `
      SIGTERM and SIGINT stop it gracefully: the readiness check fails first,
      and what is running finishes.
    `,
    examples: [["Run the daemon", "$0 serve --settings endivebend.jsonc"]],
  });
  settings = Option.String("--settings", {
    required: true,
    description: "File of settings, JSON with comments (required)",
  });

  async perform(): Promise<ExitCode> {
    const settings = await readSettings(this.settings);
    // Loaded only here, so that the other commands start without the daemon.
    const { serveDaemon } = await import("@endivebend/router");
    try {
      await serveDaemon(settings);
    } catch (cause) {
      const reason = cause instanceof Error ? cause.message : String(cause);
      throw failCommand(`The daemon ended: ${reason}`, {
        exitCode: EXIT_CODES.refused,
        remedy:
          "Check that no other process uses the listeners' ports and that the TLS files can be read",
      });
    }
    return EXIT_CODES.ok;
  }
}
