/**
 * HTTP calls to the interfaces of engines and cache stores.
 *
 * @module
 */

import { type Agent, request } from "node:http";

/**
 * One HTTP call; `address` is IP and port, `timeoutMs` covers the whole call.
 */
export interface EngineCall {
  readonly address: string;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly headers: Readonly<Record<string, string | number>>;
  readonly body?: string;
  readonly timeoutMs: number;
}

/** An answer that was read to its end; `body` is decoded as UTF-8. */
export interface EngineAnswer {
  readonly status: number;
  readonly body: string;
}

/**
 * Sends the call and reads its answer. Never rejects: returns undefined when
 * the connection fails or the answer is incomplete after `timeoutMs`.
 */
export function callEngine(
  agent: Agent,
  call: EngineCall,
): Promise<EngineAnswer | undefined> {
  return new Promise((resolve) => {
    const { address, method, path, headers, body } = call;
    const [host, port] = address.split(":");
    const outgoing = request(
      { agent, host, port, method, path, headers },
      (answer) => {
        const chunks: Buffer[] = [];
        answer.on("data", (chunk: Buffer) => chunks.push(chunk));
        answer.on("error", () => settle(undefined));
        answer.on("end", () =>
          settle({
            status: answer.statusCode ?? 0,
            body: Buffer.concat(chunks).toString("utf8"),
          }));
      },
    );
    const timer = setTimeout(() => {
      settle(undefined);
      outgoing.destroy();
    }, call.timeoutMs);
    const settle = (result: EngineAnswer | undefined) => {
      clearTimeout(timer);
      resolve(result);
    };
    outgoing.on("error", () => settle(undefined));
    outgoing.end(body);
  });
}
