/**
 * The recorded form of a trace: JSON Lines, one header and then events in
 * order of time. `README.md` documents each field.
 *
 * @module
 */

/** An engine as the trace's deployment has it. */
export interface TraceEngine {
  readonly id: string;
  readonly domain: string;
  readonly cacheBlocks: number;
  readonly maxRunning: number;
  readonly chunkTokens: number;
  readonly stepBaseMs: number;
  readonly prefillMsPerToken: number;
  readonly decodeMsPerSequence: number;
}

/** The cache store of the deployment. */
export interface TraceStore {
  readonly id: string;
  readonly domain: string;
  readonly capacityBlocks: number;
  readonly putDelayMs: number;
}

/** Times of messages and transfers. */
export interface TraceNetwork {
  /** One way, between VMs of one failure domain. */
  readonly sameDomainMs: number;
  /** One way, between failure domains. */
  readonly otherDomainMs: number;
  readonly importSetupMs: number;
  readonly importMsPerBlock: number;
  /** Cache events and load reports reach their reader this late at least. */
  readonly eventDelayMs: number;
  /** Additional delay of cache events, exponential with this mean. */
  readonly eventJitterMs: number;
  /** Share of cache events that are lost. */
  readonly eventLossFraction: number;
  readonly loadLagMs: number;
}

/** A team with its rate and burst. */
export interface TraceTeam {
  readonly id: string;
  readonly rateTokensPerSecond: number;
  readonly burstTokens: number;
  /** Sends far more than its rate; left out of the worst-served team. */
  readonly heavy: boolean;
}

/** The first line of a trace. */
export interface TraceHeader {
  readonly kind: "header";
  readonly version: 1;
  readonly trace: string;
  readonly seed: number;
  readonly engines: readonly TraceEngine[];
  readonly store: TraceStore;
  readonly routers: readonly { readonly id: string; readonly domain: string }[];
  readonly teams: readonly TraceTeam[];
  readonly network: TraceNetwork;
  readonly ttftDeadlineMs: number;
  /** Requests before this time fill the caches and are not measured. */
  readonly warmupMs: number;
}

/** A part of a prompt that many requests share. */
export interface PromptLevel {
  readonly id: string;
  readonly tokens: number;
}

/** A request of a caller. */
export interface RequestEvent {
  readonly kind: "request";
  readonly atMs: number;
  readonly id: string;
  readonly team: string;
  readonly router: string;
  /** From the outermost to the request's own text. */
  readonly levels: readonly PromptLevel[];
  readonly outputTokens: number;
  /** Sent beyond the team's usual rate. */
  readonly excess: boolean;
}

/** A failure. */
export type FaultEvent =
  | {
    readonly kind: "engine_crash";
    readonly atMs: number;
    readonly engine: string;
    readonly downMs: number;
  }
  | {
    readonly kind: "events_lost";
    readonly atMs: number;
    readonly engine: string;
    readonly durationMs: number;
  }
  | {
    readonly kind: "routers_restart";
    readonly atMs: number;
    readonly routers: readonly string[];
    readonly downMs: number;
  };

/** Any line but the first. */
export type TraceEvent = RequestEvent | FaultEvent;

/** A whole trace. */
export interface Trace {
  readonly header: TraceHeader;
  readonly events: readonly TraceEvent[];
}

/**
 * Writes a trace as JSON Lines.
 *
 * @example
 * ```ts
 * await writeFile("trace.jsonl", formatTrace(trace));
 * ```
 */
export function formatTrace(trace: Trace): string {
  const lines = [trace.header, ...trace.events];
  return lines.map((line) => JSON.stringify(line) + "\n").join("");
}

/**
 * Reads a trace. Throws when the first line is no header of version 1.
 *
 * @example
 * ```ts
 * const trace = parseTrace(await readFile("trace.jsonl", "utf8"));
 * ```
 */
export function parseTrace(text: string): Trace {
  const lines = text.split("\n").filter((line) => line !== "");
  const [header, ...events] = lines.map((line) => JSON.parse(line));
  if (header?.kind !== "header" || header.version !== 1) {
    throw new Error("The trace does not start with a header of version 1");
  }
  return { header, events };
}

/**
 * The trace without what a team sent beyond its usual rate.
 *
 * @example
 * ```ts
 * const alone = withoutExcess(trace, "siegelwerk_alone");
 * ```
 */
export function withoutExcess(trace: Trace, name: string): Trace {
  const events = trace.events.filter((event) =>
    event.kind !== "request" || !event.excess
  );
  return { header: { ...trace.header, trace: name }, events };
}

/** Tokens of a request's prompt. */
export function promptTokensOf(request: RequestEvent): number {
  return request.levels.reduce((sum, level) => sum + level.tokens, 0);
}
