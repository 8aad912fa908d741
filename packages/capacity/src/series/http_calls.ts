/**
 * Whole calls to engines and to the platform.
 *
 * @module
 */

import { createServer, type Server as HttpServer } from "node:http";
import {
  createPlatformClient,
  type PlatformClient,
} from "@endivebend/platform-client";
import { Pool } from "undici";
import { asyncTimeSeries, type Series } from "../measure.ts";
import {
  blocksAt,
  ENTRY_VMS,
  incarnationAt,
  vmList,
  WEIGHTS,
} from "../samples.ts";
import { type Call, callMany, CALLS, countBytes, listen } from "./loopback.ts";

interface Answers {
  readonly [path: string]: string;
}

function startHttp(answers: Answers): HttpServer {
  return createServer((request, response) => {
    const path = request.url?.split("?")[0] ?? "";
    response.setHeader("content-type", "application/json");
    response.end(answers[path] ?? "{}");
  });
}

function httpSeries<Client>(
  name: string,
  options: {
    readonly answers: Answers;
    readonly connect: (address: string) => Client;
    readonly call: Call<Client>;
  },
): Series[] {
  const { answers, connect, call } = options;
  const open = async () => {
    const server = startHttp(answers);
    const sentBytes = countBytes(server);
    const port = await listen(server);
    return { server, sentBytes, client: connect(`127.0.0.1:${port}`) };
  };
  const close = (server: HttpServer) => {
    server.closeAllConnections();
    server.close();
  };
  const time = asyncTimeSeries({
    name: `http.${name}_us`,
    per: "call, both sides",
    sizes: CALLS,
    prepare: async (size) => {
      const { server, client } = await open();
      return {
        work: () => callMany(size, () => call(client)),
        close: () => Promise.resolve(close(server)),
      };
    },
  });
  const bytes: Series = {
    name: `http.${name}_bytes`,
    unit: "bytes",
    per: "call, both directions",
    sizes: CALLS,
    run: async (size) => {
      const { server, client, sentBytes } = await open();
      await callMany(size, () => call(client));
      const sum = sentBytes();
      close(server);
      return sum;
    },
  };
  return [time, bytes];
}

async function getJson(pool: Pool, path: string): Promise<unknown> {
  const { body } = await pool.request({ path, method: "GET" });
  return JSON.parse(await body.text());
}

const LOAD = JSON.stringify({
  incarnation: incarnationAt(3),
  weightsVersion: WEIGHTS,
  runningRequests: 31,
  queuedRequests: 3,
  queuedTokens: 14_500,
  freeBlocks: 1_200,
  asOfMs: 1_796_000_000_000,
});

const EVENTS = JSON.stringify({
  incarnation: incarnationAt(3),
  weightsVersion: WEIGHTS,
  events: [{ seq: 1_000_000, kind: "stored", blocks: blocksAt(1, 1) }],
  nextSeq: 1_000_001,
});

const EMPTY_READ = JSON.stringify({
  records: [],
  firstOffset: 0,
  nextOffset: 15_330_000,
});

const connectPlatform = (address: string): PlatformClient =>
  createPlatformClient({ baseUrl: `http://${address}`, timeoutMs: 5_000 });

const connectEngine = (address: string) => new Pool(`http://${address}`);

const LIST_READS = 8;

/** One read of the VM list, its check by schema included. */
const vmListSeries: Series = {
  name: "http.vm_list_us",
  unit: "us",
  per: "listed engine, both sides",
  sizes: [3_000, 6_000, 12_000],
  run: async (engines) => {
    const text = JSON.stringify({
      asOfMs: 1_796_000_000_000,
      vms: vmList(ENTRY_VMS, engines),
    });
    const [time] = httpSeries("vm_list", {
      answers: { "/v1/vms": text },
      connect: connectPlatform,
      call: (client) => client.listVms(),
    });
    return await time!.run(LIST_READS) / LIST_READS;
  },
};

/** The series of this module. */
export const httpCallSeries: readonly Series[] = [
  ...httpSeries("engine_load", {
    answers: { "/v1/load": LOAD },
    connect: connectEngine,
    call: (pool) => getJson(pool, "/v1/load"),
  }),
  ...httpSeries("cache_events", {
    answers: { "/v1/cache/events": EVENTS },
    connect: connectEngine,
    call: (pool) => getJson(pool, "/v1/cache/events?after=1000000&waitMs=1000"),
  }),
  ...httpSeries("log_read", {
    answers: { "/v1/streams/configuration/records": EMPTY_READ },
    connect: connectPlatform,
    call: (client) =>
      client.read("configuration", {
        fromOffset: 15_330_000,
        waitMs: 5_000,
        limit: 1_000,
      }),
  }),
  vmListSeries,
];
