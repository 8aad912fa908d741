/**
 * A fleet of front daemons in virtual time, with a store, model engines and
 * callers. Gossip, records and attempts take simulated delays; nothing opens a
 * socket.
 *
 * @module
 */

import { MemoryBudget } from "@endivebend/byte-buffers";
import type { Clock, Scheduler } from "@endivebend/clock";
import type {
  GossipTransport,
  KeyedRecord,
  RecordExchangeOptions,
  RecordSource,
} from "@endivebend/fleet";
import { BEFORE_FIRST, eraOf, logPosition, offsetOf } from "@endivebend/fleet";
import type { LogPosition } from "@endivebend/fleet";
import type {
  AnswerHead,
  AttemptListener,
  AttemptOrder,
  CallerSink,
  Configuration,
  ForwardedRun,
  ForwardedRuns,
  ForwardOrder,
  ForwardSink,
  LinkState,
  ListedServer,
  ListenState,
  PromptSegment,
  PromptSegmentId,
  Refusal,
  RequestDigest,
  RequestKind,
  RoutedRequest,
  RouteName,
  SoftwareVersion,
  TeamRules,
  WeightsVersion,
} from "@endivebend/request-path";
import { isRepeatable } from "@endivebend/request-path";
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
import { FrontDaemon, type FrontPorts, type ListenerContext } from "./mod.ts";
import type { OperatorRecord } from "./ports.ts";
import {
  type Draw,
  type GossipLinkOptions,
  GossipLinks,
} from "./testing_gossip_links.ts";
import {
  type CutForm,
  resetsOpen,
  ServerLinks,
  unansweredForMs,
} from "./testing_links.ts";
import {
  type LoadOptions,
  SimulatedRollout,
  type SimulatedWeights,
} from "./testing_rollout.ts";
import { StoreAccess, type StoreCutForm } from "./testing_store_access.ts";
import {
  type AnswerFault,
  readRollout,
  SimulatedStatuses,
} from "./testing_version_rollouts.ts";
import type { RolloutBounds } from "@endivebend/version-rollouts";

export const MODEL = brandId<ModelName>("m");
const SERVICE = brandId<ServiceName>("engines");
const PREFILL_TOKENS_PER_MS = 38.4;
const EVENT_INTERVAL_MS = 30;
const LINK_MS = 1;
/** Time that a daemon waits for an engine's answer to a report or an order. */
const ENGINE_CALL_TIMEOUT_MS = 700;
/** The API key of all requests; there may be no team that holds it. */
const KEY = "callers-key";
const CALLER_TIMEOUT_MS = 6_000;
const RUN_EVENTS = 12;
/** An event; its text is the engine's software version, or else its id. */
const EVENT = /id: (\d+)\ndata: (.*)\n\n/g;
const FIRST_VERSION = brandId<SoftwareVersion>("v1");
const TOKENS_PER_EVENT = 4;
const WEIGHTS_BOUND_MS = 8_000;
/** Time from the head of an answer until a deadly segment ends the engine. */
const CRASH_DELAY_MS = 40;
const RESTART_MS = 3_000;
/** The balancer takes a daemon that drains out after two failed checks. */
const TAKEN_OUT_MS = 2_000;
/** Time from the last message of a daemon that has drained to its end. */
const END_MS = 50;
export const DOMAINS = ["a", "b", "c", "d"].map((name) =>
  brandId<FailureDomainId>(name)
);

/** Time that advances only on demand; tasks run in order. */
export class VirtualTime implements Clock, Scheduler {
  nowMs = 0;
  readonly #tasksByMs = new Map<number, (() => void)[]>();

  wallMs = () => this.nowMs;
  elapsedMs = () => this.nowMs;
  steadyMs = () => this.nowMs;

  after(delayMs: number, task: () => void): () => void {
    const atMs = Math.ceil(this.nowMs + Math.max(0, delayMs));
    const tasks = this.#tasksByMs.get(atMs) ?? [];
    this.#tasksByMs.set(atMs, tasks);
    let isCancelled = false;
    tasks.push(() => {
      if (!isCancelled) task();
    });
    return () => {
      isCancelled = true;
    };
  }

  async advance(durationMs: number): Promise<void> {
    const untilMs = this.nowMs + durationMs;
    while (this.nowMs <= untilMs) {
      const tasks = this.#tasksByMs.get(this.nowMs) ?? [];
      // Tasks may add others for the same millisecond.
      for (const task of tasks) task();
      this.#tasksByMs.delete(this.nowMs);
      if (tasks.length > 0) await new Promise(setImmediate);
      if (this.#tasksByMs.has(this.nowMs)) continue;
      if (this.nowMs === untilMs) return;
      this.nowMs += 1;
    }
  }
}

/** A record, and when it was written. */
interface StoredRecord extends KeyedRecord {
  readonly atMs: number;
}

/** Topics whose writers write again what a restore lost. */
const REWRITTEN_TOPICS = ["operator", "servers"];
/** Topic of the versions that began streams. */
export const ORIGIN_TOPIC = "stream-origins";
/** Time without reports after which the entry of a server lapses. */
const LAPSE_MS = 3_600;

/** Keyed topics with offsets. */
class FakeStore {
  isDown = false;
  era = 1;
  /** Time until a call is answered. */
  callMs = 4;
  readonly #time: VirtualTime;
  readonly #topics = new Map<string, StoredRecord[]>();
  /** The first offset of each topic that is not deleted. */
  readonly #trimmed = new Map<string, number>();
  readonly #waiting = new Set<(isLost: boolean) => void>();

  constructor(time: VirtualTime) {
    this.#time = time;
  }

  put(topic: string, key: string, value: unknown): number {
    const records = this.#records(topic);
    const bytes = value === undefined
      ? undefined
      : Buffer.from(JSON.stringify(value));
    records.push({
      key,
      value: bytes,
      position: logPosition(this.era, records.length),
      atMs: this.#time.nowMs,
    });
    for (const wake of [...this.#waiting]) wake(false);
    return records.length - 1;
  }

  /**
   * Goes away and comes back after `awayMs` with its state of `copyAgeMs`
   * before; then the operator and the engines write again what was lost.
   */
  restore(drill: {
    readonly copyAgeMs: number;
    readonly awayMs: number;
    /** Time after the return at which lost records are written again. */
    readonly rewriteMs?: number;
  }): void {
    const copiedAtMs = this.#time.nowMs - drill.copyAgeMs;
    this.#trimmed.clear();
    this.isDown = true;
    for (const wake of [...this.#waiting]) wake(true);
    this.#time.after(drill.awayMs, () => {
      this.era += 1;
      this.isDown = false;
      for (const topic of this.#topics.keys()) {
        this.#rewind(topic, copiedAtMs, drill.rewriteMs ?? 0);
      }
    });
  }

  #rewind(topic: string, copiedAtMs: number, rewriteMs: number): void {
    const records = this.#records(topic);
    const newest = new Map(records.map((record) => [record.key, record]));
    const kept = records.filter(({ atMs }) => atMs <= copiedAtMs);
    this.#topics.set(
      topic,
      kept.map((record, offset) => ({
        ...record,
        position: logPosition(this.era, offset),
      })),
    );
    if (!REWRITTEN_TOPICS.includes(topic)) return;
    for (const { key, value, atMs } of newest.values()) {
      if (atMs <= copiedAtMs) continue;
      const write = () =>
        this.put(topic, key, value && JSON.parse(value.toString()));
      // Nobody removes the record of a writer that has gone; it lapses.
      this.#time.after(value === undefined ? LAPSE_MS : rewriteMs, write);
    }
  }

  /** Loses every entry of a server, as if it had never been written. */
  forget(server: string): void {
    const kept = this.#records("servers").filter(({ key }) => key !== server);
    this.#topics.set("servers", kept);
  }

  /** The newest value of each key. */
  values(topic: string): Map<string, unknown> {
    const values = new Map<string, unknown>();
    for (const { key, value } of this.#records(topic)) {
      if (value === undefined) values.delete(key);
      else values.set(key, JSON.parse(value.toString()));
    }
    return values;
  }

  source(topic: string): RecordSource {
    const era = () => this.era;
    return {
      get era() {
        return era();
      },
      newest: async () => {
        await this.call();
        const records = this.#records(topic);
        const newest = new Map(records.map((record) => [record.key, record]));
        return {
          records: [...newest.values()].filter(({ value }) =>
            value !== undefined
          ),
          next: logPosition(this.era, records.length),
        };
      },
      read: async (from, waitMs) => {
        await this.call();
        const fromOffset = offsetOf(from);
        if (this.#records(topic).length === fromOffset) {
          await this.#change(waitMs);
        }
        const records = this.#records(topic);
        if (eraOf(from) !== this.era || fromOffset > records.length) {
          return { kind: "gap" };
        }
        return {
          kind: "records",
          records: records.slice(fromOffset),
          next: logPosition(this.era, records.length),
        };
      },
    };
  }

  /** Appends a record without a key. */
  append(topic: string, value: Buffer): LogPosition {
    const records = this.#records(topic);
    const position = logPosition(this.era, records.length);
    records.push({ key: "", value, position, atMs: this.#time.nowMs });
    return position;
  }

  /** Deletes the records before the offset. */
  trim(topic: string, before: number): void {
    this.#trimmed.set(topic, before);
  }

  /** Number of records without a key that are not deleted. */
  countKept(topic: string): number {
    return this.#records(topic).length - (this.#trimmed.get(topic) ?? 0);
  }

  /** Reads the records from an offset on that are not deleted. */
  readFrom(topic: string, offset: number) {
    const records = this.#records(topic);
    const first = Math.max(offset, this.#trimmed.get(topic) ?? 0);
    const read = records.slice(first).flatMap(({ value }) => value ?? []);
    const next = logPosition(this.era, Math.max(offset, records.length));
    return { records: read, next, isEnd: true };
  }

  /** Resolves when the store has answered a call. */
  async call(): Promise<void> {
    await this.wait(this.callMs);
    if (this.isDown) throw new Error("The store is down");
  }

  wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => this.#time.after(durationMs, resolve));
  }

  #change(waitMs: number): Promise<void> {
    return new Promise((resolve, reject) => {
      const wake = (isLost: boolean) => {
        this.#waiting.delete(wake);
        cancel();
        if (isLost) reject(new Error("The store is down"));
        else resolve();
      };
      const cancel = this.#time.after(waitMs, () => wake(false));
      this.#waiting.add(wake);
    });
  }

  #records(topic: string): StoredRecord[] {
    const records = this.#topics.get(topic) ?? [];
    this.#topics.set(topic, records);
    return records;
  }
}

/** An attempt that has reached an engine. */
export interface Arrival {
  readonly atMs: number;
  readonly vm: VmId;
  readonly engine: string;
  /** The start of the engine's process. */
  readonly startedAtMs: number;
  readonly requestId: RequestId;
  readonly segments: readonly string[];
  readonly body: string;
  /** Whether the engine has refused to run it. */
  readonly isTurnedAway: boolean;
  /** The weights that the engine has. */
  readonly weights: number;
  /** The weights that the request asks for. */
  readonly expects: number | undefined;
}

/** A run that an engine has begun with its first token, after a wait there. */
export interface BegunRun {
  readonly atMs: number;
  readonly vm: VmId;
  readonly engine: string;
  readonly requestId: RequestId;
  /** The weights that the engine has. */
  readonly weights: number;
}

/** An answer of an engine that says that it leaves, as it came to a VM. */
export interface LeavingAnswer {
  readonly atMs: number;
  readonly vm: VmId;
  readonly engine: string;
  readonly startedAtMs: number;
}

interface RunningAttempt {
  readonly vm: VmId;
  readonly requestId: RequestId;
  readonly listener: AttemptListener;
  isOver: boolean;
  /** Whether it is on its way to an engine that it can't reach yet. */
  isHeld?: boolean;
}

/** A simulated engine. */
export interface Engine extends SimulatedWeights {
  listed: ListedServer;
  isUp: boolean;
  /** When the prompts that wait are prefilled. */
  prefilledAtMs: number;
  /** The limit that its answers name. */
  limitPerS: number | undefined;
  /** It turns requests away and asks for quiet for so long. */
  asksForQuietMs: number | undefined;
  /** Whether its answers say that it leaves. */
  saysThatItLeaves: boolean;
  /** Attempts that are sent to it arrive then at the earliest. */
  heldUntilMs: number;
  /** Requests that wait there begin then at the earliest. */
  beginsFromMs: number;
  readonly attempts: Set<RunningAttempt>;
  /** The most attempts that it had at a time. */
  peakAttempts: number;
}

/** A call to the log of the versions that began streams. */
export interface OriginCall {
  readonly atMs: number;
  readonly vm: VmId;
  readonly kind: "read" | "append" | "trim";
}

/** What became of a request. */
export interface Outcome {
  readonly requestId: RequestId;
  readonly sentAtMs: number;
  readonly daemon: number;
  readonly segments: readonly string[];
  readonly body: string;
  /** The events that the caller got, with the versions that wrote them. */
  readonly events: { readonly id: number; readonly version: string }[];
  begunAtMs: number | undefined;
  hasEnded: boolean;
  isCut: boolean;
  refusal: Refusal | undefined;
  refusedAtMs: number | undefined;
  isOverLimit: boolean;
}

/** Settings of a simulated fleet. */
export interface FleetOptions {
  readonly daemons: number;
  readonly engines: number;
  readonly kind?: RequestKind;
  /** Whether calls have no prompt; streams always have one. */
  readonly isPlain?: boolean;
  /** Attempts of a request that may be repeated; 2 by default. */
  readonly maxAttempts?: number;
  /** Limit of the team whose key all requests bear; they bear none by default. */
  readonly teamLimit?: Pick<TeamRules, "ratePerS" | "burst">;
  /** Requests by which teams may exceed their limit in a window. */
  readonly teamSlack?: number;
  /** Requests that an engine runs at a time; 128 by default. */
  readonly slots?: number;
  /** Connections that an engine accepts from all daemons; 600 by default. */
  readonly maxConnections?: number;
  /** Whether a daemon brings engines to the weights that are named. */
  readonly rollsOut?: boolean;
  /** No request may begin on older weights this long after newer were named. */
  readonly weightsBoundMs?: number;
  /** Loads that begin once an engine's runs have ended. */
  readonly loads?: LoadOptions;
  /** Draws what is left to chance; required by the options below. */
  readonly draw?: Draw;
  /** Time within which all daemons start; they start at once by default. */
  readonly startWithinMs?: number;
  readonly gossipLinks?: GossipLinkOptions;
  /** Bounds of version rollouts; there are none by default. */
  readonly rolloutBounds?: RolloutBounds;
  /** Routes of the paths with these prefixes, besides that of all others. */
  readonly routes?: readonly string[];
}

const WHOLE_GOSSIP_LINKS: GossipLinkOptions = {
  lostPerMille: 0,
  minDelayMs: LINK_MS,
  maxDelayMs: LINK_MS,
};

/** Daemons, engines, store and callers in one virtual time. */
export class TestFleet {
  readonly time = new VirtualTime();
  readonly store = new FakeStore(this.time);
  /** Prompts with one of these segments end their engine. */
  readonly deadlySegments = new Set<string>();
  /** Requests with one of these bodies end their engine. */
  readonly deadlyBodies = new Set<string>();
  /** Crashes by a request with a deadly body. */
  readonly deadlyCrashes: { readonly atMs: number; readonly body: string }[] =
    [];
  readonly arrivals: Arrival[] = [];
  readonly begunRuns: BegunRun[] = [];
  readonly leavingAnswers: LeavingAnswer[] = [];
  readonly outcomes: Outcome[] = [];
  /** Draws whether an engine breaks an answer off; set while engines do. */
  breaksAnswer: (() => boolean) | undefined;
  /** What is wrong with an engine's answer to a request on a route. */
  answerFault: (engine: Engine, route: string) => AnswerFault | undefined =
    () => undefined;
  /** The status records of version rollouts. */
  readonly statuses = new SimulatedStatuses(this.time);
  /** Called for each request that an engine has as it ends. */
  onLoss: (engine: Engine, requestId: RequestId) => void = () => {};
  readonly originCalls: OriginCall[] = [];
  /** Set while engines are brittle: what they bear, and let wait. */
  brittle: { readonly bearsPerS: number; readonly room: number } | undefined;
  /** When brittle engines have fallen over. */
  readonly fallAtMs: number[] = [];
  readonly #rejectedAtMs = new Map<Engine, number[]>();
  readonly crashAtMs: number[] = [];
  /** Draws whether an engine resets a request's connection without a byte. */
  resetsRequest: (() => boolean) | undefined;
  /** Questions by which daemons found out whether they reach engines. */
  readonly linkChecks: { readonly atMs: number; readonly vm: VmId }[] = [];
  readonly steps: Record<string, unknown>[] = [];
  readonly links = new ServerLinks(this.time);
  readonly rollout: SimulatedRollout;
  readonly #engines = new Map<string, Engine>();
  readonly #enginesByAddress = new Map<string, Engine>();
  readonly #daemons: SimulatedDaemon[] = [];
  readonly #daemonsByAddress = new Map<string, SimulatedDaemon>();
  readonly #gossipLinks: GossipLinks;
  readonly #eventsByRequest = new Map<RequestId, number>();
  readonly #options: FleetOptions;
  #requestsHeldUntilMs = 0;
  #nextEngine = 0;
  #startedEngines = 0;
  #nextRequest = 0;

  constructor(options: FleetOptions) {
    this.#options = options;
    const draw = options.draw ?? ((from) => from);
    this.#gossipLinks = new GossipLinks(
      this.time,
      draw,
      options.gossipLinks ?? WHOLE_GOSSIP_LINKS,
    );
    this.rollout = this.#createRollout();
    this.configure(1);
    for (let index = 0; index < options.engines; index++) {
      this.#addEngine(`10.9.0.${index + 1}:80`, FIRST_VERSION);
    }
    for (let index = 0; index < options.daemons; index++) {
      const delayMs = draw(0, options.startWithinMs ?? 0);
      if (delayMs === 0) this.startDaemon(index);
      else this.time.after(delayMs, () => this.startDaemon(index));
    }
  }

  #createRollout(): SimulatedRollout {
    const { time } = this;
    return new SimulatedRollout({
      get nowMs() {
        return time.nowMs;
      },
      after: (delayMs, task) => time.after(delayMs, task),
      callEngine: (vm, address) => this.#callEngine(vm, address),
      hasRuns: (state) => (state as Engine).attempts.size > 0,
    }, this.#options.loads);
  }

  async #callEngine(vm: VmId, address: string): Promise<Engine | undefined> {
    const cut = this.links.cutOf(vm, address);
    if (cut === undefined) {
      await this.store.wait(2 * LINK_MS);
      return this.#engineAt(address);
    }
    await this.store.wait(unansweredForMs(cut, ENGINE_CALL_TIMEOUT_MS));
    return undefined;
  }

  /** Starts the daemon, or starts it again with nothing remembered. */
  startDaemon(index: number): void {
    const daemon = new SimulatedDaemon(this, index);
    this.#daemons[index] = daemon;
    this.#daemonsByAddress.set(daemon.gossipAddress, daemon);
    this.#daemonsByAddress.set(daemon.recordAddress, daemon);
    this.#daemonsByAddress.set(daemon.forwardAddress, daemon);
  }

  /** Whether the daemon takes callers. */
  isReady(index: number): boolean {
    return this.isRunning(index) &&
      this.#daemons[index]?.revision !== undefined;
  }

  /** When the daemon's process started. */
  startedAtMs(index: number): number {
    return this.#daemons[index]?.startedAtMs ?? 0;
  }

  isRunning(index: number): boolean {
    return this.#daemons[index]?.isAlive === true;
  }

  /** Closes the connections of a daemon that has ended. */
  closeConnections(vm: VmId): void {
    for (const { attempts } of this.#engines.values()) {
      for (const attempt of attempts) {
        if (attempt.vm !== vm) continue;
        attempt.isOver = true;
        attempts.delete(attempt);
      }
    }
  }

  /** Ends the daemon without notice; its requests end with it. */
  killDaemon(index: number): void {
    this.#daemons[index]?.kill();
  }

  /** Whether the balancer sends callers to the daemon. */
  takesCallers(index: number): boolean {
    return this.#daemons[index]?.takesCallers === true;
  }

  /** Sends SIGTERM to the daemon, which ends when it has drained. */
  stopDaemon(index: number, ended: () => void = () => {}): void {
    this.#daemons[index]?.ended.push(ended);
    this.#daemons[index]?.stop();
  }

  /** Stops the daemon's process for a while; what reaches it waits. */
  freezeDaemon(index: number, durationMs: number): void {
    this.#daemons[index]?.freeze(durationMs);
  }

  /** Holds up requests on their way to all daemons. */
  holdRequests(durationMs: number): void {
    this.#requestsHeldUntilMs = this.time.nowMs + durationMs;
  }

  /** The operator stores a configuration. */
  configure(revision: number): void {
    this.store.put("operator", "config", { revision });
  }

  /** The operator names weights of the model. */
  nameWeights(weights: number): void {
    this.store.put("operator", "weights", { weights });
  }

  readOperatorRecord(record: KeyedRecord): OperatorRecord {
    if (record.key === "config") {
      const configuration = this.readConfiguration(record);
      return { kind: "configuration", configuration };
    }
    const rollout = readRollout(record);
    if (rollout !== undefined) return rollout;
    const { weights } = JSON.parse(String(record.value)) as {
      readonly weights: number;
    };
    return {
      kind: "weights",
      model: MODEL,
      weights: brandId<WeightsVersion>(weights),
    };
  }

  get weightsBoundMs(): number {
    return this.#options.weightsBoundMs ?? WEIGHTS_BOUND_MS;
  }

  get rollsOut(): boolean {
    return this.#options.rollsOut === true;
  }

  /** The revision of the configuration in force at the daemon. */
  revisionAt(daemon: number): number | undefined {
    return this.#daemons[daemon]?.revision;
  }

  readConfiguration({ value }: KeyedRecord): Configuration {
    const kind = this.#options.kind ?? "resumable_stream";
    const prefixes = [...this.#options.routes ?? [], "/"];
    const { revision } = JSON.parse(String(value)) as { revision: number };
    return {
      revision,
      routes: prefixes.map((pathPrefix) => ({
        name: brandId<RouteName>(pathPrefix === "/" ? "draft" : pathPrefix),
        host: "bells.example",
        pathPrefix,
        kind,
        timeoutMs: CALLER_TIMEOUT_MS,
        targetMs: 800,
        maxGapMs: 400,
        maxAttempts: isRepeatable(kind) ? this.#options.maxAttempts ?? 2 : 1,
        urgency: 1,
        allowsAnonymous: true,
        destinations: [{ service: SERVICE, weight: 1 }],
      })),
      services: [{
        name: SERVICE,
        maxConnections: this.#options.maxConnections ?? 600,
        tokensPerEvent: TOKENS_PER_EVENT,
      }],
      cacheStores: [],
      teams: this.#teams,
      teamByKey: new Map(this.#teams.map((team) => [KEY, team])),
      callerLimits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 4_194_304,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
    };
  }

  get rolloutBounds(): RolloutBounds | undefined {
    return this.#options.rolloutBounds;
  }

  get teamSlack(): number {
    return this.#options.teamSlack ?? 0;
  }

  get #teams(): TeamRules[] {
    const { teamLimit } = this.#options;
    if (teamLimit === undefined) return [];
    return [{
      id: brandId<TeamId>("callers"),
      urgency: undefined,
      isIsolated: false,
      ...teamLimit,
      unit: "calls",
      defaultTokens: 1,
    }];
  }

  /** Whether the requests are prompts of a model, not plain calls. */
  get isModel(): boolean {
    const { kind = "resumable_stream" } = this.#options;
    return this.#options.isPlain !== true || kind.endsWith("stream");
  }

  get daemonCount(): number {
    return this.#daemons.length;
  }

  /**
   * Sends a request with these shared segments and one of its own. Requests
   * with the same body are the same for the platform.
   */
  send(
    daemon: number,
    segments: readonly string[],
    { body, events, takesUp, resumeAfter, path }: {
      readonly path?: string;
      readonly body?: string;
      /** The stream that the request goes on with, as its caller names it. */
      readonly takesUp?: RequestId | undefined;
      /** The id of the last event that the caller has. */
      readonly resumeAfter?: string | undefined;
      /** Events of the answer, which an engine sends at intervals. */
      readonly events?: number;
    } = {},
  ): Outcome {
    const requestId = brandId<RequestId>(`q-${++this.#nextRequest}`);
    const outcome: Outcome = {
      requestId,
      sentAtMs: this.time.nowMs,
      daemon,
      segments,
      body: body ?? requestId,
      events: [],
      begunAtMs: undefined,
      hasEnded: false,
      isCut: false,
      refusal: undefined,
      refusedAtMs: undefined,
      isOverLimit: false,
    };
    this.outcomes.push(outcome);
    if (events !== undefined) this.#eventsByRequest.set(requestId, events);
    const serving = { events, path, takeUp: { takesUp, resumeAfter } };
    const heldMs = this.#requestsHeldUntilMs - this.time.nowMs;
    if (heldMs <= 0) this.#daemons[daemon]?.serve(outcome, serving);
    else {
      this.time.after(
        heldMs,
        () => this.#daemons[daemon]?.serve(outcome, serving),
      );
    }
    return outcome;
  }

  /** The caller's connection is lost, and the daemon notices. */
  hangUp({ daemon, requestId }: Outcome): void {
    this.#daemons[daemon]?.hangUp(requestId);
  }

  /** Sends to a daemon what another one has sent by gossip. */
  deliver(
    route: { readonly from: string; readonly to: string },
    bytes: Buffer,
  ): void {
    this.#gossipLinks.send(
      route,
      bytes,
      () => this.#daemonsByAddress.get(route.to)?.receive(bytes),
    );
  }

  /** The records of a daemon for a peer that pulls them. */
  tablesAt(address: string): RecordExchangeOptions["tables"] | undefined {
    return this.#daemonsByAddress.get(address)?.tables;
  }

  readServer({ value }: KeyedRecord): ListedServer | undefined {
    if (value === undefined) return undefined;
    const { id, weights, ...fields } = JSON.parse(value.toString()) as {
      readonly id: string;
      readonly isLeaving: boolean;
      readonly reportCount: number;
      readonly startedAtMs: number;
      readonly weights: number;
      readonly softwareVersion: SoftwareVersion | null;
    };
    const engine = this.#engines.get(id);
    return engine && {
      ...engine.listed,
      ...fields,
      softwareVersion: fields.softwareVersion ?? undefined,
      weights: new Map([[MODEL, brandId<WeightsVersion>(weights)]]),
    };
  }

  /** The engine reports that it leaves, or its entry goes without a report. */
  leave(engine: Engine, how: "reported" | "removed"): void {
    const { id } = engine.listed;
    if (how === "removed") return void this.store.put("servers", id, undefined);
    engine.listed = { ...engine.listed, isLeaving: true };
    this.report(engine);
  }

  /** The engine writes its entry. */
  report(engine: Engine): void {
    const { id, isLeaving, reportCount, startedAtMs, softwareVersion } =
      engine.listed;
    engine.listed = { ...engine.listed, reportCount: reportCount + 1 };
    this.store.put("servers", id, {
      id,
      isLeaving,
      reportCount: reportCount + 1,
      startedAtMs,
      weights: engine.weights,
      softwareVersion: softwareVersion ?? null,
    });
  }

  /** Cuts daemons off from all engines, with what runs for them there. */
  cutOff(daemons: readonly number[], form: CutForm): void {
    for (const daemon of daemons) {
      const vm = vmOf(daemon);
      this.links.cut(vm, form);
      if (!resetsOpen(form)) continue;
      for (const { attempts } of this.#engines.values()) {
        for (const attempt of attempts) {
          if (attempt.vm === vm) breakOff(attempt, "read ECONNRESET");
        }
      }
    }
  }

  /** Cuts daemons off from the store. */
  cutOffFromStore(daemons: readonly number[], form: StoreCutForm): void {
    for (const daemon of daemons) {
      this.#daemons[daemon]?.storeAccess.cutOff(form);
    }
  }

  healStore(daemons: readonly number[]): void {
    for (const daemon of daemons) this.#daemons[daemon]?.storeAccess.heal();
  }

  /** Cuts daemons off from other daemons, and from each other if not together. */
  cutOffGossip(
    daemons: readonly number[],
    { together }: { readonly together: boolean },
  ): void {
    this.#gossipLinks.cutOff(daemons.map(gossipAddressOf), { together });
  }

  healGossip(daemons: readonly number[]): void {
    this.#gossipLinks.heal(daemons.map(gossipAddressOf));
  }

  /** Ends cuts, for some engines only where they are given. */
  heal(daemons: readonly number[], engines?: readonly Engine[]): void {
    const addresses = engines?.map(({ listed }) => listed.address);
    for (const daemon of daemons) this.links.heal(vmOf(daemon), addresses);
  }

  async checkListening(vm: VmId, address: string): Promise<ListenState> {
    const cut = this.links.cutOf(vm, address);
    if (cut !== undefined) {
      const connected = this.links.connectAnew(cut);
      if (connected.kind !== "failed") return "listening";
      await this.store.wait(connected.afterMs);
      return connected.reason.endsWith("REFUSED") ? "closed" : "unknown";
    }
    const isUp = this.#engineAt(address)?.isUp === true;
    await this.store.wait(LINK_MS);
    return isUp ? "listening" : "closed";
  }

  async checkAnswering(vm: VmId, address: string): Promise<LinkState> {
    this.linkChecks.push({ atMs: this.time.nowMs, vm });
    const cut = this.links.cutOf(vm, address);
    if (cut !== undefined) return await this.links.check(cut);
    if (this.links.losesConnection(vm)) return await this.links.check("silent");
    const engine = this.#engineAt(address);
    await this.store.wait(2 * LINK_MS);
    return engine === undefined ? "refused" : "answered";
  }

  /** Sends an attempt through another daemon. */
  startForwarded(order: AttemptOrder, listener: AttemptListener) {
    const daemon = this.#daemonsByAddress.get(order.forwarder?.address ?? "");
    let run: ForwardedRun | undefined;
    let isOver = false;
    const toOrigin = (deliver: () => void) =>
      this.time.after(LINK_MS, () => {
        if (!isOver) deliver();
      });
    this.time.after(LINK_MS, () => {
      if (isOver) return;
      if (daemon?.isAlive !== true) {
        const reason = "connect ECONNREFUSED";
        const failure = { kind: "unsent", reason, at: "forwarder" } as const;
        return toOrigin(() => listener.failed(failure));
      }
      toOrigin(() => listener.sent());
      daemon.ended.push(() =>
        toOrigin(() => {
          const reason = "socket hang up";
          listener.failed({ kind: "broken", reason, at: "forwarder" });
        })
      );
      daemon.whileRunning(() => {
        if (isOver) return;
        run = daemon.forward(order, {
          head: (head) => toOrigin(() => listener.head(head)),
          data: (chunk) => {
            toOrigin(() => listener.data(chunk));
            return true;
          },
          end: () => toOrigin(() => listener.end()),
          failed: (failure) => toOrigin(() => listener.failed(failure)),
        });
      });
    });
    return {
      abort: () => {
        isOver = true;
        this.time.after(
          LINK_MS,
          () => daemon?.whileRunning(() => run?.abort()),
        );
      },
      pause() {},
      resume() {},
    };
  }

  startAttempt(vm: VmId, order: AttemptOrder, listener: AttemptListener) {
    if (order.forwarder !== undefined) {
      return this.startForwarded(order, listener);
    }
    const { requestId } = order.request;
    const attempt: RunningAttempt = { vm, requestId, listener, isOver: false };
    const { address } = order.server;
    const connected = this.links.connect(vm, address);
    if (connected.kind === "connected") {
      this.time.after(LINK_MS, () => {
        if (attempt.isOver) return;
        if (connected.isNew) listener.connected();
        this.#arrive(vm, { order, attempt });
      });
    } else if (connected.kind === "dead") {
      this.time.after(LINK_MS, () => {
        if (attempt.isOver) return;
        if (connected.isNew) listener.connected();
        listener.sent();
      });
    } else if (connected.kind === "broken") {
      const { reason, afterMs } = connected;
      this.time.after(LINK_MS, () => {
        if (attempt.isOver) return;
        listener.connected();
        listener.sent();
      });
      this.time.after(afterMs, () => breakOff(attempt, reason));
    } else {
      const { reason, afterMs } = connected;
      this.time.after(afterMs, () => {
        if (!attempt.isOver) listener.failed({ kind: "unsent", reason });
      });
    }
    return {
      abort: () => {
        attempt.isOver = true;
        for (const { attempts } of this.#engines.values()) {
          attempts.delete(attempt);
        }
      },
      pause() {},
      resume() {},
    };
  }

  #engineAt(address: string): Engine | undefined {
    const engine = this.#enginesByAddress.get(address);
    return engine?.isUp === true ? engine : undefined;
  }

  /** Starts an engine of the software version at an address of its own. */
  startEngine(version: string | undefined): Engine {
    const address = `10.9.1.${++this.#startedEngines}:80`;
    return this.#addEngine(address, version as SoftwareVersion | undefined);
  }

  /** Ends the engine, as one that leaves does; what it runs is cut off. */
  stopEngine(engine: Engine): void {
    if (!engine.isUp) return;
    engine.isUp = false;
    this.#endAttempts(engine);
    engine.cancelLoad();
    this.store.put("servers", engine.listed.id, undefined);
  }

  #addEngine(
    address: string,
    softwareVersion: SoftwareVersion | undefined,
  ): Engine {
    const id = `e-${++this.#nextEngine}`;
    const domain = Number(address.split(/[.:]/)[3]) % DOMAINS.length;
    const engine: Engine = {
      listed: {
        id: brandId<BackendServerId>(id),
        service: SERVICE,
        address,
        failureDomain: DOMAINS[domain]!,
        isLeaving: false,
        slots: this.#options.slots ?? 128,
        weights: new Map([[MODEL, brandId<WeightsVersion>(1)]]),
        softwareVersion,
        startedAtMs: Math.max(1, this.time.nowMs),
        reportCount: 0,
      },
      isUp: true,
      prefilledAtMs: 0,
      limitPerS: undefined,
      asksForQuietMs: undefined,
      saysThatItLeaves: false,
      heldUntilMs: 0,
      beginsFromMs: 0,
      attempts: new Set(),
      peakAttempts: 0,
      weights: 1,
      loading: undefined,
      acceptedOrders: 0,
      highestEpoch: 0,
      cancelLoad() {},
    };
    this.#engines.set(id, engine);
    this.#enginesByAddress.set(address, engine);
    this.report(engine);
    return engine;
  }

  /** Ends the engine; it is back at its address under another id. */
  crash(engine: Engine): void {
    if (!engine.isUp) return;
    engine.isUp = false;
    this.crashAtMs.push(this.time.nowMs);
    this.#endAttempts(engine);
    engine.cancelLoad();
    const { id, address, softwareVersion } = engine.listed;
    this.time.after(
      RESTART_MS,
      () => this.#addEngine(address, softwareVersion),
    );
    this.time.after(RESTART_MS + 600, () => {
      this.store.put("servers", id, undefined);
    });
  }

  /** Ends the connections of a process that ends, those that are idle too. */
  #endAttempts(engine: Engine): void {
    for (const { vm } of this.#daemons.filter(Boolean)) {
      this.links.closeIdle(vm, engine.listed.address);
    }
    for (const attempt of engine.attempts) {
      this.onLoss(engine, attempt.requestId);
      this.#answer(engine, attempt, () => breakOff(attempt, "socket hang up"));
    }
  }

  /**
   * The engine starts again under its id, at times with another software
   * version; its entry follows its first report.
   */
  restart(
    engine: Engine,
    softwareVersion = engine.listed.softwareVersion,
  ): void {
    this.#endAttempts(engine);
    const { nowMs: startedAtMs } = this.time;
    const { listed } = engine;
    engine.listed = {
      ...listed,
      softwareVersion,
      startedAtMs,
      isLeaving: false,
      reportCount: 0,
    };
    engine.saysThatItLeaves = false;
    engine.cancelLoad();
    engine.loading = undefined;
    engine.acceptedOrders = 0;
    engine.highestEpoch = 0;
  }

  /**
   * Holds up attempts on their way to the engine, as a lossy link does or a
   * process that is paused. They also arrive once they have been given up.
   */
  holdArrivals(engine: Engine, durationMs: number): void {
    engine.heldUntilMs = this.time.nowMs + durationMs;
  }

  /**
   * Lets requests wait at the engine, as one does whose slots or memory are
   * full. It also preempts runs for more urgent ones, or stands still.
   */
  holdRuns(engine: Engine, durationMs: number): void {
    engine.beginsFromMs = this.time.nowMs + durationMs;
  }

  /**
   * The engine ends and starts again after `downMs` under its id with the
   * software version, and writes its entry `reportMs` later.
   */
  replace(
    engine: Engine,
    softwareVersion: string,
    { downMs, reportMs }: {
      readonly downMs: number;
      readonly reportMs: number;
    },
  ): void {
    if (!engine.isUp) return;
    engine.isUp = false;
    this.#endAttempts(engine);
    this.time.after(downMs, () => {
      engine.isUp = true;
      this.restart(engine, brandId<SoftwareVersion>(softwareVersion));
      this.time.after(reportMs, () => this.report(engine));
    });
  }

  /** Engines that run, in the order of their start. */
  runningEngines(): Engine[] {
    return [...this.#engines.values()].filter(({ isUp }) => isUp);
  }

  #arrive(
    vm: VmId,
    sent: { readonly order: AttemptOrder; readonly attempt: RunningAttempt },
  ): void {
    const { order, attempt } = sent;
    const { listener } = attempt;
    if (attempt.isOver && attempt.isHeld !== true) return;
    const engine = this.#engineAt(order.server.address);
    const heldMs = (engine?.heldUntilMs ?? 0) - this.time.nowMs;
    if (heldMs > 0) {
      attempt.isHeld = true;
      listener.sent();
      return void this.time.after(heldMs, () => this.#arrive(vm, sent));
    }
    if (engine === undefined) {
      if (attempt.isOver) return;
      attempt.isOver = true;
      const reason = "connect ECONNREFUSED";
      return listener.failed({ kind: "unsent", reason });
    }
    const segments = order.request.work?.prompt.map(({ id }) => id) ?? [];
    const { requestId } = order.request;
    const body = String(order.request.message);
    const { id } = engine.listed;
    if (order.server.id !== id) {
      if (attempt.isOver) return;
      attempt.isOver = true;
      const refusal = { status: 421, isMisdirected: true, hasProof: false };
      listener.sent();
      return listener.head({ ...this.#head(engine), ...refusal });
    }
    this.arrivals.push({
      atMs: this.time.nowMs,
      vm,
      engine: id,
      startedAtMs: engine.listed.startedAtMs,
      requestId,
      segments,
      body,
      isTurnedAway: engine.asksForQuietMs !== undefined,
      weights: engine.weights,
      expects: order.cache.weights,
    });
    if (attempt.isOver) return;
    listener.sent();
    const { weights: expected } = order.cache;
    if (expected !== undefined && Number(expected) !== engine.weights) {
      attempt.isOver = true;
      const refusal = { status: 421, isMisdirected: true, hasProof: false };
      return listener.head({ ...this.#head(engine), ...refusal });
    }
    if (engine.loading !== undefined) {
      attempt.isOver = true;
      const refusal = { status: 503, isNotRun: true, hasProof: false };
      return listener.head({ ...this.#head(engine), ...refusal });
    }
    if (engine.asksForQuietMs !== undefined) {
      attempt.isOver = true;
      return listener.head({
        ...this.#head(engine),
        status: 503,
        isNotRun: true,
        hasProof: false,
        quietMs: engine.asksForQuietMs,
      });
    }
    if (this.#rejects(engine)) {
      attempt.isOver = true;
      const refusal = { status: 503, isNotRun: true, hasProof: false };
      listener.head({ ...this.#head(engine), ...refusal });
      return this.#noteRejection(engine);
    }
    if (this.resetsRequest?.() === true) {
      return breakOff(attempt, "read ECONNRESET");
    }
    engine.attempts.add(attempt);
    engine.peakAttempts = Math.max(engine.peakAttempts, engine.attempts.size);
    const prefillAtMs = Math.max(engine.prefilledAtMs, this.time.nowMs);
    engine.prefilledAtMs = prefillAtMs +
      order.cache.tokensToRead / PREFILL_TOKENS_PER_MS;
    const fault = this.answerFault(engine, order.request.route.name);
    const slowMs = fault?.kind === "slow" ? fault.byMs : 0;
    if (fault?.kind === "failure") {
      return void this.time.after(fault.afterMs, () => {
        engine.attempts.delete(attempt);
        if (attempt.isOver) return;
        const failure = { status: 500, hasProof: false };
        listener.head({ ...this.#head(engine), ...failure });
        listener.end();
      });
    }
    if (fault?.kind === "broken") {
      this.time.after(fault.afterMs, () => {
        engine.attempts.delete(attempt);
        breakOff(attempt, "read ECONNRESET");
      });
    }
    const delayMs = engine.prefilledAtMs - this.time.nowMs + slowMs;
    this.time.after(
      delayMs,
      () => this.#begin(engine, { attempt, segments, body, order }),
    );
  }

  /** Whether a brittle engine has no room for another request. */
  #rejects({ listed, attempts }: Engine): boolean {
    return this.brittle !== undefined &&
      attempts.size >= listed.slots + this.brittle.room;
  }

  #noteRejection(engine: Engine): void {
    const { nowMs } = this.time;
    const recent = (this.#rejectedAtMs.get(engine) ?? [])
      .filter((atMs) => nowMs - atMs < 1_000);
    this.#rejectedAtMs.set(engine, [...recent, nowMs]);
    if (recent.length + 1 <= (this.brittle?.bearsPerS ?? 0)) return;
    this.fallAtMs.push(nowMs);
    this.crash(engine);
  }

  #begin(
    engine: Engine,
    run: {
      readonly attempt: RunningAttempt;
      readonly segments: readonly string[];
      readonly body: string;
      readonly order: AttemptOrder;
    },
  ): void {
    const { attempt, segments, body, order } = run;
    if (attempt.isOver) return;
    const heldMs = engine.beginsFromMs - this.time.nowMs;
    if (heldMs > 0) {
      return void this.time.after(heldMs, () => this.#begin(engine, run));
    }
    this.begunRuns.push({
      atMs: this.time.nowMs,
      vm: attempt.vm,
      engine: engine.listed.id,
      requestId: attempt.requestId,
      weights: engine.weights,
    });
    const isDeadlyBody = this.deadlyBodies.has(body);
    if (isDeadlyBody) {
      this.time.after(CRASH_DELAY_MS, () => {
        if (!engine.isUp) return;
        this.deadlyCrashes.push({ atMs: this.time.nowMs, body });
        this.crash(engine);
      });
      // A plain call is answered at its end.
      if (!this.isModel) return;
    }
    this.#answer(engine, attempt, () => {
      if (engine.saysThatItLeaves) {
        const { id, startedAtMs } = engine.listed;
        const { vm } = attempt;
        const atMs = this.time.nowMs;
        this.leavingAnswers.push({ atMs, vm, engine: id, startedAtMs });
      }
      attempt.listener.head(this.#head(engine));
    });
    const isDeadly = segments.slice(0, -1).some((id) =>
      this.deadlySegments.has(id)
    );
    if (isDeadlyBody) return;
    if (isDeadly) {
      this.time.after(CRASH_DELAY_MS, () => this.crash(engine));
      return;
    }
    if (this.breaksAnswer?.() === true) {
      this.time.after(EVENT_INTERVAL_MS, () => {
        engine.attempts.delete(attempt);
        this.#answer(
          engine,
          attempt,
          () => breakOff(attempt, "read ECONNRESET"),
        );
      });
      return;
    }
    const { requestId } = order.request;
    const sent = Number(order.resumeAfter ?? 0);
    const events = this.#eventsByRequest.get(requestId) ?? RUN_EVENTS;
    this.#sendEvents(engine, { attempt, events, sent });
  }

  #head(engine: Engine): AnswerHead {
    return {
      status: 200,
      isNotRun: false,
      isMisdirected: false,
      isExpectedServer: true,
      hasProof: true,
      load: { running: engine.attempts.size, waiting: 0, slots: 128 },
      weights: undefined,
      limitPerS: engine.limitPerS,
      bearsPerS: this.brittle?.bearsPerS,
      isLeaving: engine.saysThatItLeaves,
      quietMs: undefined,
      message: undefined,
    };
  }

  #sendEvents(
    engine: Engine,
    run: {
      readonly attempt: RunningAttempt;
      readonly events: number;
      readonly sent: number;
    },
  ): void {
    const { attempt, events, sent } = run;
    this.time.after(EVENT_INTERVAL_MS, () => {
      if (attempt.isOver) return;
      const { id, softwareVersion = id } = engine.listed;
      const event = Buffer.from(
        `id: ${sent + 1}\ndata: ${softwareVersion}\n\n`,
      );
      this.#answer(engine, attempt, () => attempt.listener.data(event));
      if (attempt.isOver) return;
      if (sent + 1 < events) {
        return this.#sendEvents(engine, { attempt, events, sent: sent + 1 });
      }
      attempt.isOver = true;
      engine.attempts.delete(attempt);
      this.links.keep(attempt.vm, engine.listed.address);
      this.#answer(engine, attempt, () => attempt.listener.end());
    });
  }

  /** Lets the answer of an engine take its link. */
  #answer(
    { listed }: Engine,
    { vm }: RunningAttempt,
    deliver: () => void,
  ): void {
    this.links.deliver(vm, listed.address, deliver);
  }
}

function vmOf(daemon: number): VmId {
  return brandId<VmId>(`vm-${daemon}`);
}

function ipOf(daemon: number): string {
  return `10.0.0.${daemon + 1}`;
}

function gossipAddressOf(daemon: number): string {
  return `${ipOf(daemon)}:7600`;
}

function breakOff(attempt: RunningAttempt, reason: string): void {
  if (attempt.isOver) return;
  attempt.isOver = true;
  attempt.listener.failed({ kind: "broken", reason });
}

/** How a daemon serves a request. */
interface Serving {
  readonly path: string | undefined;
  /** Events of the answer. */
  readonly events: number | undefined;
  readonly takeUp: Pick<RoutedRequest, "takesUp" | "resumeAfter">;
}

/** One daemon with its simulated ports. */
class SimulatedDaemon {
  readonly vm: VmId;
  readonly startedAtMs: number;
  readonly gossipAddress: string;
  readonly recordAddress: string;
  readonly forwardAddress: string;
  /** Called when the daemon ends, by those who wait for its answers. */
  readonly ended: (() => void)[] = [];
  readonly storeAccess: StoreAccess;
  tables: RecordExchangeOptions["tables"] = new Map();
  readonly #world: TestFleet;
  readonly #time: VirtualTime;
  #context: ListenerContext | undefined;
  #onDatagram: (bytes: Buffer) => void = () => {};
  #forwardedRuns: ForwardedRuns | undefined;
  readonly #daemon: FrontDaemon;
  /** What happens to the process once it runs again; undefined while it does. */
  #whenThawed: (() => void)[] | undefined;
  isAlive = true;
  #isTakenOut = false;
  readonly #runs = new Map<RequestId, { callerGone(): void }>();

  constructor(world: TestFleet, index: number) {
    this.#world = world;
    this.#time = world.time;
    this.startedAtMs = world.time.nowMs;
    this.storeAccess = new StoreAccess(world.time);
    const ip = ipOf(index);
    this.vm = vmOf(index);
    this.gossipAddress = gossipAddressOf(index);
    this.recordAddress = `${ip}:7601`;
    this.forwardAddress = `${ip}:7602`;
    this.#daemon = new FrontDaemon({
      vm: this.vm,
      ip,
      failureDomain: DOMAINS[index % DOMAINS.length]!,
      firstPeerPort: 7600,
      seedIps: ["10.0.0.1"],
      graceMs: 8_000,
      leaseMs: 3_000,
      weightsBoundMs: world.weightsBoundMs,
      bounds: {
        tolerance: {
          overshootShare: 0.1,
          slackUnits: world.teamSlack,
          windowMs: 8_000,
        },
        repeats: { windowMs: 10_000, share: 0.2, slack: 56 },
      },
      ...(world.rolloutBounds && { rolloutBounds: world.rolloutBounds }),
    }, this.#ports());
    this.#daemon.start();
  }

  kill(): void {
    if (!this.isAlive) return;
    this.isAlive = false;
    this.storeAccess.end();
    this.#world.closeConnections(this.vm);
    for (const notify of this.ended) notify();
  }

  stop(): void {
    // The process ends when the simulated time says so, not a real timer.
    this.#daemon.stop(() => {});
    this.#time.after(TAKEN_OUT_MS, () => {
      this.#isTakenOut = true;
    });
  }

  get takesCallers(): boolean {
    return this.isAlive && !this.#isTakenOut;
  }

  freeze(durationMs: number): void {
    this.#whenThawed = [];
    this.#time.after(durationMs, () => {
      const tasks = this.#whenThawed ?? [];
      this.#whenThawed = undefined;
      for (const task of tasks) this.whileRunning(task);
    });
  }

  /** Runs what happens to the process, once it is not frozen. */
  whileRunning(task: () => void): void {
    if (!this.isAlive) return;
    if (this.#whenThawed === undefined) task();
    else this.#whenThawed.push(task);
  }

  /** Hands over what a call brought, once the process is not frozen. */
  #whenRunning<Result>(call: Promise<Result>): Promise<Result> {
    return new Promise((resolve, reject) => {
      call.then(
        (result) => this.whileRunning(() => resolve(result)),
        (caught) => this.whileRunning(() => reject(caught)),
      );
    });
  }

  /** Forwards a request of another daemon. */
  forward(order: AttemptOrder, sink: ForwardSink): ForwardedRun | undefined {
    const { requestId, digest, work } = order.request;
    const { deadlineMs, beginByMs, server, expectedStartMs } = order;
    return this.#forwardedRuns?.open({
      requestId,
      digest,
      server,
      work,
      deadlineMs,
      beginByMs,
      expectedStartMs,
      message: { ...order, forwarder: undefined },
    }, sink);
  }

  get revision(): number | undefined {
    return this.#context?.admission.view?.configuration.revision;
  }

  receive(bytes: Buffer): void {
    this.whileRunning(() => this.#onDatagram(bytes));
  }

  serve(outcome: Outcome, serving: Serving): void {
    this.whileRunning(() => {
      // A caller that has given up has closed its connection.
      const waitedMs = this.#time.nowMs - outcome.sentAtMs;
      if (waitedMs < CALLER_TIMEOUT_MS) this.#serve(outcome, serving);
    });
  }

  #serve(outcome: Outcome, serving: Serving): void {
    const { events = RUN_EVENTS, path = "/", takeUp } = serving;
    const renewal = this.#context?.whenCurrent();
    if (renewal !== undefined) {
      const serve = () => this.#serve(outcome, serving);
      return void renewal.then(() => this.whileRunning(serve));
    }
    const admission = this.#context?.admission;
    const admitted = admission?.admit({
      host: "bells.example",
      path,
      key: KEY,
      tokens: undefined,
    });
    if (admission === undefined || admitted?.kind !== "admitted") return;
    const deadlineMs = outcome.sentAtMs + CALLER_TIMEOUT_MS;
    const opened = admission.open({
      ...admitted,
      requestId: outcome.requestId,
      digest: brandId<RequestDigest>(outcome.body),
      work: this.#world.isModel
        ? {
          model: MODEL,
          promptTokens: 100 * (outcome.segments.length + 1),
          maxOutputTokens: TOKENS_PER_EVENT * events,
          prompt: promptOf(outcome),
        }
        : undefined,
      deadlineMs,
      timeoutAtMs: deadlineMs,
      ...takeUp,
      message: outcome.body,
    }, this.#sink(outcome));
    if (opened.kind === "over_limit") {
      outcome.isOverLimit = true;
      return;
    }
    this.#runs.set(outcome.requestId, opened.run);
    opened.run.start();
  }

  /** The connection of the request's caller is lost. */
  hangUp(requestId: RequestId): void {
    this.whileRunning(() => this.#runs.get(requestId)?.callerGone());
  }

  #sink(outcome: Outcome): CallerSink {
    return {
      head: () => {
        outcome.begunAtMs = this.#time.nowMs;
      },
      data: (chunk) => {
        for (const [, id, version] of chunk.toString().matchAll(EVENT)) {
          outcome.events.push({ id: Number(id), version: version! });
        }
        return true;
      },
      end: () => {
        outcome.hasEnded = true;
      },
      refuse: (refusal) => {
        outcome.refusal = refusal;
        outcome.refusedAtMs = this.#time.nowMs;
      },
      abortAnswer: () => {
        outcome.isCut = true;
      },
    };
  }

  #ports(): FrontPorts {
    const world = this.#world;
    const { store } = world;
    const access = this.storeAccess;
    const record = (
      step: string,
      fields: Readonly<Record<string, unknown>>,
    ) => {
      world.steps.push({
        ...fields,
        atMs: this.#time.nowMs,
        vm: this.vm,
        step,
      });
    };
    return {
      clock: this.#time,
      scheduler: this.#scheduler(),
      log: {
        decision: record,
        stateChange: (step, fields) => {
          record(step, fields);
          if (step === "end") this.#time.after(END_MS, () => this.kill());
        },
        flush() {},
      },
      metrics: {
        count() {},
        gauge() {},
        observeMs() {},
        text: () => "",
      } as unknown as FrontPorts["metrics"],
      memory: new MemoryBudget(67_108_864),
      store: {
        get isReachable() {
          return !store.isDown && access.isReachable;
        },
        callCounts: {},
        operatorRecords: this.#source("operator"),
        serverRecords: this.#source("servers"),
        quarantineRecords: this.#source("quarantines"),
        putQuarantine: async (key, value) => {
          await this.#callStore();
          store.put("quarantines", key, value && JSON.parse(String(value)));
        },
        readOperatorRecord: (keyed) => world.readOperatorRecord(keyed),
        readServer: (keyed) => world.readServer(keyed),
        registerDaemon: async (vm, ip) => {
          await this.#callStore();
          store.put("members", vm, ip);
          return store.values("members") as Map<VmId, string>;
        },
      },
      rolloutLeaseLog: world.rollsOut
        ? world.rollout.leaseLog(() => this.#callStore())
        : {
          read: () => Promise.reject(new Error("No rollout is played")),
          append: () => Promise.reject(new Error("No rollout is played")),
        },
      rolloutStatusLog: world.statuses.log(() => this.#callStore()),
      streamOriginLog: this.#streamOriginLog(),
      engineOrders: world.rollout.orders(this.vm),
      serverClient: {
        start: (order, listener) =>
          world.startAttempt(this.vm, order, this.#whileAlive(listener)),
        forward: ({ message }: ForwardOrder, listener) =>
          world.startAttempt(
            this.vm,
            message as AttemptOrder,
            this.#whileAlive(listener),
          ),
        closeIdleConnections: (address) =>
          world.links.closeIdle(this.vm, address),
        checkListening: (address) => world.checkListening(this.vm, address),
        checkAnswering: ({ address }) => world.checkAnswering(this.vm, address),
      },
      cacheEventClient: {
        fetchEvents: async () => {
          await store.wait(800);
          return undefined;
        },
      },
      createGossipTransport: () => this.#transport(),
      createRecordExchange: (options) => this.#exchange(options),
      listen: (context) => {
        this.#context = context;
        return { openRequestCount: 0, applyLimits() {}, stopListening() {} };
      },
      listenForPeers: ({ runs }) => {
        this.#forwardedRuns = runs;
        return { close() {} };
      },
      serveStatus: () => ({ close() {} }),
    };
  }

  #streamOriginLog(): FrontPorts["streamOriginLog"] {
    const { store, originCalls } = this.#world;
    const call = (kind: OriginCall["kind"]) => {
      originCalls.push({ atMs: this.#time.nowMs, vm: this.vm, kind });
      return this.#callStore();
    };
    return {
      get era() {
        return store.era;
      },
      writesPerS: 400,
      keepMs: 300_000,
      read: async (from) => {
        await call("read");
        return store.readFrom(
          ORIGIN_TOPIC,
          from === undefined ? 0 : offsetOf(from),
        );
      },
      append: async (record) => {
        await call("append");
        return store.append(ORIGIN_TOPIC, record);
      },
      trim: async (before) => {
        await call("trim");
        store.trim(ORIGIN_TOPIC, offsetOf(before));
      },
    };
  }

  #callStore(): Promise<void> {
    return this.#whenRunning(
      this.storeAccess.call(() => this.#world.store.call()),
    );
  }

  #source(topic: string): RecordSource {
    const access = this.storeAccess;
    const source = this.#world.store.source(topic);
    return {
      get era() {
        return source.era;
      },
      newest: () => this.#whenRunning(access.call(() => source.newest())),
      read: (from, waitMs) =>
        this.#whenRunning(
          access.call(() => source.read(from, waitMs), { holdMs: waitMs }),
        ),
    };
  }

  #scheduler(): Scheduler {
    return {
      after: (delayMs, task) =>
        this.#time.after(delayMs, () => this.whileRunning(task)),
    };
  }

  #whileAlive(listener: AttemptListener): AttemptListener {
    const guard =
      <Arguments extends unknown[]>(call: (...args: Arguments) => void) =>
      (...args: Arguments) => {
        this.whileRunning(() => call(...args));
      };
    return {
      connected: guard(() => listener.connected()),
      sent: guard(() => listener.sent()),
      head: guard((head: AnswerHead) => listener.head(head)),
      data: guard((chunk: Buffer) => listener.data(chunk)),
      end: guard(() => listener.end()),
      failed: guard((failure: Parameters<AttemptListener["failed"]>[0]) =>
        listener.failed(failure)
      ),
    };
  }

  #transport(): GossipTransport {
    return {
      open: (onDatagram, onOpen) => {
        this.#onDatagram = onDatagram;
        this.#time.after(0, onOpen);
      },
      send: (address, bytes) => {
        if (!this.isAlive) return;
        const route = { from: this.gossipAddress, to: address };
        this.#world.deliver(route, bytes);
      },
      close() {},
    };
  }

  #exchange(options: RecordExchangeOptions) {
    this.tables = options.tables;
    return {
      pull: async (
        topic: string,
        address: string,
        { all = false }: { readonly all?: boolean } = {},
      ) => {
        await this.#world.store.wait(2 * LINK_MS);
        const table = options.tables.get(topic);
        const theirs = this.#world.tablesAt(address)?.get(topic);
        if (table === undefined || theirs === undefined) return false;
        table.applyChanges(
          theirs.changesSince(all ? BEFORE_FIRST : table.newest),
        );
        return true;
      },
      close() {},
    };
  }
}

function promptOf({ requestId, segments }: Outcome): PromptSegment[] {
  return [...segments, `${requestId}-own`].map((id) => ({
    id: brandId<PromptSegmentId>(id),
    tokens: 100,
  }));
}
