/**
 * Traces with a span for each hop of a request, exported over OTLP when the
 * settings name a collector.
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

/** Settings of {@link createTracing}. */
export interface TracingOptions {
  /** IP address and port of an OTLP/HTTP collector; without one, no spans. */
  readonly otlpAddress: string | undefined;
  /** Share of requests that are traced, from 0 to 1. */
  readonly sampleRatio: number;
  readonly attributes: Readonly<Record<string, string>>;
}

/** Options of {@link Tracing.startSpan}. */
export interface TraceSpanOptions {
  readonly parent?: TraceSpan;
  /** Request headers with the caller's trace context; unused with `parent`. */
  readonly headers?: Readonly<Record<string, string | string[] | undefined>>;
  readonly kind?: "server" | "client" | "internal";
  readonly attributes?: Readonly<Record<string, string | number | boolean>>;
}

/** A span that was started: one hop of a request. */
export interface TraceSpan {
  /** Headers that propagate the trace context to the next hop. */
  readonly headers: Readonly<Record<string, string>>;
  annotate(attributes: Readonly<Record<string, string | number>>): void;
  /** Ends the span, with an error status when `failure` is given. */
  end(failure?: unknown): void;
}

/** Starts spans and exports them. */
export interface Tracing {
  startSpan(name: string, options?: TraceSpanOptions): TraceSpan;
  shutdown(): Promise<void>;
}

const SPAN_KINDS = {
  server: SpanKind.SERVER,
  client: SpanKind.CLIENT,
  internal: SpanKind.INTERNAL,
};

const NOOP_SPAN: TraceSpan = { headers: {}, annotate() {}, end() {} };
const NOOP_TRACING: Tracing = {
  startSpan: () => NOOP_SPAN,
  shutdown: () => Promise.resolve(),
};

class RecordingSpan implements TraceSpan {
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

function parentContext(options: TraceSpanOptions): Context {
  if (options.parent instanceof RecordingSpan) return options.parent.context;
  return propagation.extract(context.active(), options.headers ?? {});
}

function startRecordingSpan(
  tracer: Tracer,
  options: TraceSpanOptions & { readonly name: string },
): TraceSpan {
  const parent = parentContext(options);
  const span = tracer.startSpan(options.name, {
    kind: SPAN_KINDS[options.kind ?? "internal"],
    attributes: { ...options.attributes },
  }, parent);
  return new RecordingSpan(span, parent);
}

/**
 * Creates the tracing of one daemon.
 *
 * @example
 * ```ts
 * const span = tracing.startSpan("engine", { parent, kind: "client" });
 * span.end();
 * ```
 */
export function createTracing(options: TracingOptions): Tracing {
  if (options.otlpAddress === undefined) return NOOP_TRACING;
  const url = `http://${options.otlpAddress}/v1/traces`;
  const sampler = new TraceIdRatioBasedSampler(options.sampleRatio);
  const provider = new NodeTracerProvider({
    resource: resourceFromAttributes({
      "service.name": "endivebend",
      ...options.attributes,
    }),
    // A caller's trace context must not decide whether a request is sampled.
    sampler: new ParentBasedSampler({
      root: sampler,
      remoteParentSampled: sampler,
    }),
    spanProcessors: [new BatchSpanProcessor(new OTLPTraceExporter({ url }))],
  });
  provider.register();
  const tracer = provider.getTracer("endivebend");
  return {
    startSpan: (name, spanOptions = {}) =>
      startRecordingSpan(tracer, { ...spanOptions, name }),
    shutdown: () => provider.shutdown(),
  };
}
