/**
 * Parses the text of a settings file.
 *
 * @module
 */

import { checkDocument, type Fault } from "./document.ts";
import { findCrossFieldFaults } from "./cross_checks.ts";
import { type Settings, settingsSchema } from "./schema.ts";

/** The settings, or all faults in the order of the text. */
export type SettingsResult =
  | { readonly ok: true; readonly settings: Settings }
  | { readonly ok: false; readonly faults: readonly Fault[] };

/**
 * Parses the daemon's settings: JSON with comments and trailing commas.
 * Unknown fields are faults. Does not read the files that the
 * settings refer to.
 *
 * @example
 * ```ts
 * const result = parseSettings(await readFile("endivebend.jsonc", "utf8"));
 * if (result.ok) serveDaemon(result.settings);
 * else result.faults.forEach((fault) => console.error(formatFault(fault)));
 * ```
 */
export function parseSettings(text: string): SettingsResult {
  const checked = checkDocument(text, settingsSchema, {
    crossFieldCheck: findCrossFieldFaults,
  });
  return checked.ok ? { ok: true, settings: checked.value } : checked;
}

/**
 * Formats a fault as one line.
 *
 * @example
 * ```ts
 * formatFault(fault); // "3:5 vmId: The field is missing. Add it as string"
 * ```
 */
export function formatFault(fault: Fault): string {
  const field = fault.field === "" ? "" : ` ${fault.field}`;
  const location = `${fault.line}:${fault.column}${field}`;
  return `${location}: ${fault.message}. ${fault.remedy}`;
}
