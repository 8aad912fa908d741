/**
 * Answers the load balancer's readiness probes, serves counters and histograms,
 * and tells operators where a request would go.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { StatusServer, StatusSources } from "@endivebend/front";
import type { TextMetrics } from "@endivebend/telemetry";
import { connectionBounds, limitConnections } from "./connection_limit.ts";
import { MAX_QUERY_BYTES, parseExplainQuery } from "./explain_query.ts";
import { hasBody } from "./incoming_request.ts";
import { closeAfter, discardBody, isLingering } from "./lingering_close.ts";
import type { PlatformSettings } from "./settings.ts";
import { PATHS } from "./wire_names.ts";

/** An explanation looks at all servers of a service, as a request does. */
const MAX_EXPLANATIONS_PER_S = 10;
const SECOND_MS = 1_000;
/** Probes, collectors and operators send what they ask at once. */
const QUERY_TIMEOUT_MS = 3_000;

/** Starts one HTTP server for readiness and one for metrics. */
export function serveStatus(
  settings: Pick<PlatformSettings, "readiness" | "metrics" | "processLimits">,
  sources: StatusSources & {
    readonly metrics: TextMetrics;
    nowMs(): number;
    /** Called for an explanation that threw. */
    failed(reason: string): void;
  },
): StatusServer {
  const readiness = createServer((request, response) => {
    if (isLingering(request.socket)) return discardBody(request);
    // Probes have no body; Node.js would read one to its end.
    if (hasBody(request)) closeAfter(request, response);
    const isReadinessPath = request.url === PATHS.ready;
    response.writeHead(isReadinessPath && sources.isReady() ? 200 : 503).end();
  }).listen(settings.readiness.port, settings.readiness.host);
  const rate = new ExplainRate();
  const metrics = createServer({
    requestTimeout: QUERY_TIMEOUT_MS,
    connectionsCheckingInterval: QUERY_TIMEOUT_MS,
  }, (request, response) => {
    if (isLingering(request.socket)) return discardBody(request);
    const isQuestion = request.method === "POST" &&
      request.url === PATHS.explainRoute;
    if (!isQuestion) {
      if (hasBody(request)) closeAfter(request, response);
      return void response.end(sources.metrics.text());
    }
    if (!rate.take(sources.nowMs())) {
      closeAfter(request, response);
      return answer(response, 429, TOO_MANY);
    }
    readQuery(request, (text) => explain(text, { response, sources }));
  }).listen(settings.metrics.port, settings.metrics.host);
  const bounds = connectionBounds("status", settings.processLimits);
  for (const server of [readiness, metrics]) {
    server.headersTimeout = QUERY_TIMEOUT_MS;
    limitConnections(
      server,
      bounds,
      (reason) => sources.metrics.count("closed_connections", { reason }),
    );
  }
  return {
    close() {
      readiness.close();
      metrics.close();
    },
  };
}

const TOO_MANY = { error: "Too many questions at once; ask again in a second" };
const TOO_LARGE = {
  error: `The question is larger than ${MAX_QUERY_BYTES} bytes; ` +
    "leave out segments of the prompt",
};

const FAILED = {
  error: "The explanation failed; see explain_failed in the log",
};

/** Bounds the explanations of each second. */
class ExplainRate {
  #second = Number.NEGATIVE_INFINITY;
  #count = 0;

  take(nowMs: number): boolean {
    const second = Math.floor(nowMs / SECOND_MS);
    if (second !== this.#second) this.#count = 0;
    this.#second = second;
    this.#count += 1;
    return this.#count <= MAX_EXPLANATIONS_PER_S;
  }
}

/** Calls back with the body once it is whole; undefined when it is too large. */
function readQuery(
  request: IncomingMessage,
  done: (text: string | undefined) => void,
): void {
  const chunks: Buffer[] = [];
  let bytes = 0;
  request.on("data", (chunk: Buffer) => {
    bytes += chunk.length;
    // One tiny chunk after another would cost more than its bytes.
    if (bytes > MAX_QUERY_BYTES || chunks.length > MAX_QUERY_BYTES / 64) {
      request.removeAllListeners("data").removeAllListeners("end");
      request.pause();
      return done(undefined);
    }
    chunks.push(chunk);
  });
  request.on("end", () => done(Buffer.concat(chunks).toString("utf8")));
}

function explain(
  text: string | undefined,
  { response, sources }: {
    readonly response: ServerResponse;
    readonly sources: Pick<StatusSources, "explain"> & {
      failed(reason: string): void;
    };
  },
): void {
  if (text === undefined) {
    // What is left of the body is not read.
    response.setHeader("connection", "close");
    return answer(response, 413, TOO_LARGE);
  }
  const parsed = parseExplainQuery(text);
  if (parsed.kind === "invalid") {
    const { field } = parsed;
    const error = `The field ${field} is missing or not valid; correct it`;
    return answer(response, 400, { error, field });
  }
  try {
    answer(response, 200, sources.explain(parsed.query));
  } catch (caught) {
    // The port serves operators only, and must not end the daemon.
    sources.failed(String(caught));
    answer(response, 500, FAILED);
  }
}

function answer(response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
