/**
 * Knows which software version began a stream that a caller takes up, also when
 * another daemon has relayed its beginning, or all daemons have ended since.
 *
 * While servers of several versions serve, or did within the life of a stream,
 * daemons record in the store's log which version began each stream. Otherwise
 * the only version is the one, and one daemon records that the service has
 * settled on it, for daemons that start.
 *
 * @module
 */

import { type Clock, type Scheduler, steadyMs } from "@endivebend/clock";
import type {
  ListedServer,
  RoutedRequest,
  ServerRegistry,
  StreamOrigin,
  StreamOrigins,
} from "@endivebend/request-path";
import { rankByRendezvous } from "@endivebend/routing";
import { type StreamKey, streamKey } from "@endivebend/stream-origins";
import type { RateLimitedLog, TextMetrics } from "@endivebend/telemetry";
import type { RequestId, ServiceName, VmId } from "@endivebend/types";
import { OriginKnowledge } from "./origin_knowledge.ts";
import { OriginRecorder } from "./origin_recorder.ts";
import type { StreamOriginLog } from "./ports.ts";
import { SettledRecorder } from "./settled_recorder.ts";
import { StreamLives } from "./stream_lives.ts";

/** Dependencies of the keeper. */
export interface StreamOriginKeeperOptions {
  readonly self: VmId;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly originLog: StreamOriginLog;
  readonly registry: Pick<ServerRegistry, "all">;
  readonly log: RateLimitedLog;
  readonly metrics: TextMetrics;
  /** Services whose streams may be taken up, with the routes' longest timeout. */
  timeoutsMs(): ReadonlyMap<ServiceName, number>;
  /** The other reachable daemons. */
  peers(): readonly VmId[];
  /** Number of daemons in the fleet, including this one. */
  fleetSize(): number;
  /** Whether this daemon reaches the store. */
  reachesStore(): boolean;
  /** Reads the list of servers from the store; false when that fails. */
  readList(): Promise<boolean>;
  /** When the servers that this daemon knows were last all that are listed. */
  listReadAtMs(): number;
}

const TICK_MS = 500;
const MAINTENANCE_INTERVAL_MS = 2_000;
/** A stream's record is in the log by then, if its daemon lives. */
const MAX_HOLD_MS = 600;
const POLL_INTERVAL_MS = 100;

/** Answers which version began a stream. */
export class StreamOriginKeeper implements StreamOrigins {
  readonly #options: StreamOriginKeeperOptions;
  readonly #lives: StreamLives;
  readonly #knowledge: OriginKnowledge;
  readonly #recorder: OriginRecorder;
  readonly #settledRecorder: SettledRecorder;
  #maintainFromMs = 0;
  #cancelTick = () => {};

  constructor(options: StreamOriginKeeperOptions) {
    this.#options = options;
    this.#lives = new StreamLives(options.timeoutsMs);
    const nowMs = () => this.#nowMs();
    const failed = (reason: string) =>
      options.log.decision("stream_origins_failed", { reason });
    const shared = { ...options, lives: this.#lives, nowMs, failed };
    const restored = () => this.noteRestore();
    this.#knowledge = new OriginKnowledge({ ...shared, restored });
    const knowledge = this.#knowledge;
    this.#recorder = new OriginRecorder({ ...shared, knowledge });
    const isOnDuty = () => this.#isOnDuty();
    this.#settledRecorder = new SettledRecorder({
      ...shared,
      knowledge,
      isOnDuty,
    });
  }

  start(): void {
    this.#tick();
  }

  stop(): void {
    this.#cancelTick();
    this.#recorder.stop();
  }

  /** Notes an entry of the list of servers. */
  noteListed(server: ListedServer): void {
    const { service, softwareVersion: version } = server;
    const nowMs = this.#nowMs();
    this.#knowledge.watch.noteListed(service, { version, nowMs });
    this.#recorder.noteEntry(server);
    this.#recorder.update(service);
  }

  /** Notes that the process was paused: versions may have come and gone. */
  notePause(): void {
    this.#knowledge.watch.restart(this.#nowMs());
  }

  /** Notes that the store has come back from a copy; it may lack records. */
  noteRestore(): void {
    this.#knowledge.forgetLog();
    this.#settledRecorder.forget();
    this.#recorder.recordAgain();
  }

  began(
    request: RoutedRequest,
    { server, version }: Parameters<StreamOrigins["began"]>[1],
  ): void {
    const { service } = request;
    const beganAtMs = this.#nowMs();
    this.#lives.noteWait(service, request.deadlineMs - beganAtMs);
    const lifeMs = this.#lives.lifeMs(service);
    if (lifeMs === undefined) return;
    const untilMs = beganAtMs + lifeMs;
    const { watch, table } = this.#knowledge;
    watch.noteListed(service, { version, nowMs: beganAtMs });
    for (const key of keysOf(request)) {
      table.record(key, { version, untilMs });
      const stream = { service, server, version, beganAtMs, untilMs };
      this.#recorder.hold(key, stream);
    }
  }

  completed(request: RoutedRequest): void {
    for (const key of keysOf(request)) this.#recorder.drop(key);
  }

  find(request: RoutedRequest): StreamOrigin | Promise<StreamOrigin> {
    const { service, takesUp, deadlineMs } = request;
    this.#lives.noteWait(service, deadlineMs - this.#nowMs());
    this.#lookAtList();
    const key = takesUp && keyOf(request, takesUp);
    const known = key && this.#knowledge.find(key);
    if (known !== undefined) return known;
    this.#options.metrics.count("take_up_look_ups");
    return this.#lookUp({ service, key, askedAtMs: this.#nowMs() });
  }

  #findNow({ service, key, askedAtMs }: Question): StreamOrigin | undefined {
    const known = key && this.#knowledge.find(key);
    if (known !== undefined) return known;
    this.#lookAtList();
    const version = this.#knowledge.onlyVersion(service, askedAtMs);
    return version === undefined ? undefined : { kind: "version", version };
  }

  /**
   * Reads the list and the log until they tell, or as long as they may be about
   * to tell. The stream may have begun elsewhere just before its take-up came, at
   * a server that this daemon has not heard of.
   */
  async #lookUp(question: Question): Promise<StreamOrigin> {
    const { service, key, askedAtMs } = question;
    const { watch } = this.#knowledge;
    for (;;) {
      const isMixed = this.#knowledge.isMixed(service);
      if (!isMixed && !watch.wasCurrentAt(askedAtMs)) {
        await this.#within(POLL_INTERVAL_MS, this.#options.readList());
      }
      const listed = this.#findNow(question);
      if (listed !== undefined) return listed;
      if (key !== undefined || this.#knowledge.isUnread) {
        await this.#within(POLL_INTERVAL_MS, this.#knowledge.read());
      }
      const found = this.#findNow(question);
      if (found !== undefined) return found;
      const mayFollow = !watch.wasCurrentAt(askedAtMs) ||
        (key !== undefined && this.#knowledge.isMixed(service));
      const isOver = this.#nowMs() >= askedAtMs + MAX_HOLD_MS;
      if (!mayFollow || isOver) return { kind: "unknown" };
      await this.#delay(POLL_INTERVAL_MS);
    }
  }

  /** Waits for the read, but no longer than that. */
  #within(durationMs: number, read: Promise<boolean>): Promise<void> {
    return new Promise((resolve) => {
      const cancel = this.#options.scheduler.after(durationMs, resolve);
      void read.then(() => {
        cancel();
        resolve();
      });
    });
  }

  #delay(durationMs: number): Promise<void> {
    return new Promise((resolve) =>
      this.#options.scheduler.after(durationMs, resolve)
    );
  }

  #nowMs(): number {
    return steadyMs(this.#options.clock);
  }

  #isOnDuty(): boolean {
    const { self, peers, reachesStore } = this.#options;
    if (!reachesStore()) return false;
    const [first] = rankByRendezvous("stream-origins", [self, ...peers()]);
    return first === self;
  }

  #tick(): void {
    const { scheduler, reachesStore } = this.#options;
    this.#cancelTick = scheduler.after(TICK_MS, () => this.#tick());
    const nowMs = this.#nowMs();
    this.#lookAtList();
    this.#knowledge.table.prune(nowMs);
    this.#recorder.prune();
    for (const service of this.#lives.services) this.#recorder.update(service);
    if (this.#lives.services.length === 0) return;
    if (this.#knowledge.isUnread && reachesStore()) {
      void this.#knowledge.read();
    }
    if (nowMs < this.#maintainFromMs) return;
    this.#maintainFromMs = nowMs + MAINTENANCE_INTERVAL_MS;
    void this.#settledRecorder.maintain();
  }

  #lookAtList(): void {
    const nowMs = this.#nowMs();
    const { watch } = this.#knowledge;
    watch.noteCurrent(this.#options.listReadAtMs());
    for (const { listed, removedAtMs } of this.#options.registry.all()) {
      if (removedAtMs !== undefined) continue;
      const { service, softwareVersion: version } = listed;
      watch.noteListed(service, { version, nowMs });
    }
  }
}

/** What began a stream that a request takes up. */
interface Question {
  readonly service: ServiceName;
  /** Undefined when the request does not name the stream. */
  readonly key: StreamKey | undefined;
  readonly askedAtMs: number;
}

function keyOf(
  { service, team }: RoutedRequest,
  requestId: RequestId,
): StreamKey {
  return streamKey({ service, team: team?.id, requestId });
}

/** The keys by which a caller may name the stream later. */
function keysOf(request: RoutedRequest): StreamKey[] {
  const { requestId, takesUp } = request;
  return [requestId, takesUp].flatMap((id) =>
    id === undefined || id === "" ? [] : [keyOf(request, id)]
  );
}
