/**
 * `endivebend engine`.
 *
 * @module
 */

import { Command, Option } from "clipanion";
import { failCommand, failUsage } from "../command_error.ts";
import { EXIT_CODES } from "../exit_codes.ts";
import type { OperatorClient } from "../operator_client.ts";
import { OperatorCommand } from "../operator_command.ts";
import { formatTable } from "../output.ts";

const category = "Engines";
const DEFAULT_WAIT_MS = "30000";

interface OpenOrder {
  readonly kind: string;
  readonly model: string;
  readonly weightsVersion: string;
}

interface EngineList {
  readonly engines: readonly {
    readonly engineId: string;
    readonly service: string;
    readonly failureDomain: string;
    readonly address: string;
    readonly state: string;
    readonly takesNewWork: boolean;
    readonly weightsVersion: string | null;
    readonly openOrder: OpenOrder | null;
  }[];
}

interface OrderVerdict {
  readonly verdict: "accepted" | "refused" | "unknown";
  readonly engineId: string;
  readonly fence?: number;
  readonly message?: string;
  readonly remedy?: string;
}

function formatOrder(order: OpenOrder | null): string {
  if (order === null) return "-";
  return `${order.kind} ${order.model} ${order.weightsVersion}`;
}

/** `engine list`. */
export class EngineListCommand extends OperatorCommand {
  static override paths = [["engine", "list"]];
  static override usage = Command.Usage({
    category,
    description: "List the engines with their weights and open orders",
    examples: [["List the engines", "$0 engine list"]],
  });

  async call(client: OperatorClient) {
    const list = await client.get<EngineList>("/operator/v1/engines");
    const headings = [
      "ENGINE",
      "MODEL",
      "WEIGHTS",
      "FAILURE DOMAIN",
      "ADDRESS",
      "STATE",
      "NEW WORK",
      "OPEN ORDER",
    ];
    const rows = list.engines.map((engine) => [
      engine.engineId,
      engine.service,
      engine.weightsVersion,
      engine.failureDomain,
      engine.address,
      engine.state,
      engine.takesNewWork ? "yes" : "no",
      formatOrder(engine.openOrder),
    ]);
    return this.print(list, formatTable(headings, rows));
  }
}

/** `engine order ENGINE_ID`. */
export class EngineOrderCommand extends OperatorCommand {
  static override paths = [["engine", "order"]];
  static override usage = Command.Usage({
    category,
    description:
      "Order an engine to load weights or an adapter, or change role",
    details: `
      Waits until the engine has carried the order out. At most two engines of
      the fleet load weights at once, so that an order may wait for others. A
      newer order for the same engine takes the place of an older one.
    `,
    examples: [
      [
        "Load new weights",
        "$0 engine order engine-3 --kind load_model --model chime-llm --weights-version v2",
      ],
    ],
  });
  engineId = Option.String({ required: true });
  kind = Option.String("--kind", {
    required: true,
    description: "load_model, load_adapter or change_role",
  });
  model = Option.String("--model", {
    required: true,
    description: "Model, adapter or role that the order names",
  });
  weightsVersion = Option.String("--weights-version", {
    required: true,
    description: "Version of the weights",
  });
  waitMs = Option.String("--wait-ms", DEFAULT_WAIT_MS, {
    description: "Milliseconds until the order is given up",
  });

  async call(client: OperatorClient) {
    const waitMs = Number(this.waitMs);
    if (!Number.isSafeInteger(waitMs) || waitMs < 1) {
      throw failUsage(
        `--wait-ms is ${this.waitMs}`,
        "Give a whole number of milliseconds, such as 30000",
      );
    }
    const { engineId, kind, model, weightsVersion } = this;
    const order = { engineId, kind, model, weightsVersion, waitMs };
    const answer = await client.order(order);
    const verdict = answer.body as OrderVerdict;
    if (verdict.verdict === "accepted") {
      const text =
        `${engineId} has carried out ${kind} ${model} ${weightsVersion} (fence ${verdict.fence})\n`;
      return this.print(verdict, text);
    }
    if (this.json) this.print(verdict, "");
    const isRefused = verdict.verdict === "refused";
    throw failCommand(`${verdict.message}`, {
      exitCode: isRefused ? EXIT_CODES.refused : EXIT_CODES.outcomeUnknown,
      remedy: verdict.remedy ?? "Read endivebend engine list",
    });
  }
}
