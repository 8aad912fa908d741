/**
 * `endivebend key`.
 *
 * @module
 */

import { Command, Option } from "clipanion";
import type { OperatorClient } from "../operator_client.ts";
import { ChangeCommand, OperatorCommand } from "../operator_command.ts";
import { formatTable } from "../output.ts";
import { readAllPages } from "../paging.ts";

const category = "Keys";

/** `key grant TEAM`. */
export class KeyGrantCommand extends ChangeCommand {
  static override paths = [["key", "grant"]];
  static override usage = Command.Usage({
    category,
    description: "Grant a new key to a team and show it once",
    details: "The daemon generates the key; the log gets only its digest.",
    examples: [["Grant a key", "$0 key grant st-mary"]],
  });
  team = Option.String({ required: true });

  async call(client: OperatorClient) {
    const { team } = this;
    return await this.propose(client, {
      body: { kind: "key_granted", team },
      describe: ({ keyId, secret, remedy, offset }) =>
        secret === undefined
          ? `${remedy}\n`
          : `Key ${keyId} of team ${team} is in force (offset ${offset})\n` +
            `It is shown only now: ${secret}\n`,
    });
  }
}

/** `key withdraw KEY_ID`. */
export class KeyWithdrawCommand extends ChangeCommand {
  static override paths = [["key", "withdraw"]];
  static override usage = Command.Usage({
    category,
    description: "Withdraw a key for ever",
    details: `
      The key is blocked at once at the daemon that is asked, and at its peers
      by their next exchange. While the platform's log does not answer, the
      command ends with exit code 4 and the withdrawal follows by itself.
    `,
    examples: [[
      "Withdraw a key",
      "$0 key withdraw key-0123456789abcdef01234567",
    ]],
  });
  keyId = Option.String({ required: true });

  async call(client: OperatorClient) {
    const { keyId } = this;
    return await this.propose(client, {
      body: { kind: "key_withdrawn", keyId },
      describe: ({ offset }) =>
        `Key ${keyId} is withdrawn (offset ${offset})\n`,
    });
  }
}

interface KeyRow {
  readonly keyId: string;
  readonly team: string;
}

/** `key list`. */
export class KeyListCommand extends OperatorCommand {
  static override paths = [["key", "list"]];
  static override usage = Command.Usage({
    category,
    description: "List the ids of the keys in force, never the keys",
    examples: [["List the keys of a team", "$0 key list --team st-mary"]],
  });
  team = Option.String("--team", { description: "Only the keys of this team" });

  async call(client: OperatorClient) {
    const path = "/operator/v1/keys";
    const keys = this.team === undefined
      ? await readAllPages<KeyRow>(client, { path, field: "keys" })
      : (await client.get<{ readonly keys: readonly KeyRow[] }>(
        `${path}?team=${encodeURIComponent(this.team)}`,
      )).keys;
    const rows = keys.map(({ keyId, team }) => [keyId, team]);
    return this.print({ keys }, formatTable(["KEY", "TEAM"], rows));
  }
}
