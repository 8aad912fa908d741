/**
 * Records which services have settled on one version, for daemons that start,
 * and keeps the log short. One daemon of the fleet does so.
 *
 * @module
 */

import type { LogPosition } from "@endivebend/fleet";
import type { SoftwareVersion } from "@endivebend/request-path";
import { encodeOriginRecord } from "@endivebend/stream-origins";
import type { RateLimitedLog } from "@endivebend/telemetry";
import type { ServiceName } from "@endivebend/types";
import type { OriginKnowledge } from "./origin_knowledge.ts";
import type { StreamOriginLog } from "./ports.ts";
import type { StreamLives } from "./stream_lives.ts";

/** Dependencies of {@link SettledRecorder}. */
export interface SettledRecorderOptions {
  readonly originLog: StreamOriginLog;
  readonly knowledge: OriginKnowledge;
  readonly lives: StreamLives;
  readonly log: RateLimitedLog;
  nowMs(): number;
  /** Whether this daemon is the one that records, and reaches the store. */
  isOnDuty(): boolean;
  failed(reason: string): void;
}

/** Time between deletions of records while a service is mixed. */
const TRIM_INTERVAL_MS = 10_000;
/** Share of the time that the log keeps a record after which it is renewed. */
const RENEWAL_SHARE = 1 / 3;

type Settled = ReadonlyMap<ServiceName, SoftwareVersion>;

/** Records the services that have settled on one version. */
export class SettledRecorder {
  readonly #options: SettledRecorderOptions;
  /** Ends of the log as they were read, the oldest first. */
  #ends: { readonly position: LogPosition; readonly atMs: number }[] = [];
  /** When the settled records in force were found, or renewed. */
  #settledAtMs = Number.NEGATIVE_INFINITY;
  #trimFromMs = 0;

  constructor(options: SettledRecorderOptions) {
    this.#options = options;
  }

  /** Forgets what it knows of a log that a restore has set back. */
  forget(): void {
    this.#ends = [];
    this.#settledAtMs = Number.NEGATIVE_INFINITY;
  }

  /** Looks after the log; to be called every 2 s. */
  async maintain(): Promise<void> {
    const { knowledge, nowMs, isOnDuty, failed } = this.#options;
    if (!isOnDuty() || knowledge.isUnread) return;
    const settled = this.#settledServices();
    const wasInForce = this.#areInForce(settled);
    const isFound = wasInForce && this.#settledAtMs < 0;
    if (isFound) this.#settledAtMs = knowledge.readAtMs;
    const isTrimDue = this.#isAnyMixed() && nowMs() >= this.#trimFromMs;
    if (wasInForce && !isTrimDue && !this.#isRenewalDue(settled)) return;
    const readBeforeMs = knowledge.readAtMs;
    if (!await knowledge.read()) return;
    if (!wasInForce && this.#areInForce(settled)) {
      this.#settledAtMs = nowMs();
      return;
    }
    try {
      if (!this.#areQuiet(settled, readBeforeMs)) return;
      const position = await this.#appendSettled(settled);
      await this.#trim(position);
    } catch (caught) {
      failed((caught as Error).message);
    }
  }

  #isAnyMixed(): boolean {
    const { knowledge, lives } = this.#options;
    return lives.services.some((service) => knowledge.isMixed(service));
  }

  #settledServices(): Settled {
    const { knowledge, lives } = this.#options;
    return new Map(lives.services.flatMap((service) => {
      const version = knowledge.soleVersion(service);
      return version === undefined ? [] : [[service, version] as const];
    }));
  }

  #isRenewalDue({ size }: Settled): boolean {
    const { originLog, nowMs } = this.#options;
    return size > 0 &&
      nowMs() >= this.#settledAtMs + originLog.keepMs * RENEWAL_SHARE;
  }

  /** Whether the log says so already, as far as it was read. */
  #areInForce(settled: Settled): boolean {
    return [...settled].every(([service, version]) => {
      const state = this.#options.knowledge.stateOf(service);
      return state?.kind === "settled" && state.version === version;
    });
  }

  /** Whether no daemon has told since that a settled service is mixed. */
  #areQuiet(settled: Settled, sinceMs: number): boolean {
    const { knowledge } = this.#options;
    return [...settled].every(([service, version]) => {
      const state = knowledge.stateOf(service);
      const isNew = state?.kind === "mixed" && state.readAtMs > sinceMs;
      return !isNew && knowledge.soleVersion(service) === version;
    });
  }

  /** Returns the position of the record, if there is one to append. */
  async #appendSettled(settled: Settled): Promise<LogPosition | undefined> {
    const { originLog, knowledge, log, nowMs } = this.#options;
    const { position: readTo } = knowledge;
    if (settled.size === 0 || readTo === undefined) return undefined;
    const services = Object.fromEntries(
      [...settled].map(([service, version]) =>
        [service, { kind: "settled", version, readTo }] as const
      ),
    );
    const position = await originLog.append(encodeOriginRecord({ services }));
    this.#settledAtMs = nowMs();
    log.stateChange("streams_settled", Object.fromEntries(settled));
    await knowledge.read();
    return position;
  }

  /**
   * Deletes what no daemon needs: all that precedes a record which tells that
   * every service has settled, or else what is older than any stream.
   */
  async #trim(settledAt: LogPosition | undefined): Promise<void> {
    const { originLog, knowledge, lives, nowMs } = this.#options;
    this.#trimFromMs = nowMs() + TRIM_INTERVAL_MS;
    if (!this.#isAnyMixed()) {
      this.#ends = [];
      if (settledAt !== undefined) await originLog.trim(settledAt);
      return;
    }
    const agedMs = nowMs() - lives.longestMs;
    const aged = this.#ends.filter(({ atMs }) => atMs <= agedMs);
    this.#ends = this.#ends.filter((end) => !aged.includes(end));
    const { position } = knowledge;
    if (position !== undefined) this.#ends.push({ position, atMs: nowMs() });
    const last = aged.at(-1);
    if (last !== undefined) await originLog.trim(last.position);
  }
}
