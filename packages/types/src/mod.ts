/**
 * Branded ids, records and token counts that several packages share.
 *
 * @module
 */

export * from "./ids.ts";
export * from "./records.ts";
export * from "./tokens.ts";
export { chatPrompt } from "./prompt.ts";
export type { ChatMessage } from "./prompt.ts";
