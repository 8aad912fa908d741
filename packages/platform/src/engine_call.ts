/**
 * HTTP calls to the interfaces of engines and cache stores.
 *
 * @module
 */

import { type Agent, request } from "node:http";
import {
  ByteCollector,
  type MemoryBudget,
  paceReading,
} from "@endivebend/byte-buffers";
import {
  findFieldFault,
  findHeadFault,
  isIpAndPort,
} from "@endivebend/http-syntax";

/**
 * Largest answer that is read, in bytes. A list of 4,000 cache events has about
 * 400 KB.
 */
const MAX_ANSWER_BYTES = 4_194_304;

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
  /** What the answer takes its memory from. */
  readonly memory: MemoryBudget;
  /**
   * Whether the call may still be sent, checked when its connection is ready.
   * A process may have been paused since it decided to make the call.
   */
  readonly maySend?: () => boolean;
}

/** An answer that was read to its end; `body` is decoded as UTF-8. */
export interface EngineAnswer {
  readonly status: number;
  readonly body: string;
}

/**
 * Sends the call and reads its answer. Never rejects: returns undefined when
 * the connection fails, the answer is incomplete after `timeoutMs`, malformed or
 * larger than {@link MAX_ANSWER_BYTES}, or the call can't or may not be sent.
 */
export async function callEngine(
  agent: Agent,
  call: EngineCall,
): Promise<EngineAnswer | undefined> {
  if (!isIpAndPort(call.address)) return undefined;
  try {
    return await sendCall(agent, call);
  } catch {
    // Its headers have ids that others have written, and one can't be sent.
    return undefined;
  }
}

function sendCall(
  agent: Agent,
  call: EngineCall,
): Promise<EngineAnswer | undefined> {
  return new Promise((resolve) => {
    const { address, method, path, headers, body } = call;
    const [host, port] = address.split(":");
    const received = new ByteCollector({
      maxBytes: MAX_ANSWER_BYTES,
      budget: call.memory,
      use: "failure",
    });
    const outgoing = request(
      { agent, host, port, method, path, headers },
      (answer) => {
        answer.on("data", (chunk: Buffer) => {
          if (!received.append(chunk)) abandon();
        });
        paceReading(answer);
        answer.on("error", () => settle(undefined));
        answer.on("end", () => {
          const fault = findHeadFault(answer) ??
            findFieldFault(answer.rawTrailers);
          if (fault !== undefined) return abandon();
          settle({
            status: answer.statusCode ?? 0,
            body: received.take().toString("utf8"),
          });
        });
      },
    );
    const abandon = () => {
      settle(undefined);
      outgoing.destroy();
    };
    const timer = setTimeout(abandon, call.timeoutMs);
    const settle = (result: EngineAnswer | undefined) => {
      clearTimeout(timer);
      received.clear();
      resolve(result);
    };
    outgoing.on("error", () => settle(undefined));
    const { maySend } = call;
    if (maySend === undefined) {
      outgoing.end(body);
      return;
    }
    outgoing.once("socket", (socket) => {
      const send = () => {
        if (maySend()) outgoing.end(body);
        else abandon();
      };
      if (socket.connecting) socket.once("connect", send);
      else send();
    });
  });
}
