/**
 * What this daemon knows of the versions that began streams: from the list of
 * servers, from its own relays, and from the log as far as it has read it.
 *
 * @module
 */

import {
  eraOf,
  type LogPosition,
  logPosition,
  offsetOf,
} from "@endivebend/fleet";
import type { SoftwareVersion } from "@endivebend/request-path";
import {
  decodeOriginRecord,
  type KnownOrigin,
  OriginLogState,
  OriginTable,
  type ServiceState,
  type StreamKey,
  VersionWatch,
} from "@endivebend/stream-origins";
import type { ServiceName } from "@endivebend/types";
import type { StreamOriginLog } from "./ports.ts";
import { SharedReads } from "./shared_reads.ts";
import type { StreamLives } from "./stream_lives.ts";

/** Dependencies of {@link OriginKnowledge}. */
export interface OriginKnowledgeOptions {
  readonly originLog: StreamOriginLog;
  readonly lives: StreamLives;
  nowMs(): number;
  /** Called when the log turns out to be of a restored store. */
  restored(): void;
  failed(reason: string): void;
}

/** Age up to which the list is current enough to record what it says. */
const MAX_AGE_MS = 1_000;

/** What is known of the versions that began streams. */
export class OriginKnowledge {
  readonly watch = new VersionWatch();
  readonly table = new OriginTable();
  readonly #options: OriginKnowledgeOptions;
  readonly #state = new OriginLogState(this.table);
  readonly #reads: SharedReads<boolean>;
  #position: LogPosition | undefined;
  #readAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: OriginKnowledgeOptions) {
    this.#options = options;
    this.#reads = new SharedReads(() => this.#readLog());
  }

  /** The end of the log as it was read last. */
  get position(): LogPosition | undefined {
    return this.#position;
  }

  /** When the last read that reached the end of the log began. */
  get readAtMs(): number {
    return this.#readAtMs;
  }

  /** Whether the log was not read since the list of servers is current. */
  get isUnread(): boolean {
    const { sinceMs } = this.watch;
    return sinceMs !== undefined && this.#readAtMs < sinceMs;
  }

  /** Reads the log to its end; false when the store does not answer. */
  read(): Promise<boolean> {
    return this.#reads.read();
  }

  /** What the log says of the service, as far as it was read. */
  stateOf(service: ServiceName): ServiceState | undefined {
    return this.#state.stateOf(service);
  }

  /** Forgets what the log says, as the store may have lost records. */
  forgetLog(): void {
    this.#state.forget();
    this.#position = undefined;
    this.#readAtMs = Number.NEGATIVE_INFINITY;
  }

  find(key: StreamKey): KnownOrigin | undefined {
    return this.table.find(key, this.#options.nowMs());
  }

  /** Versions of the service that were listed within the last `lifeMs`. */
  versions(service: ServiceName, lifeMs: number) {
    return this.watch.versions(service, {
      nowMs: this.#options.nowMs(),
      lifeMs,
    });
  }

  /** The version that alone was listed for as long as any stream can live. */
  soleVersion(service: ServiceName): SoftwareVersion | undefined {
    return this.#isListCurrent()
      ? this.#watchedVersion(service) ?? this.#firstVersion(service)
      : undefined;
  }

  /**
   * The only version that can have begun the service's streams until then: the
   * sole one, or the one that the service had settled on before this daemon
   * started. A list that was read before may lack servers at which other daemons
   * have begun streams.
   */
  onlyVersion(
    service: ServiceName,
    untilMs: number,
  ): SoftwareVersion | undefined {
    return this.watch.wasCurrentAt(untilMs)
      ? this.#versionToRelyOn(service)
      : undefined;
  }

  /** Whether streams of several versions may live. */
  isMixed(service: ServiceName): boolean {
    const lifeMs = this.#options.lives.lifeMs(service);
    if (lifeMs === undefined) return false;
    const versions = this.versions(service, lifeMs);
    if (versions.length > 1) return true;
    if (this.#versionToRelyOn(service) !== undefined) return false;
    const state = this.#currentStateOf(service);
    return state?.kind === "mixed" ||
      (state?.kind === "settled" &&
        versions.some((version) => version !== state.version));
  }

  #isListCurrent(): boolean {
    return this.watch.ageMs(this.#options.nowMs()) <= MAX_AGE_MS;
  }

  #watchedVersion(service: ServiceName): SoftwareVersion | undefined {
    const lifeMs = this.#options.lives.lifeMs(service);
    if (lifeMs === undefined) return undefined;
    const nowMs = this.#options.nowMs();
    return this.watch.soleVersion(service, { nowMs, lifeMs });
  }

  /**
   * The only version that a new fleet has listed. Nothing was ever appended to
   * its log, so no daemon has seen several versions, nor relied on one.
   */
  #firstVersion(service: ServiceName): SoftwareVersion | undefined {
    const isNewLog = !this.isUnread && this.#position !== undefined &&
      offsetOf(this.#position) === 0;
    const lifeMs = this.#options.lives.lifeMs(service);
    if (!isNewLog || lifeMs === undefined) return undefined;
    const nowMs = this.#options.nowMs();
    return this.watch.soleSeen(service, { nowMs, lifeMs });
  }

  /** The only version, if the list was current until now. */
  #versionToRelyOn(service: ServiceName): SoftwareVersion | undefined {
    const watched = this.#watchedVersion(service) ??
      this.#firstVersion(service);
    const lifeMs = this.#options.lives.lifeMs(service);
    if (watched !== undefined || lifeMs === undefined) return watched;
    const nowMs = this.#options.nowMs();
    const seen = this.watch.soleSeen(service, { nowMs, lifeMs });
    const state = this.#currentStateOf(service);
    const isSettled = state?.kind === "settled" && state.version === seen;
    return isSettled ? seen : undefined;
  }

  /** What the log says; what was read before the watch began may be over. */
  #currentStateOf(service: ServiceName): ServiceState | undefined {
    return this.isUnread ? undefined : this.#state.stateOf(service);
  }

  async #readLog(): Promise<boolean> {
    const { originLog, nowMs, restored, failed } = this.#options;
    const beganAtMs = nowMs();
    try {
      for (;;) {
        const from = this.#position;
        const read = await originLog.read(from);
        // A restore that was noted meanwhile has the log read anew.
        if (this.#position !== from) continue;
        if (from !== undefined && eraOf(read.next) !== eraOf(from)) {
          restored();
          continue;
        }
        this.#applyAll(read);
        this.#position = read.next;
        if (read.isEnd) break;
      }
      this.#readAtMs = beganAtMs;
      return true;
    } catch (caught) {
      failed((caught as Error).message);
      return false;
    }
  }

  #applyAll(
    read: { readonly records: readonly Buffer[]; readonly next: LogPosition },
  ): void {
    const { records, next } = read;
    const nowMs = this.#options.nowMs();
    const untilMs = nowMs + this.#options.lives.longestMs;
    const firstOffset = offsetOf(next) - records.length;
    records.forEach((bytes, index) => {
      const record = decodeOriginRecord(bytes);
      const position = logPosition(eraOf(next), firstOffset + index);
      this.#state.apply(record, { position, nowMs, untilMs });
      for (const [name, origins] of Object.entries(record?.services ?? {})) {
        if (origins.kind !== "mixed") continue;
        // The writer may list servers that this daemon has not heard of.
        for (const listed of origins.listed) {
          const version = listed ?? undefined;
          this.watch.noteListed(name as ServiceName, { version, nowMs });
        }
      }
    });
  }
}
