/**
 * Verdicts on proposed changes.
 *
 * @module
 */

import type { z } from "zod";

/** The change took effect; `revision` is that of the object it changed. */
export interface Accepted {
  readonly kind: "accepted";
  readonly revision: number;
}

/** The change was refused and had no effect. */
export interface Refused {
  readonly kind: "refused";
  /** Path of the field at fault, such as `body.routes[0].service`. */
  readonly field: string;
  readonly message: string;
  readonly remedy: string;
  /** Revision of the object that the change concerns; null if it has none. */
  readonly currentRevision: number | null;
}

/** Decision on a change; the same on every VM. */
export type Verdict = Accepted | Refused;

/** Result of applying one record. */
export type ApplyResult =
  | Verdict
  /** A snapshot part, or a record at an offset that is already applied. */
  | { readonly kind: "ignored" }
  /** The state waits for a snapshot and applies the record after it. */
  | { readonly kind: "deferred" };

/** Creates the verdict for an accepted change. */
export function accept(revision: number): Accepted {
  return { kind: "accepted", revision };
}

/** A hostile record may name long fields, and verdicts are stored. */
const MAX_FIELD_CHARS = 200;

/** Creates the verdict for a refused change. */
export function refuse(
  field: string,
  message: string,
  options: { readonly remedy: string; readonly currentRevision?: number },
): Refused {
  return {
    kind: "refused",
    field: field.slice(0, MAX_FIELD_CHARS),
    message,
    remedy: options.remedy,
    currentRevision: options.currentRevision ?? null,
  };
}

/** Formats a path, such as `body.routes[0].service`. */
export function formatPath(path: readonly PropertyKey[]): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === "number") return `${text}[${part}]`;
    return text === "" ? String(part) : `${text}.${String(part)}`;
  }, "");
}

/** Creates the refusal of a record that does not match its schema. */
export function refuseSchemaIssue(issue: z.core.$ZodIssue): Refused {
  if (issue.code === "unrecognized_keys") {
    const field = formatPath([...issue.path, issue.keys[0] ?? ""]);
    return refuse(field, "The field is not known", {
      remedy: "Remove the field",
    });
  }
  const isFormatIssue = issue.code === "invalid_format" ||
    issue.code === "custom";
  return refuse(formatPath(issue.path), "The value is missing or not valid", {
    remedy: isFormatIssue
      ? `Give ${issue.message}`
      : `Correct the value: ${issue.message}`,
  });
}
