/**
 * Knows which software version began a stream that a caller takes up, also when
 * another daemon has relayed its beginning, or all daemons have ended since.
 *
 * While servers of several versions serve, or did within the life of a stream,
 * daemons record in the store's log which version began each stream. Otherwise
 * the only version is the one, and one daemon records now and then that the
 * service has settled on it, for daemons that start.
 *
 * @module
 */

import { type Clock, type Scheduler, steadyMs } from "@endivebend/clock";
import {
  eraOf,
  type LogPosition,
  logPosition,
  offsetOf,
} from "@endivebend/fleet";
import type {
  ListedServer,
  RoutedRequest,
  ServerRegistry,
  SoftwareVersion,
  StreamOrigin,
  StreamOrigins,
} from "@endivebend/request-path";
import { rankByRendezvous } from "@endivebend/routing";
import {
  decodeOriginRecord,
  encodeOriginRecord,
  OriginLogState,
  OriginTable,
  type ServiceOrigins,
  type StreamKey,
  streamKey,
  VersionWatch,
} from "@endivebend/stream-origins";
import type { RateLimitedLog, TextMetrics } from "@endivebend/telemetry";
import type { BackendServerId, ServiceName, VmId } from "@endivebend/types";
import type { StreamOriginLog } from "./ports.ts";
import { SharedReads } from "./shared_reads.ts";

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
  /** When the servers that this daemon knows were last all that are listed. */
  listReadAtMs(): number;
}

/** A stream that this daemon has begun to relay. */
interface OwnStream {
  readonly service: ServiceName;
  readonly server: BackendServerId;
  /** Undefined when unknown. */
  version: SoftwareVersion | undefined;
  readonly beganAtMs: number;
  readonly untilMs: number;
  isRecorded: boolean;
}

/** A server begins streams for some time after its entry was removed. */
const LEAVING_SLACK_MS = 3_000;
/** Routes may have no timeout. */
const MAX_LIFE_MS = 600_000;
/**
 * A server that starts again under its id takes requests for so long before its
 * new entry has come.
 */
const ENTRY_LAG_MS = 4_000;
/** Stands in records for a version that is unknown. */
const UNKNOWN_VERSION = "" as SoftwareVersion;
const TICK_MS = 500;
/** Time between looks at whether a service has settled on one version. */
const SETTLE_INTERVAL_MS = 2_000;
const MIN_APPEND_INTERVAL_MS = 200;
/** Share of the store's writes that all daemons together use. */
const WRITE_SHARE = 0.2;
const APPEND_RETRY_MS = 500;
/** A record of the log holds 262,144 bytes; a stream takes 14. */
const MAX_STREAMS_PER_RECORD = 5_000;
/** A stream's record is in the log by then, if its daemon lives. */
const MAX_HOLD_MS = 600;
const POLL_INTERVAL_MS = 100;
/** Share of the time that the log keeps a record after which it is renewed. */
const RENEWAL_SHARE = 1 / 3;

/** What this daemon knows of the versions that began streams. */
export class StreamOriginKeeper implements StreamOrigins {
  readonly #options: StreamOriginKeeperOptions;
  readonly #watch = new VersionWatch();
  readonly #table = new OriginTable();
  readonly #state = new OriginLogState(this.#table);
  readonly #own = new Map<StreamKey, OwnStream>();
  /** Services that a record of this daemon tells to be mixed. */
  readonly #marked = new Set<ServiceName>();
  readonly #reads: SharedReads<boolean>;
  /** The longest time for which a caller of each service was to wait. */
  readonly #longestWaitMs = new Map<ServiceName, number>();
  #position: LogPosition | undefined;
  #readAtMs = Number.NEGATIVE_INFINITY;
  #settleFromMs = 0;
  /** When this daemon last found the settled record that is in force. */
  #settledAtMs = Number.NEGATIVE_INFINITY;
  #appendFromMs = 0;
  #isAppending = false;
  #cancelAppend: (() => void) | undefined;
  #cancelTick = () => {};

  constructor(options: StreamOriginKeeperOptions) {
    this.#options = options;
    this.#reads = new SharedReads(() => this.#readLog());
  }

  start(): void {
    this.#tick();
  }

  stop(): void {
    this.#cancelTick();
    this.#cancelAppend?.();
  }

  /** Notes an entry of the list of servers. */
  noteListed({ id, service, softwareVersion }: ListedServer): void {
    const nowMs = this.#nowMs();
    this.#watch.noteListed(service, { version: softwareVersion, nowMs });
    for (const [key, stream] of this.#own) {
      const isOther = stream.server === id &&
        stream.version !== undefined && stream.version !== softwareVersion;
      if (!isOther || nowMs - stream.beganAtMs > ENTRY_LAG_MS) continue;
      // The process that the entry tells of may have begun the stream.
      stream.version = undefined;
      stream.isRecorded = false;
      const { untilMs } = stream;
      this.#table.record(key, { version: undefined, untilMs });
    }
    this.#recordIfMixed(service);
  }

  /** Notes that the process was paused: versions may have come and gone. */
  notePause(): void {
    this.#watch.restart(this.#nowMs());
  }

  /** Notes that the store has come back from a copy; it may lack records. */
  noteRestore(): void {
    this.#state.forget();
    this.#position = undefined;
    this.#readAtMs = Number.NEGATIVE_INFINITY;
    this.#settledAtMs = Number.NEGATIVE_INFINITY;
    this.#marked.clear();
    for (const stream of this.#own.values()) stream.isRecorded = false;
    for (const service of this.#lives().keys()) this.#recordIfMixed(service);
  }

  began(
    request: RoutedRequest,
    { server, version }: Parameters<StreamOrigins["began"]>[1],
  ): void {
    const { service } = request;
    this.#noteWait(request);
    const lifeMs = this.#lives().get(service);
    if (lifeMs === undefined) return;
    const nowMs = this.#nowMs();
    const untilMs = nowMs + lifeMs;
    this.#watch.noteListed(service, { version, nowMs });
    for (const key of keysOf(request)) {
      this.#table.record(key, { version, untilMs });
      if (this.#own.has(key)) continue;
      this.#own.set(key, {
        service,
        server,
        version,
        beganAtMs: nowMs,
        untilMs,
        isRecorded: false,
      });
    }
    this.#recordIfMixed(service);
  }

  completed(request: RoutedRequest): void {
    for (const key of keysOf(request)) this.#own.delete(key);
  }

  find(request: RoutedRequest): StreamOrigin | Promise<StreamOrigin> {
    const { service, takesUp } = request;
    this.#noteWait(request);
    const found = this.#findNow(request);
    if (found !== undefined) return found;
    if (takesUp === undefined) return { kind: "unknown" };
    this.#options.metrics.count("take_up_look_ups");
    return this.#lookUp(request, service);
  }

  #findNow(request: RoutedRequest): StreamOrigin | undefined {
    const { service, team, takesUp } = request;
    const key = takesUp &&
      streamKey({ service, team: team?.id, requestId: takesUp });
    const known = key && this.#table.find(key, this.#nowMs());
    if (known !== undefined) return known;
    const version = this.#onlyVersion(service);
    return version === undefined ? undefined : { kind: "version", version };
  }

  /** Reads the log until it tells, or as long as it may be about to tell. */
  async #lookUp(
    request: RoutedRequest,
    service: ServiceName,
  ): Promise<StreamOrigin> {
    const untilMs = this.#nowMs() + MAX_HOLD_MS;
    for (;;) {
      const isRead = await this.#reads.read();
      const found = this.#findNow(request);
      if (found !== undefined) return found;
      const mayFollow = isRead && this.#isMixed(service) &&
        this.#nowMs() < untilMs;
      if (!mayFollow) return { kind: "unknown" };
      await this.#delay(POLL_INTERVAL_MS);
    }
  }

  #delay(durationMs: number): Promise<void> {
    return new Promise((resolve) =>
      this.#options.scheduler.after(durationMs, resolve)
    );
  }

  #nowMs(): number {
    return steadyMs(this.#options.clock);
  }

  /** How long after its beginning a stream of each service may be taken up. */
  #lives(): ReadonlyMap<ServiceName, number> {
    return new Map(
      [...this.#options.timeoutsMs()].map(([service, timeoutMs]) => {
        const longestMs = this.#longestWaitMs.get(service) ?? 0;
        // Callers that take a stream up may wait for longer than the route.
        const waitMs = Math.min(2 * timeoutMs, Math.max(timeoutMs, longestMs));
        return [service, Math.min(MAX_LIFE_MS, waitMs) + LEAVING_SLACK_MS];
      }),
    );
  }

  #noteWait({ service, deadlineMs }: RoutedRequest): void {
    const waitMs = deadlineMs - this.#nowMs();
    const longestMs = this.#longestWaitMs.get(service) ?? 0;
    if (waitMs > longestMs) this.#longestWaitMs.set(service, waitMs);
  }

  /**
   * The only version that can have begun the service's live streams: it alone
   * was listed for as long as any of them can live, or it is the one that the
   * service had settled on before this daemon started.
   */
  #onlyVersion(service: ServiceName): SoftwareVersion | undefined {
    const lifeMs = this.#lives().get(service);
    if (lifeMs === undefined) return undefined;
    const time = { nowMs: this.#nowMs(), lifeMs };
    const sole = this.#watch.soleVersion(service, time);
    if (sole !== undefined) return sole;
    const seen = this.#watch.soleSeen(service, time);
    const state = this.#stateOf(service);
    return state?.kind === "settled" && state.version === seen
      ? seen
      : undefined;
  }

  /** What the log says; a state read before the watch began may be over. */
  #stateOf(service: ServiceName) {
    const { sinceMs = Number.POSITIVE_INFINITY } = this.#watch;
    return this.#readAtMs >= sinceMs ? this.#state.stateOf(service) : undefined;
  }

  /** Whether streams of several versions may live. */
  #isMixed(service: ServiceName): boolean {
    const lifeMs = this.#lives().get(service);
    if (lifeMs === undefined) return false;
    const nowMs = this.#nowMs();
    const versions = this.#watch.versions(service, { nowMs, lifeMs });
    if (versions.length > 1) return true;
    if (this.#onlyVersion(service) !== undefined) return false;
    const state = this.#stateOf(service);
    return state?.kind === "mixed" ||
      (state?.kind === "settled" && versions.some((v) => v !== state.version));
  }

  #recordIfMixed(service: ServiceName): void {
    if (!this.#isMixed(service)) return void this.#marked.delete(service);
    this.#scheduleAppend();
  }

  #tick(): void {
    const { scheduler } = this.#options;
    this.#cancelTick = scheduler.after(TICK_MS, () => this.#tick());
    const nowMs = this.#nowMs();
    this.#watch.noteCurrent(this.#options.listReadAtMs());
    for (const { listed, removedAtMs } of this.#options.registry.all()) {
      if (removedAtMs !== undefined) continue;
      const { service, softwareVersion: version } = listed;
      this.#watch.noteListed(service, { version, nowMs });
    }
    this.#table.prune(nowMs);
    for (const [key, { untilMs }] of this.#own) {
      if (untilMs < nowMs) this.#own.delete(key);
    }
    if (this.#lives().size === 0) return;
    for (const service of this.#lives().keys()) this.#recordIfMixed(service);
    const { sinceMs } = this.#watch;
    const isUnread = sinceMs !== undefined && this.#readAtMs < sinceMs;
    if (isUnread && this.#options.reachesStore()) void this.#reads.read();
    if (nowMs >= this.#settleFromMs) {
      this.#settleFromMs = nowMs + SETTLE_INTERVAL_MS;
      void this.#settle();
    }
  }

  /** Reads the log to its end; false when the store does not answer. */
  async #readLog(): Promise<boolean> {
    const { originLog, log } = this.#options;
    const beganAtMs = this.#nowMs();
    try {
      for (;;) {
        const from = this.#position;
        const read = await originLog.read(from);
        if (from !== undefined && eraOf(read.next) !== eraOf(from)) {
          this.noteRestore();
          continue;
        }
        // A restore that was noted meanwhile has the log read anew.
        if (this.#position !== from) continue;
        for (const bytes of read.records) this.#apply(bytes, eraOf(read.next));
        this.#position = read.next;
        if (read.isEnd) break;
      }
      this.#readAtMs = beganAtMs;
      return true;
    } catch (caught) {
      const reason = (caught as Error).message;
      log.decision("stream_origins_failed", { reason });
      return false;
    }
  }

  #apply(bytes: Buffer, era: number): void {
    const record = decodeOriginRecord(bytes);
    const nowMs = this.#nowMs();
    const lives = this.#lives();
    const untilMs = nowMs + Math.max(0, ...lives.values());
    this.#state.apply(record, { era, nowMs, untilMs });
    for (const [name, origins] of Object.entries(record?.services ?? {})) {
      if (origins.kind !== "mixed") continue;
      // The writer may know servers that this daemon has not heard of.
      for (const version of origins.listed) {
        this.#watch.noteListed(name as ServiceName, {
          version: version ?? undefined,
          nowMs,
        });
      }
    }
  }

  #scheduleAppend(): void {
    if (this.#cancelAppend !== undefined || this.#isAppending) return;
    const delayMs = Math.max(0, this.#appendFromMs - this.#nowMs());
    this.#cancelAppend = this.#options.scheduler.after(delayMs, () => {
      this.#cancelAppend = undefined;
      void this.#append();
    });
  }

  /** Records streams that are not recorded yet, of services that are mixed. */
  async #append(): Promise<void> {
    const { originLog, scheduler, log, metrics } = this.#options;
    const batch = this.#composeBatch();
    if (batch === undefined || !this.#options.reachesStore()) return;
    this.#isAppending = true;
    let delayMs = this.#appendIntervalMs();
    try {
      const era = originLog.era;
      const record = { era, services: batch.services };
      const result = await originLog.append(encodeOriginRecord(record));
      metrics.count("stream_origins_recorded", {}, batch.streams.length);
      const isKept = result.kind === "appended" &&
        eraOf(result.position) === era;
      if (isKept) {
        for (const stream of batch.streams) stream.isRecorded = true;
        for (const service of Object.keys(batch.services)) {
          this.#marked.add(service as ServiceName);
        }
      }
    } catch (caught) {
      delayMs = Math.max(delayMs, APPEND_RETRY_MS);
      const reason = (caught as Error).message;
      log.decision("stream_origins_failed", { reason });
    }
    this.#isAppending = false;
    this.#appendFromMs = this.#nowMs() + delayMs;
    scheduler.after(delayMs, () => this.#appendMore());
  }

  #appendMore(): void {
    if (this.#composeBatch() !== undefined) this.#scheduleAppend();
  }

  #appendIntervalMs(): number {
    const { fleetSize, originLog } = this.#options;
    const perS = originLog.writesPerS * WRITE_SHARE;
    return Math.max(MIN_APPEND_INTERVAL_MS, fleetSize() * 1_000 / perS);
  }

  #composeBatch() {
    const nowMs = this.#nowMs();
    const services: Record<ServiceName, ServiceOrigins> = {};
    const streams: OwnStream[] = [];
    for (const service of this.#lives().keys()) {
      if (!this.#isMixed(service)) continue;
      const keys: Record<SoftwareVersion, StreamKey[]> = {};
      for (const [key, stream] of this.#own) {
        const isOther = stream.service !== service || stream.isRecorded;
        if (isOther || streams.length >= MAX_STREAMS_PER_RECORD) continue;
        (keys[stream.version ?? UNKNOWN_VERSION] ??= []).push(key);
        streams.push(stream);
      }
      if (Object.keys(keys).length === 0 && this.#marked.has(service)) continue;
      const listed = this.#watch.versions(service, { nowMs, lifeMs: TICK_MS })
        .map((version) => version ?? null);
      services[service] = { kind: "mixed", listed, streams: keys };
    }
    const isEmpty = Object.keys(services).length === 0;
    return isEmpty ? undefined : { services, streams };
  }

  /**
   * Records the services that have settled on one version, for daemons that
   * start. One daemon does so, at the known end of the log, so that it can't
   * overtake a record that tells of another version.
   */
  async #settle(): Promise<void> {
    const settled = this.#settledServices();
    if (settled === undefined || !this.#maySettle()) return;
    const { originLog, log } = this.#options;
    const wasInForce = this.#isInForce(settled);
    const renewAtMs = this.#settledAtMs + originLog.keepMs * RENEWAL_SHARE;
    if (wasInForce && this.#nowMs() < renewAtMs) return;
    const readBeforeMs = this.#readAtMs;
    if (!await this.#reads.read()) return;
    if (!wasInForce && this.#isInForce(settled)) {
      this.#settledAtMs = this.#nowMs();
      return;
    }
    const position = this.#position;
    if (position === undefined || !this.#isQuiet(settled, readBeforeMs)) return;
    try {
      await this.#appendSettled(settled, position);
    } catch (caught) {
      const reason = (caught as Error).message;
      log.decision("stream_origins_failed", { reason });
    }
  }

  async #appendSettled(
    settled: ReadonlyMap<ServiceName, SoftwareVersion>,
    position: LogPosition,
  ): Promise<void> {
    const { originLog, log } = this.#options;
    const services = Object.fromEntries(
      [...settled].map(([service, version]) =>
        [service, { kind: "settled", version }] as const
      ),
    );
    const era = eraOf(position);
    const record = encodeOriginRecord({ era, services });
    const result = await originLog.append(record, { at: position });
    const isKept = result.kind === "appended" && eraOf(result.position) === era;
    if (!isKept) return;
    this.#settledAtMs = this.#nowMs();
    if (this.#position === position) {
      this.#apply(record, era);
      this.#position = logPosition(era, offsetOf(position) + 1);
    }
    log.stateChange("streams_settled", Object.fromEntries(settled));
    await originLog.trim(position);
  }

  /** Whether the log says so already, as far as it was read. */
  #isInForce(settled: ReadonlyMap<ServiceName, SoftwareVersion>): boolean {
    return [...settled].every(([service, version]) => {
      const state = this.#state.stateOf(service);
      return state?.kind === "settled" && state.version === version;
    });
  }

  /** Whether no daemon tells of several versions any more. */
  #isQuiet(
    settled: ReadonlyMap<ServiceName, SoftwareVersion>,
    sinceMs: number,
  ): boolean {
    return [...settled].every(([service, version]) => {
      const state = this.#state.stateOf(service);
      const isNew = state?.kind === "mixed" && state.readAtMs > sinceMs;
      return !isNew && this.#onlyVersion(service) === version;
    });
  }

  /** The only version of each service; undefined while one has several. */
  #settledServices(): Map<ServiceName, SoftwareVersion> | undefined {
    const nowMs = this.#nowMs();
    const settled = new Map<ServiceName, SoftwareVersion>();
    for (const [service, lifeMs] of this.#lives()) {
      const version = this.#watch.soleVersion(service, { nowMs, lifeMs });
      if (version !== undefined) settled.set(service, version);
    }
    return settled.size > 0 && settled.size === this.#lives().size
      ? settled
      : undefined;
  }

  #maySettle(): boolean {
    const { self, peers, reachesStore } = this.#options;
    if (!reachesStore() || this.#readAtMs < 0) return false;
    const [first] = rankByRendezvous("stream-origins", [self, ...peers()]);
    return first === self;
  }
}

/** The keys by which a caller may name the stream later. */
function keysOf({ service, team, requestId, takesUp }: RoutedRequest) {
  return [requestId, takesUp]
    .filter((id) => id !== undefined && id !== "")
    .map((id) => streamKey({ service, team: team?.id, requestId: id! }));
}
