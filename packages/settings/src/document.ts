/**
 * Checks a JSON document with comments against a schema and reports every fault
 * with its position in the text.
 *
 * @module
 */

import {
  findNodeAtLocation,
  getNodeValue,
  type JSONPath,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import type { z } from "zod";
import { describeIssue } from "./issues.ts";

/** One fault of a document. */
export interface Fault {
  /** Line of the fault, from 1. */
  readonly line: number;
  /** Column of the fault, from 1. */
  readonly column: number;
  /** Path, such as `peers.addresses[0].address`; empty for the document. */
  readonly field: string;
  readonly message: string;
  readonly remedy: string;
}

/** A fault at a path in the document, before its line and column are known. */
export interface FieldFault {
  readonly path: JSONPath;
  readonly message: string;
  readonly remedy: string;
}

/** The value of a valid document, or all of its faults. */
export type CheckResult<Value> =
  | { readonly ok: true; readonly value: Value }
  | { readonly ok: false; readonly faults: readonly Fault[] };

/** Options of {@link checkDocument}. */
export interface CheckOptions {
  /** Finds faults that concern several fields; must accept any value. */
  readonly crossFieldCheck?: (value: unknown) => readonly FieldFault[];
}

/** Formats a path, such as `peers.addresses[0].address`. */
export function formatField(path: JSONPath): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === "number") return `${text}[${part}]`;
    return text === "" ? part : `${text}.${part}`;
  }, "");
}

function positionOf(text: string, offset: number) {
  const before = text.slice(0, offset);
  const line = before.split("\n").length;
  return { line, column: offset - before.lastIndexOf("\n") };
}

/** Offset of the field, or of the nearest enclosing field that is present. */
function offsetOf(root: Node | undefined, path: JSONPath): number {
  if (root === undefined) return 0;
  for (let depth = path.length; depth >= 0; depth--) {
    const node = findNodeAtLocation(root, path.slice(0, depth));
    if (node === undefined) continue;
    const isProperty = node.parent?.type === "property";
    return isProperty ? node.parent!.offset : node.offset;
  }
  return root.offset;
}

function toSyntaxFault(text: string, error: ParseError): Fault {
  return {
    ...positionOf(text, error.offset),
    field: "",
    message: `The text is not valid JSON with comments: ${
      printParseErrorCode(error.error)
    }`,
    remedy: "Correct the punctuation at this place",
  };
}

function findDuplicates(node: Node, path: JSONPath): FieldFault[] {
  const children = node.children ?? [];
  if (node.type === "array") {
    return children.flatMap((child, index) =>
      findDuplicates(child, [...path, index])
    );
  }
  if (node.type !== "object") return [];
  const seen = new Set<string>();
  return children.flatMap((property) => {
    const [nameNode, valueNode] = property.children ?? [];
    const name = String(nameNode?.value);
    const propertyPath = [...path, name];
    const nestedFaults = valueNode === undefined
      ? []
      : findDuplicates(valueNode, propertyPath);
    if (!seen.has(name)) {
      seen.add(name);
      return nestedFaults;
    }
    const message = "The field is given more than once";
    return [...nestedFaults, {
      path: propertyPath,
      message,
      remedy: "Remove all but one of them",
    }];
  });
}

function byPosition(left: Fault, right: Fault): number {
  return left.line - right.line || left.column - right.column;
}

/**
 * Parses the text as JSON with comments and trailing commas, checks it, and
 * reports all faults in the order of the text.
 *
 * @example
 * ```ts
 * const checked = checkDocument(text, z.strictObject({ name: z.string() }));
 * if (!checked.ok) console.error(checked.faults[0].line);
 * ```
 */
export function checkDocument<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
  options: CheckOptions = {},
): CheckResult<z.output<Schema>> {
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  if (errors.length > 0 || root === undefined) {
    const syntax = errors.map((error) => toSyntaxFault(text, error));
    return { ok: false, faults: syntax };
  }
  const value: unknown = getNodeValue(root);
  const parsed = schema.safeParse(value);
  const fieldFaults = [
    ...(parsed.error?.issues ?? []).flatMap((issue) =>
      describeIssue(issue, { schema, value })
    ),
    ...findDuplicates(root, []),
    ...(options.crossFieldCheck?.(value) ?? []),
  ];
  if (parsed.success && fieldFaults.length === 0) {
    return { ok: true, value: parsed.data };
  }
  const faults = fieldFaults.map(({ path, message, remedy }) => ({
    ...positionOf(text, offsetOf(root, path)),
    field: formatField(path),
    message,
    remedy,
  }));
  return { ok: false, faults: faults.toSorted(byPosition) };
}
