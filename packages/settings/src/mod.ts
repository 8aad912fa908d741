/**
 * Parses and checks the daemon's settings and other JSON documents with
 * comments, and reports the position of every fault.
 *
 * @module
 */

export { formatFault, parseSettings } from "./parse.ts";
export type { SettingsResult } from "./parse.ts";
export { MIN_SHARED_KEY_CHARS, settingsSchema } from "./schema.ts";
export type { ListenerSettings, Settings, TlsSettings } from "./schema.ts";
export { SETTINGS_EXAMPLE } from "./example.ts";
export { checkDocument, formatField } from "./document.ts";
export type {
  CheckOptions,
  CheckResult,
  Fault,
  FieldFault,
} from "./document.ts";
export { parseAddress } from "./address.ts";
export type { ParsedAddress } from "./address.ts";
