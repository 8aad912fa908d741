/**
 * Exchanges records with the other daemons over HTTP, on loopback or between
 * VMs. One daemon of a failure domain reads the store for all, and a daemon that
 * can't reach the store gets its records from the others.
 *
 * @module
 */

import {
  Agent,
  createServer,
  get,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { ByteCollector } from "@endivebend/byte-buffers";
import { brandId } from "@endivebend/types";
import { BEFORE_FIRST, type LogPosition } from "./log_position.ts";
import type { KeyedRecord } from "./record_follower.ts";
import type { RecordChanges, RecordTable } from "./record_table.ts";

/** A record as it is sent between daemons; the value is in base64. */
type WireRecord = readonly [
  key: string,
  position: number,
  value: string | null,
];

/** Names `listedTo` of the answer; absent when only newer records are sent. */
const LISTED_TO_HEADER = "endivebend-listed-to";

/** A peer that does not answer must not delay the next pull for long. */
const PULL_TIMEOUT_MS = 500;
/** Largest answer of a peer, in bytes: the records of 1,000 servers are 1 MB. */
const MAX_PULL_BYTES = 8_388_608;

/** A peer's answer to a pull. */
interface PeerAnswer {
  readonly body: string;
  readonly listedTo: string | string[] | undefined;
}

/** Address to serve on, and the tables of records by topic. */
export interface RecordExchangeOptions {
  readonly ip: string;
  readonly port: number;
  readonly tables: ReadonlyMap<string, RecordTable>;
  failed(reason: string): void;
  /** Called with the server before it listens, for example to bound it. */
  prepareServer?(server: Server): void;
}

/** A running exchange. */
export class RecordExchange {
  readonly #options: RecordExchangeOptions;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 1 });
  readonly #server: Server;
  readonly #pullsInProgress = new Set<string>();

  constructor(options: RecordExchangeOptions) {
    this.#options = options;
    this.#server = createServer((request, response) =>
      this.#handleRequest(request, response)
    );
    this.#server.on("error", ({ message }) => options.failed(message));
    options.prepareServer?.(this.#server);
    this.#server.listen(options.port, options.ip);
  }

  /**
   * Fetches the records of a peer that are newer than the table's, or all of
   * them. Failures are reported to the `failed` option and not thrown. Returns
   * false when it failed or another pull of the topic runs.
   */
  async pull(
    topic: string,
    address: string,
    { all = false }: { readonly all?: boolean } = {},
  ): Promise<boolean> {
    const table = this.#options.tables.get(topic);
    if (table === undefined || this.#pullsInProgress.has(topic)) return false;
    this.#pullsInProgress.add(topic);
    try {
      const since = all ? BEFORE_FIRST : table.newest;
      const answer = await this.#fetch(address, `/${topic}?since=${since}`);
      table.applyChanges(readChanges(answer));
      return true;
    } catch (caught) {
      this.#options.failed(`pull from ${address}: ${String(caught)}`);
      return false;
    } finally {
      this.#pullsInProgress.delete(topic);
    }
  }

  close(): void {
    this.#agent.destroy();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #handleRequest(request: IncomingMessage, response: ServerResponse): void {
    // Node.js reads on to the end of a body unless the connection is closed.
    if (hasBody(request)) {
      response.writeHead(400, { Connection: "close" }).end();
      return;
    }
    const target = parseTarget(request.url ?? "/");
    const table = this.#options.tables.get(target?.topic ?? "");
    if (target === undefined || table === undefined) {
      response.writeHead(target === undefined ? 400 : 404).end();
      return;
    }
    const { records, listedTo } = table.changesSince(target.since);
    if (listedTo !== undefined) response.setHeader(LISTED_TO_HEADER, listedTo);
    response.end(JSON.stringify(records.map(toWire)));
  }

  #fetch(address: string, path: string): Promise<PeerAnswer> {
    return new Promise((resolve, reject) => {
      const [host, port] = address.split(":");
      const request = get(
        { agent: this.#agent, host, port, path },
        (response) => {
          const received = new ByteCollector({ maxBytes: MAX_PULL_BYTES });
          response.on("data", (chunk: Buffer) => {
            if (received.append(chunk)) return;
            request.destroy(
              new Error(`The peer sent more than ${MAX_PULL_BYTES} bytes`),
            );
          });
          response.on("error", reject);
          response.on("end", () => {
            clearTimeout(timer);
            if (response.statusCode === 200) {
              resolve({
                body: String(received.take()),
                listedTo: response.headers[LISTED_TO_HEADER],
              });
            } else {reject(
                new Error(
                  `The peer answered with status ${response.statusCode}`,
                ),
              );}
          });
        },
      );
      const timer = setTimeout(() => {
        request.destroy(
          new Error(
            "The peer did not answer in time; check that its daemon runs",
          ),
        );
      }, PULL_TIMEOUT_MS);
      request.on("error", (error) => {
        clearTimeout(timer);
        reject(error);
      });
    });
  }
}

/** Daemons that ask for records send none. */
function hasBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
}

/** The parts of `/TOPIC?since=POSITION`; undefined when it is no path. */
function parseTarget(
  target: string,
): { readonly topic: string; readonly since: number } | undefined {
  try {
    const { pathname, searchParams } = new URL(`http://peer${target}`);
    const since = Number(searchParams.get("since") ?? -1);
    return { topic: pathname.slice(1), since };
  } catch {
    return undefined;
  }
}

/** Throws when the body is no list of records. */
function readChanges({ body, listedTo }: PeerAnswer): RecordChanges {
  const records = JSON.parse(body) as readonly WireRecord[];
  const position = Number(listedTo ?? Number.NaN);
  return {
    records: records.map(fromWire),
    listedTo: Number.isSafeInteger(position)
      ? brandId<LogPosition>(position)
      : undefined,
  };
}

function toWire({ key, position, value }: KeyedRecord): WireRecord {
  return [key, position, value === undefined ? null : value.toString("base64")];
}

function fromWire([key, position, value]: WireRecord): KeyedRecord {
  return {
    key,
    position: brandId<LogPosition>(position),
    value: value === null ? undefined : Buffer.from(value, "base64"),
  };
}
