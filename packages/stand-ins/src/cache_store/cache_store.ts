/**
 * The cache-store stand-in: blocks by hash in bounded memory.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { CacheEvents } from "../engine/cache_events.ts";
import {
  HttpFailure,
  queryNumber,
  readBody,
  sendJson,
} from "../http_messages.ts";
import {
  type Call,
  type ListenOptions,
  type StandIn,
  StandInServer,
} from "../stand_in_server.ts";

/** Settings of the cache-store stand-in. */
export interface CacheStoreOptions extends ListenOptions {
  /** Most bytes kept; the oldest blocks go first. */
  readonly maxBytes?: number;
}

const DEFAULT_MAX_BYTES = 64 * 1024 * 1024;

class CacheStore {
  readonly server: StandInServer;
  readonly #blocks = new Map<string, Buffer>();
  readonly #maxBytes: number;
  #bytes = 0;
  #refuse = false;
  readonly #events = new CacheEvents({ eventDelayMs: 0, dropEventEvery: 0 });
  readonly #incarnation = randomUUID();
  readonly #counts = { stored: 0, served: 0, missed: 0 };

  constructor(options: CacheStoreOptions) {
    this.#maxBytes = options.maxBytes ?? DEFAULT_MAX_BYTES;
    this.server = new StandInServer({
      "PUT /v1/kv/:block": (call) => this.#put(call),
      "GET /v1/kv/:block": (call) => this.#get(call),
      "GET /v1/kv": ({ response }) =>
        sendJson(response, 200, { body: { blocks: [...this.#blocks.keys()] } }),
      "GET /v1/cache/events": (call) => this.#readEvents(call),
      "GET /v1/cache/blocks": ({ response }) =>
        sendJson(response, 200, {
          body: {
            ...this.#tag(),
            seq: this.#events.lastSeq,
            blocks: [...this.#blocks.keys()],
          },
        }),
    }, this);
  }

  readControl(): unknown {
    return { refuse: this.#refuse, bytes: this.#bytes };
  }

  readRecord(): unknown {
    return this.#counts;
  }

  async applyControl(fields: Record<string, unknown>): Promise<void> {
    for (const [name, value] of Object.entries(fields)) {
      if (name === "silence") this.server.silenceConnections();
      else if (name === "refuse") this.#refuse = value === true;
      else throw new HttpFailure(400, `Unknown control field ${name}`);
    }
    if (this.#refuse) this.server.stopListening();
    else await this.server.listenAgain();
  }

  /** Blocks of all weights lie here; their hashes tell them apart. */
  #tag() {
    return { incarnation: this.#incarnation, weightsVersion: "" };
  }

  async #readEvents({ query, response }: Call): Promise<void> {
    const after = queryNumber(query, "after", { fallback: 0 });
    const waitMs = queryNumber(query, "waitMs", { fallback: 0 });
    if (waitMs > 0) await this.#events.waitFor(after, waitMs);
    const body = { ...this.#tag(), ...this.#events.read(after) };
    sendJson(response, 200, { body });
  }

  async #put({ request, response, params }: Call): Promise<void> {
    const bytes = await readBody(request);
    if (bytes.length > this.#maxBytes) {
      throw new HttpFailure(413, "Block is larger than the store");
    }
    this.#store(params.block ?? "", bytes);
    sendJson(response, 200, { body: { stored: true } });
  }

  #store(block: string, bytes: Buffer): void {
    this.#remove(block);
    this.#blocks.set(block, bytes);
    this.#bytes += bytes.length;
    this.#counts.stored++;
    this.#events.add("stored", [block]);
    for (const oldest of this.#blocks.keys()) {
      if (this.#bytes <= this.#maxBytes) break;
      this.#remove(oldest);
      this.#events.add("evicted", [oldest]);
    }
  }

  #remove(block: string): void {
    this.#bytes -= this.#blocks.get(block)?.length ?? 0;
    this.#blocks.delete(block);
  }

  #get({ response, params }: Call): void {
    const bytes = this.#blocks.get(params.block ?? "");
    if (bytes === undefined) {
      this.#counts.missed++;
      throw new HttpFailure(404, "No such block");
    }
    this.#counts.served++;
    response.writeHead(200, { "content-length": bytes.length });
    response.end(bytes);
  }
}

/**
 * Starts a cache-store stand-in.
 *
 * @example
 * ```ts
 * const store = await startCacheStore({ maxBytes: 1_000_000 });
 * await store.close();
 * ```
 */
export async function startCacheStore(
  options: CacheStoreOptions = {},
): Promise<StandIn> {
  const store = new CacheStore(options);
  await store.server.start(options);
  return store.server;
}
