/**
 * Puts the commands together.
 *
 * @module
 */

import { type BaseContext, Builtins, Cli, type CommandClass } from "clipanion";
import { EngineListCommand, EngineOrderCommand } from "./commands/engines.ts";
import {
  KeyGrantCommand,
  KeyListCommand,
  KeyWithdrawCommand,
} from "./commands/keys.ts";
import { ExplainRouteCommand } from "./commands/explain_route.ts";
import { ExplainCommand, StatusCommand } from "./commands/reports.ts";
import { ServeCommand } from "./commands/serve.ts";
import {
  SettingsCheckCommand,
  SettingsExampleCommand,
} from "./commands/settings.ts";
import {
  StandInCacheStoreCommand,
  StandInEngineCommand,
  StandInPlatformCommand,
  StandInServiceCommand,
} from "./commands/stand_in.ts";
import {
  TeamCreateCommand,
  TeamListCommand,
  TeamRemoveCommand,
  TeamShowCommand,
} from "./commands/teams.ts";
import {
  TemplateAmendCommand,
  TemplateListCommand,
  TemplatePublishCommand,
  TemplateShowCommand,
} from "./commands/templates.ts";
import { VmDrainCommand, VmListCommand } from "./commands/vms.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import { BINARY_NAME, findCommand, findHelp, formatUnknown } from "./help.ts";

const COMMANDS: readonly CommandClass[] = [
  ServeCommand,
  SettingsCheckCommand,
  SettingsExampleCommand,
  TemplatePublishCommand,
  TemplateAmendCommand,
  TemplateListCommand,
  TemplateShowCommand,
  TeamCreateCommand,
  TeamRemoveCommand,
  TeamListCommand,
  TeamShowCommand,
  KeyGrantCommand,
  KeyWithdrawCommand,
  KeyListCommand,
  VmListCommand,
  VmDrainCommand,
  EngineListCommand,
  EngineOrderCommand,
  StatusCommand,
  ExplainCommand,
  ExplainRouteCommand,
  StandInPlatformCommand,
  StandInEngineCommand,
  StandInCacheStoreCommand,
  StandInServiceCommand,
];

function createCli(): Cli {
  const cli = new Cli({
    binaryLabel: BINARY_NAME,
    binaryName: BINARY_NAME,
    binaryVersion: "0.1.0",
    enableColors: false,
  });
  for (const command of COMMANDS) cli.register(command);
  cli.register(Builtins.VersionCommand);
  return cli;
}

function describeCommand(cli: Cli, command: CommandClass): string {
  const usage = cli.usage(command, { detailed: true, colored: false });
  // The library writes the value of an option as "#0".
  return usage.replaceAll(/#0 {3}/g, "VALUE");
}

function findCommandHelp(
  cli: Cli,
  input: readonly string[],
): string | undefined {
  const asksForHelp = input.includes("--help") || input.includes("-h");
  const command = asksForHelp ? findCommand(input, COMMANDS) : undefined;
  return command === undefined ? undefined : describeCommand(cli, command);
}

function describeReason(caught: unknown): string {
  const message = caught instanceof Error ? caught.message : String(caught);
  const [reason = ""] = message.split("\n");
  return reason.startsWith("Command not found")
    ? "An argument or a required option is missing, or an option is not known"
    : reason;
}

function describeWrongUsage(
  input: readonly string[],
  options: { readonly cli: Cli; readonly caught: unknown },
): string {
  const { cli, caught } = options;
  const command = findCommand(input, COMMANDS);
  if (command === undefined) return formatUnknown(input, COMMANDS);
  return `Error: ${describeReason(caught)}\n` +
    `Remedy: Give the arguments and options below\n\n` +
    describeCommand(cli, command);
}

/**
 * Runs the command line and gives the exit code.
 *
 * @example
 * ```ts
 * process.exitCode = await runCli(process.argv.slice(2));
 * ```
 */
export async function runCli(
  input: readonly string[],
  context: Partial<BaseContext> = {},
): Promise<number> {
  const whole = { ...Cli.defaultContext, ...context };
  const cli = createCli();
  const help = findHelp(input, COMMANDS) ?? findCommandHelp(cli, input);
  if (help !== undefined) {
    whole.stdout.write(help);
    return EXIT_CODES.ok;
  }
  if (input.length === 0) {
    whole.stderr.write(formatUnknown(input, COMMANDS));
    return EXIT_CODES.wrongUsage;
  }
  try {
    const command = cli.process({ input: [...input], context: whole });
    return await cli.run(command, whole);
  } catch (caught) {
    whole.stderr.write(describeWrongUsage(input, { cli, caught }));
    return EXIT_CODES.wrongUsage;
  }
}
