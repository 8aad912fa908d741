/**
 * The engine stand-in over HTTP.
 *
 * @module
 */

import { HttpFailure, readJsonObject, sendJson } from "../http_messages.ts";
import { RequestRecord } from "../request_record.ts";
import {
  type Call,
  delay,
  type StandIn,
  StandInServer,
} from "../stand_in_server.ts";
import { cacheRoutes } from "./cache_routes.ts";
import { ChunkFaults } from "./chunk_faults.ts";
import { Completion } from "./completion.ts";
import { CompletionOutput } from "./completion_output.ts";
import {
  type CompletionRequest,
  parseCompletionRequest,
} from "./completion_request.ts";
import { parseOrder } from "./engine_orders.ts";
import {
  type EngineFaults,
  type EngineOptions,
  type EngineTuning,
  tuningOf,
} from "./engine_options.ts";
import { Incarnation } from "./incarnation.ts";
import { fetchBlocks } from "./kv_transfer.ts";

/** A running engine stand-in. */
export interface EngineStandIn extends StandIn {
  readonly faults: Readonly<EngineFaults>;
  readonly tuning: Readonly<EngineTuning>;
  /** The id of the present incarnation. */
  incarnation(): string;
  weightsVersion(): string;
  cachedBlocks(): readonly string[];
  /** What `GET /record` returns. */
  record(): EngineRecord;
}

/** What an engine saw so far. */
export interface EngineRecord {
  readonly completions: number;
  readonly cancelled: number;
  readonly abandoned: number;
  readonly resumeMismatches: number;
  readonly orders: readonly unknown[];
  readonly seen: ReturnType<RequestRecord["read"]>;
}

const DEFAULT_CACHE_BLOCKS = 512;
const RECORDED_REQUESTS = 2000;

class Engine {
  readonly tuning: EngineTuning;
  readonly faults: EngineFaults = {
    refuse: false,
    drainingRefusal: false,
    crossAnswers: 0,
    duplicateChunk: 0,
    dropChunk: 0,
  };
  readonly server: StandInServer;
  readonly #counts = {
    completions: 0,
    cancelled: 0,
    abandoned: 0,
    resumeMismatches: 0,
  };
  readonly #seen: RequestRecord;
  readonly #chunkFaults = new ChunkFaults(this.faults);
  readonly #options: EngineOptions;
  present: Incarnation;

  constructor(options: EngineOptions) {
    this.#options = options;
    this.tuning = tuningOf(options);
    this.#seen = new RequestRecord(
      options.recordedRequests ?? RECORDED_REQUESTS,
    );
    this.present = this.#startIncarnation();
    this.server = new StandInServer({
      ...cacheRoutes(this),
      "POST /v1/completions": (call) => this.#complete(call, false),
      "POST /v1/chat/completions": (call) => this.#complete(call, true),
      "POST /v1/requests/:id/cancel": (call) => this.#cancel(call),
      "GET /v1/models": ({ response }) =>
        sendJson(response, 200, {
          body: { object: "list", data: this.present.models() },
        }),
      "GET /v1/load": ({ response }) =>
        sendJson(response, 200, { body: this.present.loadReport() }),
      "POST /v1/orders": (call) => this.#order(call),
      "GET /v1/orders": ({ response }) =>
        sendJson(response, 200, {
          body: { last: this.present.orders.last ?? null },
        }),
    }, this);
    this.server.intercept = (call) => this.#beforeCall(call);
  }

  readControl(): unknown {
    const { id: incarnation, weightsVersion } = this.present;
    return { ...this.tuning, ...this.faults, incarnation, weightsVersion };
  }

  readRecord(): EngineRecord {
    const orders = this.present.orders.all();
    return { ...this.#counts, orders, seen: this.#seen.read() };
  }

  async applyControl(fields: Record<string, unknown>): Promise<void> {
    for (const [name, value] of Object.entries(fields)) {
      if (name === "crash") await this.#crash(value);
      else if (name === "silence") this.server.silenceConnections();
      else if (name in this.faults) {
        Object.assign(this.faults, { [name]: value });
      } else if (name in this.tuning) {
        Object.assign(this.tuning, { [name]: value });
      } else throw new HttpFailure(400, `Unknown control field ${name}`);
    }
    if (this.faults.refuse) this.server.stopListening();
    else if (!("crash" in fields)) await this.server.listenAgain();
  }

  /** Drops all connections and state; listens again after a time. */
  async #crash(value: unknown): Promise<void> {
    const { downMs } = { downMs: 0, ...(value as { downMs?: number }) };
    this.present.scheduler.clear();
    this.present = this.#startIncarnation();
    this.server.stopListening();
    this.server.destroyConnections();
    if (downMs === 0) return await this.server.listenAgain();
    void delay(downMs).then(() => this.server.listenAgain());
  }

  #startIncarnation(): Incarnation {
    const { model, weightsVersion, cacheBlocks, platformAddress } =
      this.#options;
    return new Incarnation({
      model: model ?? "chime-llm",
      weightsVersion: weightsVersion ?? "w1",
      cacheBlocks: cacheBlocks ?? DEFAULT_CACHE_BLOCKS,
      platformAddress,
      tuning: this.tuning,
      counts: this.#counts,
    });
  }

  #beforeCall({ request, response }: Call): boolean {
    this.#seen.add(request);
    response.setHeader("x-incarnation", this.present.id);
    response.setHeader("x-weights-version", this.present.weightsVersion);
    return false;
  }

  async #complete(call: Call, isChat: boolean): Promise<void> {
    const { request, response } = call;
    const body = await readJsonObject(request);
    if (this.faults.drainingRefusal) {
      return sendJson(response, 503, {
        body: { error: { message: "This backend server is leaving" } },
        headers: { "x-leaving": "1" },
      });
    }
    const completion = parseCompletionRequest(body, { isChat });
    const { present } = this;
    requireModel(present, completion.model);
    this.#counts.completions++;
    await this.#importBlocks(completion, present);
    if (!response.destroyed && this.present === present) {
      this.#enqueue(completion, call);
    }
  }

  #enqueue(completion: CompletionRequest, { response }: Call): void {
    const { present } = this;
    const output = new CompletionOutput(completion, {
      response,
      faults: this.#chunkFaults,
    });
    const sequence = new Completion(completion, { output, host: present });
    response.once("close", () => {
      if (response.writableFinished) return;
      if (present.scheduler.remove(sequence)) this.#counts.abandoned++;
    });
    present.scheduler.add(sequence);
  }

  async #importBlocks(
    { kvImport, cacheSalt }: CompletionRequest,
    present: Incarnation,
  ): Promise<void> {
    if (kvImport === undefined) return;
    const { cache } = present;
    const salt = cacheSalt;
    const fetched = await fetchBlocks(kvImport, { cache, salt });
    await delay(fetched.length * this.tuning.importMsPerBlock);
    const depth = cache.useDepth(kvImport.blocks, salt);
    const end = Math.max(depth, kvImport.blocks.indexOf(fetched.at(-1)!) + 1);
    present.storePrefix(kvImport.blocks.slice(0, end), salt);
  }

  #cancel({ params, response }: Call): void {
    const cancelled = this.present.scheduler.cancel(params.id ?? "");
    this.#counts.cancelled += cancelled;
    sendJson(response, 200, { body: { cancelled } });
  }

  async #order({ request, response }: Call): Promise<void> {
    const order = parseOrder(await readJsonObject(request));
    this.present.order(order);
    sendJson(response, 200, { body: { accepted: true, order } });
  }
}

function requireModel(present: Incarnation, model: string): void {
  if (present.weightsVersionOf(model) !== undefined) return;
  throw new HttpFailure(404, `Model ${model} is not loaded`, {
    code: "model_not_found",
  });
}

/**
 * Starts an engine stand-in.
 *
 * @example
 * ```ts
 * const engine = await startEngine({ model: "chime", decodeMsPerToken: 2 });
 * await engine.control({ crash: { downMs: 500 } });
 * await engine.close();
 * ```
 */
export async function startEngine(
  options: EngineOptions = {},
): Promise<EngineStandIn> {
  const engine = new Engine(options);
  const { server } = engine;
  await server.start(options);
  return {
    address: server.address,
    controlAddress: server.controlAddress,
    faults: engine.faults,
    tuning: engine.tuning,
    control: (fields) => engine.applyControl(fields),
    close: () => server.close(),
    incarnation: () => engine.present.id,
    weightsVersion: () => engine.present.weightsVersion,
    cachedBlocks: () => engine.present.cache.blocks(),
    record: () => engine.readRecord(),
  };
}
