/**
 * `endivebend explain-route`.
 *
 * @module
 */

import { Command, Option } from "clipanion";
import { parseAddress } from "@endivebend/settings";
import { request } from "undici";
import { BaseCommand } from "../base_command.ts";
import { failCommand, failUsage } from "../command_error.ts";
import { EXIT_CODES } from "../exit_codes.ts";
import { formatTable } from "../output.ts";
import { readCount } from "../parameter_values.ts";

const PATH = "/explain-route";
/** A daemon answers at once, or is overloaded. */
const ANSWER_TIMEOUT_MS = 5_000;

interface Candidate {
  readonly server: string;
  readonly failureDomain: string;
  readonly costMs: number;
  readonly running: number;
  readonly slots: number;
  readonly prefillTokens: number;
  readonly cachedTokens: number;
  readonly balanceMs?: number;
  readonly isAvoided?: boolean;
  readonly isLoading?: boolean;
}

interface Service {
  readonly service: string;
  readonly share: number;
  readonly outcome: {
    readonly kind: "placed" | "refused";
    readonly server?: string;
    readonly reason?: string;
    readonly retryInMs?: number;
  };
  readonly candidates: readonly Candidate[];
  readonly candidateCount: number;
  readonly excluded: readonly {
    readonly server: string;
    readonly failureDomain: string;
    readonly by: string;
  }[];
  readonly excludedCount: number;
}

type Explanation =
  | { readonly kind: "denied"; readonly reason: string }
  | {
    readonly kind: "routed";
    readonly route: string;
    readonly team?: string;
    readonly urgency: number;
    readonly cost: number;
    readonly overLimitMs: number;
    readonly isQuarantined: boolean;
    readonly services: readonly Service[];
  };

/** What left a server out, for people. */
const EXCLUSIONS: Readonly<Record<string, string>> = {
  listed: "leaves, or is listed no more",
  version: "has another software version",
  weights: "has weights that are too old",
  room: "has no room",
  slots: "no slot left for the request",
  quiet: "asked for quiet",
  limit: "has a limit that is used up",
};

function formatExplanation(explanation: Explanation): string {
  if (explanation.kind === "denied") {
    return `The request would be refused: ${explanation.reason}\n`;
  }
  const { route, team, urgency, cost, overLimitMs, isQuarantined } =
    explanation;
  const lines = [
    `route ${route}, team ${team ?? "none"}, urgency ${urgency}, cost ${cost}`,
    ...(overLimitMs > 0
      ? [`The team is over its limit for another ${overLimitMs} ms`]
      : []),
    ...(isQuarantined ? ["A segment of the prompt is kept from servers"] : []),
  ];
  return `${lines.join("\n")}\n${
    explanation.services.map(formatService).join("")
  }`;
}

function formatService(explained: Service): string {
  const { service, share, outcome, candidates, excluded } = explained;
  const result = outcome.kind === "placed"
    ? `goes to ${outcome.server}`
    : `would be refused: ${outcome.reason}` +
      (outcome.retryInMs === undefined
        ? ""
        : `, again in ${outcome.retryInMs} ms`);
  const heading = `\n${service} (${Math.round(share * 100)}%): ${result}\n`;
  const rows = candidates.map((it) => [
    it.server,
    it.failureDomain,
    it.costMs,
    `${it.running}/${it.slots}`,
    it.prefillTokens,
    it.cachedTokens,
    it.balanceMs,
    remarksOn(it),
  ]);
  const table = rows.length === 0 ? "" : formatTable([
    "SERVER",
    "DOMAIN",
    "COST MS",
    "RUNNING",
    "TO READ",
    "CACHED",
    "BALANCE MS",
    "REMARKS",
  ], rows);
  const more = explained.candidateCount - candidates.length;
  const moreExcluded = explained.excludedCount - excluded.length;
  return heading + table +
    (more > 0 ? `and ${more} more that cost more\n` : "") +
    excluded.map(({ server, failureDomain, by }) =>
      `${server} in ${failureDomain} ${EXCLUSIONS[by] ?? by}\n`
    ).join("") +
    (moreExcluded > 0 ? `and ${moreExcluded} more left out\n` : "");
}

function remarksOn({ isAvoided, isLoading }: Candidate): string | undefined {
  const remarks = [
    ...(isAvoided ? ["avoided"] : []),
    ...(isLoading ? ["loads weights"] : []),
  ];
  return remarks.length === 0 ? undefined : remarks.join(", ");
}

/** `explain-route HOST PATH`. */
export class ExplainRouteCommand extends BaseCommand {
  static override paths = [["explain-route"]];
  static override usage = Command.Usage({
    category: "Reports",
    description: "Show where a request would go now and why; nothing is sent",
    details: `
      Asks one daemon, at the port of its metrics. The daemon places the request
      as it would place it now, and tells the cost of each server and what left
      the others out. It takes no key: name the team. Each daemon answers for
      itself, from what it knows now.
    `,
    examples: [
      ["Explain a plain call", "$0 explain-route bells.example /lookups"],
      [
        "Explain a prompt of two segments",
        "$0 explain-route bells.example /draft --team st-mary --model peal-1 --prompt 5c1e07a2:800,91bd3f06:410",
      ],
    ],
  });
  host = Option.String({ required: true });
  routePath = Option.String({ required: true, name: "path" });
  statusAddress = Option.String("--status-address", {
    env: "ENDIVEBEND_STATUS_ADDRESS",
    description: "IP number and port of a daemon's metrics",
  });
  team = Option.String("--team", { description: "Team that sends it" });
  model = Option.String("--model", {
    description: "Model; without one it is a plain call",
  });
  prompt = Option.String("--prompt", {
    description: "Segments of the prompt as ID:TOKENS,ID:TOKENS",
  });
  promptTokens = Option.String("--prompt-tokens", {
    description: "Tokens of the whole prompt; the segments' sum without it",
  });
  outputTokens = Option.String("--output-tokens", {
    description: "Most tokens of the answer",
  });
  timeLeftMs = Option.String("--time-left-ms", {
    description: "Time that the caller still waits; the route's without it",
  });

  async perform() {
    const { statusAddress: address } = this;
    if (address === undefined || parseAddress(address) === undefined) {
      throw failUsage(
        `The status address is ${address ?? "not given"}`,
        "Give --status-address or ENDIVEBEND_STATUS_ADDRESS, such as 10.0.0.4:9464",
      );
    }
    const explanation = await ask(address, {
      host: this.host,
      path: this.routePath,
      team: this.team,
      model: this.model,
      prompt: this.prompt,
      promptTokens: readCount("--prompt-tokens", this.promptTokens),
      outputTokens: readCount("--output-tokens", this.outputTokens),
      timeLeftMs: readCount("--time-left-ms", this.timeLeftMs),
    });
    return this.print(explanation, formatExplanation(explanation));
  }
}

async function ask(address: string, query: object): Promise<Explanation> {
  const { status, text } = await send(address, query);
  const body = parseBody(text);
  if (status === 200 && body?.kind !== undefined) return body as Explanation;
  throw failCommand(
    body?.error ?? `The daemon gave an answer of status ${status}`,
    {
      exitCode: EXIT_CODES.refused,
      remedy: "Check the options, and that the address is that of the metrics",
      ...(body?.field === undefined ? {} : { field: body.field }),
    },
  );
}

async function send(address: string, query: object) {
  try {
    const response = await request(`http://${address}${PATH}`, {
      method: "POST",
      headersTimeout: ANSWER_TIMEOUT_MS,
      bodyTimeout: ANSWER_TIMEOUT_MS,
      body: JSON.stringify(query),
    });
    const text = await response.body.text();
    return { status: response.statusCode, text };
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    throw failCommand(`No daemon answers at ${address}: ${reason}`, {
      exitCode: EXIT_CODES.unreachable,
      remedy: "Check that the daemon runs and that this is its metrics port",
    });
  }
}

interface AnswerBody {
  readonly kind?: string;
  readonly error?: string;
  readonly field?: string;
}

/** Undefined for an answer that is no JSON, as of an earlier build. */
function parseBody(text: string): AnswerBody | undefined {
  try {
    return JSON.parse(text) as AnswerBody;
  } catch {
    return undefined;
  }
}
