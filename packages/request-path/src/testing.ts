/**
 * Sample inputs and fakes for tests of the request path.
 *
 * @module
 */

import { MemoryBudget } from "@endivebend/byte-buffers";
import type { Clock, Scheduler } from "@endivebend/clock";
import { ServerPaths } from "@endivebend/forwarding";
import { CrashEvidence, PromptQuarantine } from "@endivebend/quarantine";
import {
  type BackendServerId,
  brandId,
  type FailureDomainId,
  type ModelName,
  type RequestId,
  type ServiceName,
  type TeamId,
  type VmId,
} from "@endivebend/types";
import type { RequestContext } from "./request_context.ts";
import type {
  AnswerHead,
  AttemptListener,
  AttemptOrder,
  CallerSink,
  ForwardOrder,
  LinkState,
  ListenState,
  Refusal,
  ServerClient,
} from "./ports.ts";
import { CrashGuard } from "./crash_guard.ts";
import { ServerAllowances } from "./server_allowances.ts";
import { ServerEndCheck } from "./server_end_check.ts";
import { ServerRegistry } from "./server_registry.ts";
import { WeightsProbes } from "./weights_probes.ts";
import type {
  ListedServer,
  PromptSegmentId,
  RequestDigest,
  RequestKind,
  Route,
  RoutedRequest,
  RouteName,
  SoftwareVersion,
  TeamRules,
  WeightsVersion,
} from "./types.ts";

export const MODEL = brandId<ModelName>("m");
export const SERVICE = brandId<ServiceName>("engines");

/** A clock and a scheduler that advance only on demand. */
export class TestTime implements Clock, Scheduler {
  nowMs = 1_000;
  #tasks: { readonly atMs: number; readonly task: () => void }[] = [];

  wallMs = () => this.nowMs;
  elapsedMs = () => this.nowMs;
  steadyMs = () => this.nowMs;

  after(delayMs: number, task: () => void): () => void {
    const entry = { atMs: this.nowMs + delayMs, task };
    this.#tasks.push(entry);
    return () => {
      this.#tasks = this.#tasks.filter((other) => other !== entry);
    };
  }

  advance(durationMs: number): void {
    const untilMs = this.nowMs + durationMs;
    for (;;) {
      const due = this.#tasks
        .filter(({ atMs }) => atMs <= untilMs)
        .sort((a, b) => a.atMs - b.atMs)[0];
      if (due === undefined) break;
      this.#tasks = this.#tasks.filter((other) => other !== due);
      this.nowMs = Math.max(this.nowMs, due.atMs);
      due.task();
    }
    this.nowMs = untilMs;
  }
}

export function listedServer(
  id: string,
  fields: Partial<ListedServer> = {},
): ListedServer {
  return {
    id: brandId<BackendServerId>(id),
    service: SERVICE,
    address: `10.0.0.1:${id.length}`,
    failureDomain: brandId<FailureDomainId>("a"),
    isLeaving: false,
    slots: 8,
    weights: new Map([[MODEL, brandId<WeightsVersion>(1)]]),
    softwareVersion: brandId<SoftwareVersion>("v1"),
    startedAtMs: 1,
    reportCount: 1,
    ...fields,
  };
}

export function route(kind: RequestKind, fields: Partial<Route> = {}): Route {
  return {
    name: brandId<RouteName>("r"),
    host: "bells.example",
    pathPrefix: "/",
    kind,
    timeoutMs: 6_000,
    targetMs: 800,
    maxGapMs: 400,
    maxAttempts: 2,
    urgency: 1,
    allowsAnonymous: false,
    destinations: [{ service: SERVICE, weight: 1 }],
    ...fields,
  };
}

export function team(fields: Partial<TeamRules> = {}): TeamRules {
  return {
    id: brandId<TeamId>("st-mary"),
    urgency: undefined,
    isIsolated: false,
    ratePerS: 0,
    burst: 0,
    unit: "tokens",
    defaultTokens: 200,
    ...fields,
  };
}

export function routedRequest(
  kind: RequestKind,
  fields: Partial<RoutedRequest> = {},
): RoutedRequest {
  const isModel = kind === "stream" || kind === "resumable_stream";
  return {
    requestId: brandId<RequestId>("q-1"),
    digest: brandId<RequestDigest>(fields.requestId ?? "q-1"),
    route: route(kind),
    service: SERVICE,
    team: undefined,
    work: isModel
      ? {
        model: MODEL,
        promptTokens: 9_000,
        maxOutputTokens: 40,
        prompt: [
          { id: brandId<PromptSegmentId>("rulebook"), tokens: 2_500 },
          { id: brandId<PromptSegmentId>("parish"), tokens: 3_800 },
          { id: brandId<PromptSegmentId>("own"), tokens: 2_700 },
        ],
      }
      : undefined,
    cost: 9_040,
    deadlineMs: 7_000,
    timeoutAtMs: 7_000,
    resumeAfter: undefined,
    takesUp: undefined,
    message: undefined,
    ...fields,
  };
}

/** An attempt that the test answers. */
export interface FakeAttempt {
  readonly order: AttemptOrder;
  readonly listener: AttemptListener;
  isAborted: boolean;
}

/** A forwarded request that the test answers. */
export interface FakeForward {
  readonly order: ForwardOrder;
  readonly listener: AttemptListener;
  isAborted: boolean;
  isPaused: boolean;
}

/** Collects attempts. */
export class FakeClient implements ServerClient {
  readonly attempts: FakeAttempt[] = [];
  readonly forwards: FakeForward[] = [];

  forward(order: ForwardOrder, listener: AttemptListener) {
    const forward: FakeForward = {
      order,
      listener,
      isAborted: false,
      isPaused: false,
    };
    this.forwards.push(forward);
    return {
      abort: () => {
        forward.isAborted = true;
      },
      pause: () => {
        forward.isPaused = true;
      },
      resume: () => {
        forward.isPaused = false;
      },
    };
  }

  start(order: AttemptOrder, listener: AttemptListener) {
    const attempt: FakeAttempt = { order, listener, isAborted: false };
    this.attempts.push(attempt);
    return {
      abort: () => {
        attempt.isAborted = true;
      },
      pause() {},
      resume() {},
    };
  }

  closeIdleConnections(): void {}

  /** Addresses at which nothing listens. */
  readonly closedAddresses = new Set<string>();

  checkListening(address: string) {
    const isClosed = this.closedAddresses.has(address);
    return Promise.resolve<ListenState>(isClosed ? "closed" : "listening");
  }

  checkAnswering({ address }: Pick<ListedServer, "address">) {
    const isClosed = this.closedAddresses.has(address);
    return Promise.resolve<LinkState>(isClosed ? "refused" : "answered");
  }

  get last(): FakeAttempt {
    return this.attempts.at(-1)!;
  }
}

/** Records what a caller receives. */
export class FakeCaller implements CallerSink {
  status: number | undefined;
  text = "";
  hasEnded = false;
  isAborted = false;
  refusal: Refusal | undefined;

  head({ status }: AnswerHead): void {
    this.status = status;
  }

  data(chunk: Buffer): boolean {
    this.text += chunk.toString();
    return true;
  }

  end(): void {
    this.hasEnded = true;
  }

  refuse(refusal: Refusal): void {
    this.refusal = refusal;
  }

  abortAnswer(): void {
    this.isAborted = true;
  }
}

export function answerHead(fields: Partial<AnswerHead> = {}): AnswerHead {
  return {
    status: 200,
    isNotRun: false,
    isMisdirected: false,
    isExpectedServer: undefined,
    hasProof: true,
    load: undefined,
    weights: undefined,
    limitPerS: undefined,
    bearsPerS: undefined,
    isLeaving: false,
    quietMs: undefined,
    message: undefined,
    ...fields,
  };
}

/** A context with two servers and everything that a run needs. */
export function testContext(
  fields: Partial<RequestContext> = {},
): RequestContext & {
  readonly time: TestTime;
  readonly registry: ServerRegistry;
  readonly client: FakeClient;
  readonly evidence: CrashEvidence;
} {
  const time = new TestTime();
  const registry = new ServerRegistry();
  registry.upsert(listedServer("one"));
  registry.upsert(listedServer("second"));
  const client = new FakeClient();
  const log = { decision() {} };
  const metrics = { count() {}, observeMs() {} };
  const evidence = new CrashEvidence();
  const paths = new ServerPaths({
    failureDomain: brandId<FailureDomainId>("a"),
    scheduler: { after: () => () => {} },
    nowMs: time.steadyMs,
    usable: (service) =>
      registry.usable(service, time.nowMs).map(({ listed }) => listed),
    listed: () => [...registry.all()].map(({ listed }) => listed),
    checkAnswering: (server) => client.checkAnswering(server),
    checked() {},
    peers: () => [],
    cutOff() {},
    restored() {},
  });
  return {
    time,
    paths,
    processCheck: { isFresh: () => true, check: () => Promise.resolve(true) },
    clock: time,
    scheduler: time,
    client,
    allowances: new ServerAllowances({
      registry,
      self: brandId<VmId>("vm-1"),
      daemons: () => [{ vm: brandId<VmId>("vm-1"), demandPerS: 1 }],
    }),
    crashGuard: new CrashGuard({
      endCheck: new ServerEndCheck({
        client,
        registry,
        scheduler: time,
        reachesAnother: () => Promise.resolve(true),
        log,
        metrics,
      }),
      evidence,
      quarantine: new PromptQuarantine({
        evidence,
        mayTry: () => true,
        changed() {},
      }),
      nowMs: time.steadyMs,
      crashSeen() {},
    }),
    failureDomain: brandId<FailureDomainId>("a"),
    namedWeights: () => [],
    weightsBoundMs: 8_000,
    maxOwnConnections: () => 50,
    tokensPerEvent: () => 4,
    cacheStores: () => [],
    log,
    metrics,
    memory: new MemoryBudget(67_108_864),
    weightsProbes: new WeightsProbes(() => 1),
    streamOrigins: {
      began() {},
      completed() {},
      find: () => ({
        kind: "version",
        version: brandId<SoftwareVersion>("v1"),
      }),
    },
    tryRetry: () => true,
    settleRetry() {},
    ended() {},
    ...fields,
    registry,
    evidence,
  } as ReturnType<typeof testContext>;
}
