/**
 * The prompt text that a chat request stands for. Router and engines must turn
 * messages into the same text, or block hashes would not match.
 *
 * @module
 */

/** One message of a chat request. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/**
 * Turns chat messages into one prompt text: a line `role: content` for each
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
