/**
 * Crowds of clients outside the limits, none of whose requests may run.
 *
 * @module
 */

import { HOST } from "./callers.ts";
import { chunked, type CrowdOptions } from "./client_crowd.ts";

const MB_20 = Buffer.alloc(20_000_000, "x");
const MB_20_CHUNKED = chunked({ bodyBytes: 20_000_000, chunkBytes: 65_536 });
const MB_4_CHUNKED = chunked({ bodyBytes: 4_000_000, chunkBytes: 65_536 });
const ONE_BYTE = chunked({ bodyBytes: 20_000, chunkBytes: 1 });
const LONG_FIELD = `X-Filler: ${"z".repeat(15_000)}\r\n`;
const CHUNKED_FIELD = "Transfer-Encoding: chunked\r\n";
const PIPELINED_REQUESTS = 30;

function head(path: string, fields: string): string {
  return `POST ${path} HTTP/1.1\r\nHost: ${HOST}\r\n${fields}\r\n`;
}

/** What each client of a crowd sends. */
export const DRAWN_CROWDS: readonly CrowdOptions["sends"][] = [
  () => [head("/unsafe/1", "Content-Length: 900000000\r\n"), MB_20],
  () => [head("/unsafe/1", CHUNKED_FIELD), MB_20_CHUNKED],
  () => [head("/unsafe/1", CHUNKED_FIELD), MB_4_CHUNKED],
  () => [head("/unsafe/1", CHUNKED_FIELD), ONE_BYTE],
  () => [head("/nowhere/1", CHUNKED_FIELD), MB_20_CHUNKED],
  () => [`POST /unsafe/1 HTTP/1.1\r\nHost: ${HOST}\r\n${LONG_FIELD}`],
  () => [
    head("/nowhere/1", `Content-Length: 0\r\n${LONG_FIELD}`)
      .repeat(PIPELINED_REQUESTS),
  ],
  () => [],
];
