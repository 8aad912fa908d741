/**
 * The prompt text of a chat.
 *
 * @module
 */

/** One message of a chat; parts other than text are left out. */
export interface ChatMessage {
  readonly role: string;
  readonly content:
    | string
    | null
    | readonly { readonly type: string; readonly text?: string }[];
}

/**
 * Turns chat messages into one prompt text: per message `<|role|>`, a line
 * break, the text, a line break; then `<|assistant|>` and a line break.
 *
 * @example
 * ```ts
 * chatPrompt([{ role: "user", content: "Hi" }]);
 * // "<|user|>\nHi\n<|assistant|>\n"
 * ```
 */
export function chatPrompt(messages: readonly ChatMessage[]): string {
  const parts = messages.map(({ role, content }) =>
    `<|${role}|>\n${contentText(content)}\n`
  );
  return `${parts.join("")}<|assistant|>\n`;
}

function contentText(content: ChatMessage["content"]): string {
  if (content === null) return "";
  if (typeof content === "string") return content;
  return content.map((part) => part.text ?? "").join("");
}
