/**
 * Checks a change independently of the current state.
 *
 * @module
 */

import { CHANGE_SCHEMAS, isChangeKind } from "./records.ts";
import { findBodyFaults } from "./template_faults.ts";
import {
  formatPath,
  refuse,
  type Refused,
  refuseSchemaIssue,
} from "./verdicts.ts";

/**
 * Returns the refusal that a change would get in every state, so that the
 * caller does not append it to the log; undefined when there is none.
 *
 * @example
 * ```ts
 * checkChange({ recordId: "1", kind: "team_removed" })?.field; // "team"
 * ```
 */
export function checkChange(
  value: Readonly<Record<string, unknown>>,
): Refused | undefined {
  const { kind } = value;
  if (!isChangeKind(kind)) {
    return refuse("kind", "The kind of the change is not known", {
      remedy: `Give one of ${Object.keys(CHANGE_SCHEMAS).join(", ")}`,
    });
  }
  const parsed = CHANGE_SCHEMAS[kind].safeParse(value);
  if (!parsed.success) return refuseSchemaIssue(parsed.error.issues[0]!);
  const [fault] = "body" in parsed.data ? findBodyFaults(parsed.data.body) : [];
  if (fault === undefined) return undefined;
  return refuse(formatPath(["body", ...fault.path]), fault.message, fault);
}
