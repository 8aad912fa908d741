/**
 * Turns schema issues into faults with a message and a remedy.
 *
 * @module
 */

import type { z } from "zod";
import type { FieldFault } from "./document.ts";

type Issue = z.core.$ZodIssue;
type IssueOf<Code extends Issue["code"]> = Extract<Issue, { code: Code }>;

interface IssueContext {
  readonly schema: z.ZodType;
  readonly value: unknown;
}

interface SchemaDefinition {
  readonly type: string;
  readonly innerType?: z.ZodType;
  readonly element?: z.ZodType;
  readonly in?: z.ZodType;
  readonly shape?: Readonly<Record<string, z.ZodType>>;
}

function definitionOf(schema: z.ZodType): SchemaDefinition {
  const definition = schema.def as unknown as SchemaDefinition;
  const inner = definition.innerType ?? definition.in;
  return inner === undefined ? definition : definitionOf(inner);
}

function schemaAt(
  schema: z.ZodType,
  path: readonly PropertyKey[],
): SchemaDefinition | undefined {
  let current: SchemaDefinition | undefined = definitionOf(schema);
  for (const part of path) {
    const next: z.ZodType | undefined = typeof part === "number"
      ? current?.element
      : current?.shape?.[String(part)];
    if (next === undefined) return undefined;
    current = definitionOf(next);
  }
  return current;
}

function valueAt(value: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (current, part) =>
      typeof current === "object" && current !== null
        ? (current as Record<PropertyKey, unknown>)[part]
        : undefined,
    value,
  );
}

function describeUnknownFields(
  issue: IssueOf<"unrecognized_keys">,
  context: IssueContext,
): FieldFault[] {
  const shape = schemaAt(context.schema, issue.path)?.shape ?? {};
  const known = Object.keys(shape).join(", ");
  return issue.keys.map((key) => ({
    path: [...(issue.path as (string | number)[]), key],
    message: `The field "${key}" is not known here`,
    remedy: `Remove it; the fields known here are ${known}`,
  }));
}

function describeType(issue: IssueOf<"invalid_type">, value: unknown) {
  const expectedType = issue.expected === "int"
    ? "whole number"
    : issue.expected;
  if (value === undefined) {
    return {
      message: "The field is missing",
      remedy: `Add it as ${expectedType}`,
    };
  }
  const actualType = value === null
    ? "null"
    : Array.isArray(value)
    ? "array"
    : typeof value;
  return {
    message: `The value is of type ${actualType}, not ${expectedType}`,
    remedy: `Give a value of type ${expectedType}`,
  };
}

function unitOf(origin: string): string {
  if (origin === "string") return " characters";
  return origin === "array" ? " entries" : "";
}

function describeSingleIssue(issue: Issue, value: unknown) {
  switch (issue.code) {
    case "invalid_type":
      return describeType(issue, value);
    case "too_small":
      return {
        message: `The value is below its minimum of ${issue.minimum}${
          unitOf(issue.origin)
        }`,
        remedy: `Give at least ${issue.minimum}${unitOf(issue.origin)}`,
      };
    case "too_big":
      return {
        message: `The value is above its maximum of ${issue.maximum}${
          unitOf(issue.origin)
        }`,
        remedy: `Give at most ${issue.maximum}${unitOf(issue.origin)}`,
      };
    case "invalid_value": {
      const values = issue.values.join(", ");
      return {
        message: "The value is not one of the permitted values",
        remedy: `Give one of ${values}`,
      };
    }
    // The schemas of this repository state the expected form in the message of
    // each pattern and refinement.
    default:
      return {
        message: "The value does not have the expected form",
        remedy: `Give ${issue.message}`,
      };
  }
}

/** Describes one issue; unknown fields yield one fault for each field. */
export function describeIssue(
  issue: Issue,
  context: IssueContext,
): FieldFault[] {
  if (issue.code === "unrecognized_keys") {
    return describeUnknownFields(issue, context);
  }
  const path = issue.path as (string | number)[];
  return [{
    path,
    ...describeSingleIssue(issue, valueAt(context.value, path)),
  }];
}
