/**
 * Records in the log which versions began this daemon's streams, while servers
 * of several versions serve.
 *
 * @module
 */

import type { Scheduler } from "@endivebend/clock";
import { eraOf } from "@endivebend/fleet";
import type { ListedServer, SoftwareVersion } from "@endivebend/request-path";
import {
  encodeOriginRecord,
  type ServiceOrigins,
  type StreamKey,
} from "@endivebend/stream-origins";
import type { TextMetrics } from "@endivebend/telemetry";
import type { BackendServerId, ServiceName } from "@endivebend/types";
import type { OriginKnowledge } from "./origin_knowledge.ts";
import type { StreamOriginLog } from "./ports.ts";
import type { StreamLives } from "./stream_lives.ts";

/** Dependencies of {@link OriginRecorder}. */
export interface OriginRecorderOptions {
  readonly scheduler: Scheduler;
  readonly originLog: StreamOriginLog;
  readonly knowledge: OriginKnowledge;
  readonly lives: StreamLives;
  readonly metrics: TextMetrics;
  nowMs(): number;
  /** Number of daemons in the fleet, including this one. */
  fleetSize(): number;
  /** Whether this daemon reaches the store. */
  reachesStore(): boolean;
  failed(reason: string): void;
}

/** A stream that this daemon has begun to relay. */
export interface OwnStream {
  readonly service: ServiceName;
  readonly server: BackendServerId;
  /** Undefined when unknown. */
  readonly version: SoftwareVersion | undefined;
  readonly beganAtMs: number;
  readonly untilMs: number;
}

interface HeldStream extends OwnStream {
  isRecorded: boolean;
}

const MIN_INTERVAL_MS = 200;
const RETRY_MS = 500;
/** Share of the store's writes that all daemons together use. */
const WRITE_SHARE = 0.2;
/** A record of the log holds 262,144 bytes; a stream takes 14. */
const MAX_STREAMS_PER_RECORD = 5_000;
/** Servers that were listed this recently are listed still. */
const LISTED_MS = 1_000;
/**
 * A server that starts again under its id takes requests for so long before its
 * new entry has come.
 */
const ENTRY_LAG_MS = 4_000;
/** Stands in records for a version that is unknown. */
const UNKNOWN_VERSION = "" as SoftwareVersion;

/** Records this daemon's streams while they may be of several versions. */
export class OriginRecorder {
  readonly #options: OriginRecorderOptions;
  readonly #streams = new Map<StreamKey, HeldStream>();
  /** Services that a record of this daemon tells to be mixed. */
  readonly #marked = new Set<ServiceName>();
  #appendFromMs = 0;
  #isAppending = false;
  #cancelAppend: (() => void) | undefined;

  constructor(options: OriginRecorderOptions) {
    this.#options = options;
  }

  stop(): void {
    this.#cancelAppend?.();
  }

  /** Holds a stream until it is over; it is recorded while that is needed. */
  hold(key: StreamKey, stream: OwnStream): void {
    if (this.#streams.has(key)) return;
    this.#streams.set(key, { ...stream, isRecorded: false });
    this.update(stream.service);
  }

  /** Lets go of a stream that nobody takes up any more. */
  drop(key: StreamKey): void {
    this.#streams.delete(key);
  }

  /** Lets go of the streams that can't be taken up any more. */
  prune(): void {
    const nowMs = this.#options.nowMs();
    for (const [key, { untilMs }] of this.#streams) {
      if (untilMs < nowMs) this.#streams.delete(key);
    }
  }

  /** Records again what a restore of the store may have lost. */
  recordAgain(): void {
    this.#marked.clear();
    for (const stream of this.#streams.values()) stream.isRecorded = false;
    for (const service of this.#options.lives.services) this.update(service);
  }

  /** Sees whether the service's streams have to be recorded. */
  update(service: ServiceName): void {
    if (this.#options.knowledge.isMixed(service)) this.#schedule();
    else this.#marked.delete(service);
  }

  /**
   * Takes back the version of streams that the server may have begun after it
   * had started again, and before its entry told so.
   */
  noteEntry({ id, softwareVersion }: ListedServer): void {
    const { knowledge, nowMs } = this.#options;
    for (const [key, stream] of this.#streams) {
      const isOther = stream.server === id && stream.version !== undefined &&
        stream.version !== softwareVersion;
      if (!isOther || nowMs() - stream.beganAtMs > ENTRY_LAG_MS) continue;
      const version = undefined;
      this.#streams.set(key, { ...stream, version, isRecorded: false });
      knowledge.table.record(key, { version, untilMs: stream.untilMs });
    }
  }

  #schedule(): void {
    if (this.#cancelAppend !== undefined || this.#isAppending) return;
    const { scheduler, nowMs } = this.#options;
    const delayMs = Math.max(0, this.#appendFromMs - nowMs());
    this.#cancelAppend = scheduler.after(delayMs, () => {
      this.#cancelAppend = undefined;
      void this.#append();
    });
  }

  async #append(): Promise<void> {
    const { originLog, scheduler, nowMs, failed } = this.#options;
    const batch = this.#composeBatch();
    if (batch === undefined || !this.#options.reachesStore()) return;
    this.#isAppending = true;
    let delayMs = this.#intervalMs();
    try {
      const { era } = originLog;
      const { services, streams } = batch;
      const position = await originLog.append(encodeOriginRecord({ services }));
      // After a restore they are recorded again.
      if (eraOf(position) === era) this.#noteRecorded(services, streams);
    } catch (caught) {
      delayMs = Math.max(delayMs, RETRY_MS);
      failed((caught as Error).message);
    }
    this.#isAppending = false;
    this.#appendFromMs = nowMs() + delayMs;
    scheduler.after(delayMs, () => {
      if (this.#composeBatch() !== undefined) this.#schedule();
    });
  }

  #noteRecorded(
    services: Readonly<Record<ServiceName, ServiceOrigins>>,
    streams: readonly HeldStream[],
  ): void {
    this.#options.metrics.count("stream_origins_recorded", {}, streams.length);
    for (const stream of streams) stream.isRecorded = true;
    for (const service of Object.keys(services)) {
      this.#marked.add(service as ServiceName);
    }
  }

  #intervalMs(): number {
    const { fleetSize, originLog } = this.#options;
    const perS = originLog.writesPerS * WRITE_SHARE;
    return Math.max(MIN_INTERVAL_MS, fleetSize() * 1_000 / perS);
  }

  /** What is to be recorded; undefined when there is nothing. */
  #composeBatch() {
    const { knowledge, lives } = this.#options;
    const services: Record<ServiceName, ServiceOrigins> = {};
    const recorded: HeldStream[] = [];
    for (const service of lives.services) {
      if (!knowledge.isMixed(service)) continue;
      const streams: Record<SoftwareVersion, StreamKey[]> = {};
      for (const [key, stream] of this.#streams) {
        const isOther = stream.service !== service || stream.isRecorded;
        if (isOther || recorded.length >= MAX_STREAMS_PER_RECORD) continue;
        (streams[stream.version ?? UNKNOWN_VERSION] ??= []).push(key);
        recorded.push(stream);
      }
      const isEmpty = Object.keys(streams).length === 0;
      if (isEmpty && this.#marked.has(service)) continue;
      const listed = knowledge.versions(service, LISTED_MS)
        .map((version) => version ?? null);
      services[service] = { kind: "mixed", listed, streams };
    }
    const isEmpty = Object.keys(services).length === 0;
    return isEmpty ? undefined : { services, streams: recorded };
  }
}
