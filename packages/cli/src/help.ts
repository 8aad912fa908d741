/**
 * Help above the level of one command.
 *
 * @module
 */

import type { CommandClass } from "clipanion";

/** The binary's name. */
export const BINARY_NAME = "endivebend";

/** The groups of commands and what they are about. */
const GROUPS: Readonly<Record<string, string>> = {
  settings: "settings files of daemons",
  template: "what teams may use, and their limits",
  team: "customer groups with keys and limits of their own",
  key: "the keys of teams",
  vm: "entry VMs and their drains",
  engine: "model engines and the orders to them",
  "stand-in": "stand-ins of the platform and of backend servers, for tests",
};

const HELP_WORDS = new Set(["--help", "-h", "help"]);

const EPILOGUE = `
Commands that call a daemon need --operator-address IP:PORT and --operator-key
KEY, or ENDIVEBEND_OPERATOR_ADDRESS and ENDIVEBEND_OPERATOR_KEY. All commands
take --json, and --help for their options and examples.

Exit codes: 0 done, 1 refused, 2 wrong usage or settings, 3 no daemon answers,
4 outcome unknown (repeat the command with its --record-id).
`;

const EXAMPLES = `
Examples:

  ${BINARY_NAME} settings example > endivebend.jsonc
  ${BINARY_NAME} serve --settings endivebend.jsonc
  ${BINARY_NAME} team create st-mary --template parish
  ${BINARY_NAME} key grant st-mary
`;

function pathOf(command: CommandClass): readonly string[] {
  return command.paths?.[0] ?? [];
}

function listCommands(commands: readonly CommandClass[]): string {
  const paths = commands.map((command) => pathOf(command).join(" "));
  const width = Math.max(...paths.map((path) => path.length));
  return commands.map((command, index) => {
    const description = command.usage?.description ?? "";
    return `  ${BINARY_NAME} ${paths[index]?.padEnd(width)}  ${description}\n`;
  }).join("");
}

/** Describes all commands. */
export function formatOverview(commands: readonly CommandClass[]): string {
  return `Usage: ${BINARY_NAME} COMMAND [OPTIONS]\n\n${
    listCommands(commands)
  }` +
    EXAMPLES + EPILOGUE;
}

function formatGroup(
  group: string,
  commands: readonly CommandClass[],
): string {
  const members = commands.filter((command) => pathOf(command)[0] === group);
  const examples = members.flatMap(({ usage }) => usage?.examples ?? [])
    .map(([, example]) => `  ${example.replace("$0", BINARY_NAME)}\n`);
  return `Commands on ${GROUPS[group]}:\n\n${listCommands(members)}\n` +
    `Examples:\n\n${examples.join("")}${EPILOGUE}`;
}

/** The help that the input asks for above the level of one command. */
export function findHelp(
  input: readonly string[],
  commands: readonly CommandClass[],
): string | undefined {
  const [first, second, ...others] = input;
  if (first === undefined) return undefined;
  if (HELP_WORDS.has(first) && second === undefined) {
    return formatOverview(commands);
  }
  const asksForGroup = Object.hasOwn(GROUPS, first) &&
    second !== undefined && HELP_WORDS.has(second) && others.length === 0;
  return asksForGroup ? formatGroup(first, commands) : undefined;
}

/** Says why the input is no command, and lists what is near it. */
export function formatUnknown(
  input: readonly string[],
  commands: readonly CommandClass[],
): string {
  const [first = ""] = input;
  const message = first === ""
    ? "Error: No command is given"
    : `Error: "${input.join(" ")}" is no command`;
  const help = Object.hasOwn(GROUPS, first)
    ? formatGroup(first, commands)
    : formatOverview(commands);
  return `${message}\nRemedy: Use one of the commands below\n\n${help}`;
}

/** The command whose path the input begins with. */
export function findCommand(
  input: readonly string[],
  commands: readonly CommandClass[],
): CommandClass | undefined {
  return commands.find((command) =>
    pathOf(command).every((part, index) => part === input[index])
  );
}
