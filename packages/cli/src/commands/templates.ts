/**
 * `endivebend template`.
 *
 * @module
 */

import { Command, Option } from "clipanion";
import { applyCascade, isInteger, isNumber } from "typanion";
import { readTemplateBody } from "../files.ts";
import type { OperatorClient } from "../operator_client.ts";
import { ChangeCommand, OperatorCommand } from "../operator_command.ts";
import { formatTable } from "../output.ts";

const category = "Templates";

/** `template publish NAME FILE`. */
export class TemplatePublishCommand extends ChangeCommand {
  static override paths = [["template", "publish"]];
  static override usage = Command.Usage({
    category,
    description: "Publish a new template",
    details: "The file holds the template's body as JSON with comments.",
    examples: [[
      "Publish the template of booking parishes",
      "$0 template publish parish parish.jsonc",
    ]],
  });
  name = Option.String({ required: true });
  file = Option.String({ required: true });

  async call(client: OperatorClient) {
    const body = await readTemplateBody(this.file);
    const { name: template } = this;
    return await this.propose(client, {
      body: { kind: "template_published", template, body },
      describe: ({ revision, offset }) =>
        `Template ${template} is in force at revision ${revision} (offset ${offset})\n`,
    });
  }
}

/** `template amend NAME FILE --revision N`. */
export class TemplateAmendCommand extends ChangeCommand {
  static override paths = [["template", "amend"]];
  static override usage = Command.Usage({
    category,
    description: "Amend a template; its teams follow at once",
    details:
      "Of two amendments of one revision the first wins, and the other one is refused.",
    examples: [[
      "Amend revision 3",
      "$0 template amend parish parish.jsonc --revision 3",
    ]],
  });
  name = Option.String({ required: true });
  file = Option.String({ required: true });
  revision = Option.String("--revision", {
    required: true,
    validator: applyCascade(isNumber(), [isInteger()]),
    description: "The revision that the file is based on (required)",
  });

  async call(client: OperatorClient) {
    const body = await readTemplateBody(this.file);
    const { name: template, revision: amendsRevision } = this;
    return await this.propose(client, {
      body: { kind: "template_amended", template, amendsRevision, body },
      describe: ({ revision, offset }) =>
        `Template ${template} is in force at revision ${revision} (offset ${offset})\n`,
    });
  }
}

interface TemplateList {
  readonly templates: readonly {
    readonly name: string;
    readonly revision: number;
  }[];
}

/** `template list`. */
export class TemplateListCommand extends OperatorCommand {
  static override paths = [["template", "list"]];
  static override usage = Command.Usage({
    category,
    description: "List the templates",
    examples: [["List the templates", "$0 template list"]],
  });

  async call(client: OperatorClient) {
    const list = await client.get<TemplateList>("/operator/v1/templates");
    const rows = list.templates.map(({ name, revision }) => [name, revision]);
    return this.print(list, formatTable(["NAME", "REVISION"], rows));
  }
}

interface Template {
  readonly name: string;
  readonly revision: number;
  readonly body: unknown;
}

/** `template show NAME`. */
export class TemplateShowCommand extends OperatorCommand {
  static override paths = [["template", "show"]];
  static override usage = Command.Usage({
    category,
    description: "Show a template's revision and body",
    details: "The output is a file that template amend takes.",
    examples: [[
      "Save a template to amend it",
      "$0 template show parish > parish.jsonc",
    ]],
  });
  name = Option.String({ required: true });

  async call(client: OperatorClient) {
    const path = `/operator/v1/templates/${encodeURIComponent(this.name)}`;
    const template = await client.get<Template>(path);
    const body = JSON.stringify(template.body, null, 2);
    const heading =
      `// Template ${template.name}, revision ${template.revision}`;
    return this.print(template, `${heading}\n${body}\n`);
  }
}
