/**
 * Conversion of chat messages into a prompt text. The router and the engines
 * must produce the same text, or block hashes would not match.
 *
 * @module
 */

/** One message of a chat request. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/**
 * Joins chat messages into one prompt text: a line `role: content` for each
 * message, then `assistant:`.
 *
 * @example
 * ```ts
 * chatPrompt([{ role: "user", content: "Hello" }]); // "user: Hello\nassistant:"
 * ```
 */
export function chatPrompt(messages: readonly ChatMessage[]): string {
  const lines = messages.map(({ role, content }) => `${role}: ${content}\n`);
  return `${lines.join("")}assistant:`;
}
