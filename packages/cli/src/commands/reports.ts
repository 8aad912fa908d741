/**
 * `endivebend status` and `endivebend explain`.
 *
 * @module
 */

import { Command, Option } from "clipanion";
import { failCommand } from "../command_error.ts";
import { EXIT_CODES } from "../exit_codes.ts";
import type { OperatorClient } from "../operator_client.ts";
import { OperatorCommand } from "../operator_command.ts";
import { formatTree } from "../output.ts";

const category = "Reports";

/** `status`. */
export class StatusCommand extends OperatorCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    category,
    description: "Show what a daemon knows and whom it hears from",
    details: `
      Offsets that stand still while platformSilenceMs grows mean that the
      daemon does not hear from the platform: it serves with what it knows.
    `,
    examples: [["Show the status", "$0 status"]],
  });

  async call(client: OperatorClient) {
    const status = await client.get<unknown>("/operator/v1/status");
    return this.print(status, formatTree(status));
  }
}

interface Explanation {
  readonly requestId: string;
  readonly vms: readonly {
    readonly vmId: string;
    readonly entries: readonly {
      readonly atMs: number;
      readonly step: string;
      readonly known?: unknown;
      readonly weighed?: unknown;
      readonly chosen?: unknown;
    }[];
  }[];
  readonly silentVms: readonly string[];
}

function formatExplanation({ vms, silentVms }: Explanation): string {
  const lines = vms.flatMap(({ vmId, entries }) =>
    entries.map(({ atMs, step, known, weighed, chosen }) => {
      const heading = `${new Date(atMs).toISOString()} ${vmId} ${step}\n`;
      const details = { known, weighed, chosen };
      const hasDetails = Object.values(details).some((it) => it !== undefined);
      return {
        atMs,
        text: heading + (hasDetails ? formatTree(details, "  ") : ""),
      };
    })
  );
  const text = lines.toSorted((left, right) => left.atMs - right.atMs)
    .map((line) => line.text).join("");
  return silentVms.length === 0
    ? text
    : `${text}No answer from ${silentVms.join(", ")}\n`;
}

/** `explain REQUEST_ID`. */
export class ExplainCommand extends OperatorCommand {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    category,
    description: "Show every decision about a request, over all VMs",
    details: "The request id stands in the response header x-request-id.",
    examples: [["Explain a request", "$0 explain REQUEST_ID"]],
  });
  requestId = Option.String({ required: true });

  async call(client: OperatorClient) {
    const path = `/operator/v1/explain/${encodeURIComponent(this.requestId)}`;
    const explanation = await client.get<Explanation>(path);
    if (explanation.vms.length > 0) {
      return this.print(explanation, formatExplanation(explanation));
    }
    const silent = explanation.silentVms.join(", ");
    throw failCommand(`No VM has a record of request ${this.requestId}`, {
      exitCode: EXIT_CODES.refused,
      remedy: silent === ""
        ? "Check the id; each VM keeps only its latest requests"
        : `Ask again when these VMs answer: ${silent}`,
    });
  }
}
