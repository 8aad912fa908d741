/**
 * `endivebend settings`.
 *
 * @module
 */

import { Command, Option } from "clipanion";
import { SETTINGS_EXAMPLE } from "@endivebend/settings";
import { BaseCommand } from "../base_command.ts";
import { readSettings } from "../files.ts";

const category = "Daemon";

/** `settings check FILE`. */
export class SettingsCheckCommand extends BaseCommand {
  static override paths = [["settings", "check"]];
  static override usage = Command.Usage({
    category,
    description: "Check a settings file and report every fault",
    examples: [["Check a file", "$0 settings check endivebend.jsonc"]],
  });
  file = Option.String({ required: true });

  async perform() {
    const { vmId } = await readSettings(this.file);
    const text = `${this.file} is valid; it is for VM ${vmId}\n`;
    return this.print({ valid: true, vmId }, text);
  }
}

/** `settings example`. */
export class SettingsExampleCommand extends BaseCommand {
  static override paths = [["settings", "example"]];
  static override usage = Command.Usage({
    category,
    description: "Write a commented example of a settings file",
    examples: [[
      "Start from the example",
      "$0 settings example > endivebend.jsonc",
    ]],
  });

  perform() {
    const result = { example: SETTINGS_EXAMPLE };
    return Promise.resolve(this.print(result, SETTINGS_EXAMPLE));
  }
}
