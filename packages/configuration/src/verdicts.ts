/**
 * What becomes of a proposed change.
 *
 * @module
 */

import type { z } from "zod";

/** The change is in force; `revision` is that of the thing it changed. */
export interface Accepted {
  readonly kind: "accepted";
  readonly revision: number;
}

/** The change was refused and changed nothing. */
export interface Refused {
  readonly kind: "refused";
  /** Such as `body.routes[0].service`. */
  readonly field: string;
  readonly message: string;
  readonly remedy: string;
  /** Revision of the thing that the change was about; null when there is none. */
  readonly currentRevision: number | null;
}

/** Whether a change was accepted; the same on every VM. */
export type Verdict = Accepted | Refused;

/** What applying one record did. */
export type ApplyResult =
  | Verdict
  /** A snapshot part, or a record at an offset that was applied before. */
  | { readonly kind: "ignored" }
  /** The state waits for a snapshot; the record is kept until it is there. */
  | { readonly kind: "deferred" };

/** Makes the verdict of an accepted change. */
export function accept(revision: number): Accepted {
  return { kind: "accepted", revision };
}

/** A hostile record may name fields of any length; verdicts are kept. */
const MAX_FIELD_CHARS = 200;

/** Makes the verdict of a refused change. */
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

/** Writes a path as `body.routes[0].service`. */
export function formatPath(path: readonly PropertyKey[]): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === "number") return `${text}[${part}]`;
    return text === "" ? String(part) : `${text}.${String(part)}`;
  }, "");
}

/** Refuses a record that does not fit the schema of its kind. */
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
