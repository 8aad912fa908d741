/**
 * A bounded record of the headers that a stand-in saw.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { flattenHeaders } from "./http_messages.ts";

/** One call as it arrived. */
export interface SeenRequest {
  readonly atMs: number;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
}

/** How every caller's key begins. */
const CALLER_KEY_PREFIX = "ebk_";

/** Keeps the newest calls and counts all of them. */
export class RequestRecord {
  readonly #requests: SeenRequest[] = [];
  readonly #limit: number;
  #count = 0;
  #withCallerKey = 0;

  constructor(limit: number) {
    this.#limit = limit;
  }

  add(request: IncomingMessage): void {
    const headers = flattenHeaders(request);
    const hasKey = Object.values(headers).some((value) =>
      value.includes(CALLER_KEY_PREFIX)
    );
    if (hasKey) this.#withCallerKey++;
    this.#requests[this.#count % this.#limit] = {
      atMs: Date.now(),
      method: request.method ?? "",
      path: request.url ?? "",
      headers,
    };
    this.#count++;
  }

  /** Calls so far, those with a caller's key in a header, and the newest. */
  read() {
    return {
      count: this.#count,
      withCallerKey: this.#withCallerKey,
      requests: this.#requests,
    };
  }
}
