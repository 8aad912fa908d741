/**
 * `endivebend team`.
 *
 * @module
 */

import { Command, Option } from "clipanion";
import type { OperatorClient } from "../operator_client.ts";
import { ChangeCommand, OperatorCommand } from "../operator_command.ts";
import { formatTable, formatTree } from "../output.ts";
import { readAllPages } from "../paging.ts";
import { parsePairs } from "../parameter_values.ts";

const category = "Teams";

/** `team create NAME --template TEMPLATE`. */
export class TeamCreateCommand extends ChangeCommand {
  static override paths = [["team", "create"]];
  static override usage = Command.Usage({
    category,
    description: "Create a team from a template",
    details:
      "Parameters that are not set take the template's defaults and follow its amendments.",
    examples: [[
      "Create a team with a rate of its own",
      "$0 team create st-mary --template parish --set tokenRatePerSecond=500",
    ]],
  });
  name = Option.String({ required: true });
  template = Option.String("--template", {
    required: true,
    description: "The template that the team follows (required)",
  });
  set = Option.Array("--set", [], {
    description: "A parameter as NAME=VALUE; may be repeated",
  });

  async call(client: OperatorClient) {
    const { name: team, template } = this;
    const parameters = parsePairs(this.set);
    return await this.propose(client, {
      body: { kind: "team_created", team, template, parameters },
      describe: ({ offset }) => `Team ${team} is created (offset ${offset})\n`,
    });
  }
}

/** `team remove NAME`. */
export class TeamRemoveCommand extends ChangeCommand {
  static override paths = [["team", "remove"]];
  static override usage = Command.Usage({
    category,
    description: "Remove a team and withdraw its keys",
    examples: [["Remove a team", "$0 team remove st-mary"]],
  });
  name = Option.String({ required: true });

  async call(client: OperatorClient) {
    const { name: team } = this;
    return await this.propose(client, {
      body: { kind: "team_removed", team },
      describe: ({ offset }) => `Team ${team} is removed (offset ${offset})\n`,
    });
  }
}

interface TeamRow {
  readonly team: string;
  readonly template: string;
  readonly limits: {
    readonly rateTokensPerSecond: number;
    readonly burstTokens: number;
  };
  readonly keyCount: number;
}

/** `team list`. */
export class TeamListCommand extends OperatorCommand {
  static override paths = [["team", "list"]];
  static override usage = Command.Usage({
    category,
    description: "List the teams with their limits",
    examples: [["List the teams as JSON", "$0 team list --json"]],
  });

  async call(client: OperatorClient) {
    const path = "/operator/v1/teams";
    const teams = await readAllPages<TeamRow>(client, { path, field: "teams" });
    const headings = ["TEAM", "TEMPLATE", "TOKENS/S", "BURST", "KEYS"];
    const rows = teams.map(({ team, template, limits, keyCount }) => [
      team,
      template,
      limits.rateTokensPerSecond,
      limits.burstTokens,
      keyCount,
    ]);
    return this.print({ teams }, formatTable(headings, rows));
  }
}

/** `team show NAME`. */
export class TeamShowCommand extends OperatorCommand {
  static override paths = [["team", "show"]];
  static override usage = Command.Usage({
    category,
    description: "Show a team's limits, services, routes and key ids",
    examples: [["Show a team", "$0 team show st-mary"]],
  });
  name = Option.String({ required: true });

  async call(client: OperatorClient) {
    const path = `/operator/v1/teams/${encodeURIComponent(this.name)}`;
    const team = await client.get<unknown>(path);
    return this.print(team, formatTree(team));
  }
}
