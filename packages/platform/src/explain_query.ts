/**
 * Reads the question where a request would go, which operators send to the
 * status port. Others may reach that port too, so that all it takes is bounded.
 *
 * @module
 */

import type { PromptSegment, RouteQuery } from "@endivebend/request-path";
import { brandId, type ModelName, type TeamId } from "@endivebend/types";
import { boundedName } from "./bounded_names.ts";
import { parsePrompt } from "./prompt_header.ts";

/** A prompt of some hundred segments is shorter. */
export const MAX_QUERY_BYTES = 16_384;
const MAX_TEXT_LENGTH = 2_048;
/** Engines hold some 100,000 tokens. */
const MAX_TOKENS = 999_999_999;
const MAX_TIME_LEFT_MS = 86_400_000;

/** A question, or the field that is wrong. */
export type ParsedQuery =
  | { readonly kind: "query"; readonly query: RouteQuery }
  | { readonly kind: "invalid"; readonly field: string };

/**
 * Parses a question.
 *
 * @example
 * ```ts
 * parseExplainQuery('{"host":"bells.example","path":"/draft"}');
 * ```
 */
export function parseExplainQuery(text: string): ParsedQuery {
  const value = parseObject(text);
  if (value === undefined) return { kind: "invalid", field: "body" };
  const wrong = Object.entries(FIELD_CHECKS)
    .find(([field, check]) => !check(value[field]));
  if (wrong !== undefined) return { kind: "invalid", field: wrong[0] };
  const { host, path, team, timeLeftMs } = value as
    & Readonly<
      Record<"host" | "path" | "team", string>
    >
    & { readonly timeLeftMs?: number };
  return {
    kind: "query",
    query: {
      host,
      path,
      team: team === undefined ? undefined : brandId<TeamId>(team),
      timeLeftMs,
      work: workOf(value as WorkFields),
    },
  };
}

interface WorkFields {
  readonly model?: string;
  readonly prompt?: string;
  readonly promptTokens?: number;
  readonly outputTokens?: number;
}

type Check = (value: unknown) => boolean;

const isText: Check = (value) =>
  typeof value === "string" && value !== "" && value.length <= MAX_TEXT_LENGTH;

function isNumberUpTo(limit: number): Check {
  return (value) => typeof value === "number" && value >= 0 && value <= limit;
}

function isOptional(check: Check): Check {
  return (value) => value === undefined || check(value);
}

const FIELD_CHECKS: Readonly<Record<string, Check>> = {
  host: isText,
  path: isText,
  team: isOptional(isText),
  model: isOptional(isText),
  // As long as the header of a request may be.
  prompt: isOptional((value) => typeof value === "string"),
  promptTokens: isOptional(isNumberUpTo(MAX_TOKENS)),
  outputTokens: isOptional(isNumberUpTo(MAX_TOKENS)),
  timeLeftMs: isOptional(isNumberUpTo(MAX_TIME_LEFT_MS)),
};

function parseObject(text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    const isObject = typeof value === "object" && value !== null &&
      !Array.isArray(value);
    return isObject ? value as Record<string, unknown> : undefined;
  } catch {
    return undefined;
  }
}

function workOf(fields: WorkFields): RouteQuery["work"] {
  const { model, promptTokens, outputTokens = 0 } = fields;
  if (model === undefined) return undefined;
  const prompt = parsePrompt(fields.prompt);
  return {
    model: brandId<ModelName>(boundedName(model)),
    promptTokens: promptTokens ?? sumTokens(prompt),
    maxOutputTokens: outputTokens,
    prompt,
  };
}

function sumTokens(prompt: readonly PromptSegment[]): number {
  return prompt.reduce((sum, { tokens }) => sum + tokens, 0);
}
