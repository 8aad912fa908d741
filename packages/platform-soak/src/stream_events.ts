/**
 * Reads the events that the stand-in servers stream.
 *
 * @module
 */

/** An event, with the run that made it. */
export interface StreamEvent {
  readonly number: number;
  readonly stream: string;
  /** Software version of the server that made it. */
  readonly version: string;
  readonly proof: string;
}

const EVENT = /id: (\d+)\ndata: (\S+) (\d+) (\S+) (\S+)\n\n/y;

/**
 * Splits a body into its whole events and what follows them.
 *
 * @example
 * ```ts
 * const { events, rest } = eventsOf(answer.body);
 * ```
 */
export function eventsOf(
  body: string,
): { readonly events: readonly StreamEvent[]; readonly rest: string } {
  const events: StreamEvent[] = [];
  let at = 0;
  for (;;) {
    EVENT.lastIndex = at;
    const match = EVENT.exec(body);
    if (match === null || match[1] !== match[3]) break;
    const [text, number, stream = "", , version = "", proof = ""] = match;
    events.push({ number: Number(number), stream, version, proof });
    at += text.length;
  }
  return { events, rest: body.slice(at) };
}
