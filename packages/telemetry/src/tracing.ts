/**
 * Traces with a span per hop, exported over OTLP where settings say.
 *
 * @module
 */

import {
  type Context,
  context,
  propagation,
  type Span,
  SpanKind,
  SpanStatusCode,
  trace,
  type Tracer,
} from "@opentelemetry/api";
import { OTLPTraceExporter } from "@opentelemetry/exporter-trace-otlp-http";
import { resourceFromAttributes } from "@opentelemetry/resources";
import {
  BatchSpanProcessor,
  ParentBasedSampler,
  TraceIdRatioBasedSampler,
} from "@opentelemetry/sdk-trace-base";
import { NodeTracerProvider } from "@opentelemetry/sdk-trace-node";

/** Where traces go; without an address no span is recorded. */
export interface TracingOptions {
  /** IP number and port of an OTLP/HTTP collector. */
  readonly otlpAddress: string | undefined;
  /** Share of requests that are traced, from 0 to 1. */
  readonly sampleRatio: number;
  readonly attributes: Readonly<Record<string, string>>;
}

/** What starts a hop. */
export interface HopOptions {
  readonly parent?: Hop;
  /** Headers that carry the trace context of the hop before. */
  readonly headers?: Readonly<Record<string, string | string[] | undefined>>;
  readonly kind?: "server" | "client" | "internal";
  readonly attributes?: Readonly<Record<string, string | number | boolean>>;
}

/** One span: a hop of a request. */
export interface Hop {
  /** Headers that pass the trace context on to the next hop. */
  readonly headers: Readonly<Record<string, string>>;
  annotate(attributes: Readonly<Record<string, string | number>>): void;
  end(failure?: unknown): void;
}

/** Starts hops. */
export interface Tracing {
  startHop(name: string, options?: HopOptions): Hop;
  shutdown(): Promise<void>;
}

const SPAN_KINDS = {
  server: SpanKind.SERVER,
  client: SpanKind.CLIENT,
  internal: SpanKind.INTERNAL,
};

const SILENT_HOP: Hop = { headers: {}, annotate() {}, end() {} };
const SILENT_TRACING: Tracing = {
  startHop: () => SILENT_HOP,
  shutdown: () => Promise.resolve(),
};

class SpanHop implements Hop {
  readonly headers: Readonly<Record<string, string>>;
  readonly context: Context;
  readonly #span: Span;

  constructor(span: Span, parent: Context) {
    this.#span = span;
    this.context = trace.setSpan(parent, span);
    const headers: Record<string, string> = {};
    propagation.inject(this.context, headers);
    this.headers = headers;
  }

  annotate(attributes: Readonly<Record<string, string | number>>): void {
    this.#span.setAttributes(attributes);
  }

  end(failure?: unknown): void {
    if (failure !== undefined) {
      const message = String(failure);
      this.#span.setStatus({ code: SpanStatusCode.ERROR, message });
    }
    this.#span.end();
  }
}

function parentContext(options: HopOptions): Context {
  if (options.parent instanceof SpanHop) return options.parent.context;
  return propagation.extract(context.active(), options.headers ?? {});
}

function startSpanHop(
  tracer: Tracer,
  options: HopOptions & { readonly name: string },
): Hop {
  const parent = parentContext(options);
  const span = tracer.startSpan(options.name, {
    kind: SPAN_KINDS[options.kind ?? "internal"],
    attributes: { ...options.attributes },
  }, parent);
  return new SpanHop(span, parent);
}

/**
 * Makes the tracing of one daemon.
 *
 * @example
 * ```ts
 * const hop = tracing.startHop("engine", { parent, kind: "client" });
 * hop.end();
 * ```
 */
export function createTracing(options: TracingOptions): Tracing {
  if (options.otlpAddress === undefined) return SILENT_TRACING;
  const url = `http://${options.otlpAddress}/v1/traces`;
  const sampler = new TraceIdRatioBasedSampler(options.sampleRatio);
  const provider = new NodeTracerProvider({
    resource: resourceFromAttributes({
      "service.name": "endivebend",
      ...options.attributes,
    }),
    // A caller's own context must not decide how much is recorded.
    sampler: new ParentBasedSampler({
      root: sampler,
      remoteParentSampled: sampler,
    }),
    spanProcessors: [new BatchSpanProcessor(new OTLPTraceExporter({ url }))],
  });
  provider.register();
  const tracer = provider.getTracer("endivebend");
  return {
    startHop: (name, hop = {}) => startSpanHop(tracer, { ...hop, name }),
    shutdown: () => provider.shutdown(),
  };
}
