/**
 * The task that manages the configuration in force on this VM.
 *
 * @module
 */

import {
  applyRecord,
  awaitSnapshotAfterGap,
  checkKey,
  type ConfigurationState,
  createConfigurationState,
  findOpenRoute,
  findTeamView,
  findVerdict,
  isDrainRequested,
  keyIdOf,
  restoreState,
  serializeState,
} from "@endivebend/configuration";
import {
  brandId,
  type KeyId,
  type LogOffset,
  type LogRecord,
  type Sha256Digest,
  type TeamId,
  type VmId,
} from "@endivebend/types";
import type {
  AppendRecord,
  Clock,
  ConfigurationView,
  FollowedStream,
  Identity,
  KeyCheck,
  Logger,
  MembershipView,
  RouteRule,
  Scheduler,
  StreamFold,
  TeamView,
} from "../ports.ts";
import { BlockedKeys } from "./blocked_keys.ts";
import { type ProposalResult, proposeChange } from "./proposals.ts";
import { ConfigurationMaintenance } from "./maintenance.ts";

/** Dependencies of {@link ConfigurationTask}. */
export interface ConfigurationTaskOptions {
  /** A function because the stream's follower is created from this task. */
  readonly stream: () => FollowedStream;
  readonly identity: Identity;
  readonly membership: MembershipView;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly logger: Logger;
  /** Milliseconds for which the platform's log keeps a record. */
  readonly logRetentionMs: number;
}

/** The configuration in force, with its block list and its maintenance. */
export class ConfigurationTask implements StreamFold, ConfigurationView {
  readonly #options: ConfigurationTaskOptions;
  readonly #state = createConfigurationState();
  readonly #blocked = new BlockedKeys();
  readonly #listeners = new Set<() => void>();
  readonly #maintenance: ConfigurationMaintenance;
  #isReady = false;

  constructor(options: ConfigurationTaskOptions) {
    this.#options = options;
    this.#maintenance = new ConfigurationMaintenance({
      ...options,
      state: this.#state,
      blocked: this.#blocked,
    });
  }

  /** Starts the periodic maintenance; {@link stop} ends it. */
  start(): void {
    this.#maintenance.start();
  }

  stop(): void {
    this.#maintenance.stop();
  }

  /** Appends the withdrawals and the snapshot that are due now. */
  runMaintenance(): Promise<void> {
    return this.#maintenance.run();
  }

  apply(record: LogRecord): void {
    const offsetBefore = this.#state.appliedOffset;
    const result = applyRecord(this.#state, record);
    const hasChanged = result.kind === "accepted" ||
      this.#state.appliedOffset > offsetBefore + 1;
    if (hasChanged) this.#onStateChange();
  }

  snapshot(): { readonly json: string; readonly offset: LogOffset } {
    const offset = brandId<LogOffset>(this.#state.appliedOffset);
    return { json: serializeState(this.#state), offset };
  }

  restore(json: string, offset: LogOffset): void {
    if (restoreState(this.#state, { json, offset })) {
      this.#onStateChange();
      return;
    }
    // The follower continues after the peer's offset even when the snapshot
    // could not be restored, so the records up to there count as a gap.
    this.onGap(brandId<LogOffset>(offset + 1));
  }

  isComplete(): boolean {
    return this.#state.awaitedSnapshot === undefined;
  }

  onGap(firstOffset: LogOffset): void {
    awaitSnapshotAfterGap(this.#state, firstOffset);
    this.#options.logger.warn(
      { firstOffset, appliedOffset: this.#state.appliedOffset },
      "The log no longer holds the next record to apply; waiting for a snapshot",
    );
  }

  appliedOffset(): number {
    return this.#state.appliedOffset;
  }

  /** True from the time at which a complete configuration was first applied. */
  isReady(): boolean {
    this.#isReady ||= this.#options.stream().isCaughtUp() &&
      this.#state.awaitedSnapshot === undefined;
    return this.#isReady;
  }

  checkKey(digest: Sha256Digest): KeyCheck {
    const status = checkKey(this.#state, digest);
    if (status.kind === "valid" && this.#blocked.has(digest)) {
      return { kind: "refused", code: "key_withdrawn" };
    }
    return status;
  }

  team(team: TeamId): TeamView | undefined {
    return findTeamView(this.#state, team);
  }

  openRoute(method: string, path: string): RouteRule | undefined {
    return findOpenRoute(this.#state, { method, path });
  }

  isDrainRequested(vmId: VmId): boolean {
    return isDrainRequested(this.#state, vmId);
  }

  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** The state for the operators' interface, which must not change it. */
  state(): ConfigurationState {
    return this.#state;
  }

  /** Returns the verdict on a record id, as long as the state remembers it. */
  verdict(recordId: string): ReturnType<typeof findVerdict> {
    return findVerdict(this.#state, recordId);
  }

  /** Proposes a change; a key that it withdraws is blocked locally at once. */
  propose(
    record: AppendRecord,
    options: { readonly deadlineElapsedMs: number },
  ): Promise<ProposalResult> {
    if (record.kind === "key_withdrawn") {
      this.blockKey(brandId<KeyId>(String(record.keyId)));
    }
    const { deadlineElapsedMs } = options;
    const stream = this.#options.stream();
    const state = this.#state;
    return proposeChange(record, { state, stream, deadlineElapsedMs });
  }

  /**
   * Blocks a key on this VM and, through the next exchanges, at peers. Returns
   * false when the configuration has no key with this id.
   */
  blockKey(keyId: KeyId): boolean {
    const digest = this.#state.keys.get(keyId)?.digest;
    if (digest === undefined) return false;
    const sinceElapsedMs = this.#options.clock.elapsedMs();
    if (this.#blocked.block({ digest, sinceElapsedMs, isOrigin: true })) {
      this.#options.logger.info(
        { keyId },
        "Key blocked until the log holds its withdrawal",
      );
      this.#notify();
    }
    return true;
  }

  /** Digests of the keys that are blocked on this VM, for peers. */
  blockedDigests(): readonly Sha256Digest[] {
    return this.#blocked.digests();
  }

  /** Blocks the keys that a peer blocks. */
  mergeBlockedDigests(digests: readonly string[]): void {
    const sinceElapsedMs = this.#options.clock.elapsedMs();
    const added = this.#blocked.merge(digests, {
      sinceElapsedMs,
      isWithdrawn: (digest) => this.#isWithdrawn(digest),
    });
    if (added.length === 0) return;
    const keyIds = added.map(keyIdOf);
    this.#options.logger.info(
      { keyIds },
      "Keys blocked because a peer blocks them",
    );
    this.#notify();
  }

  #isWithdrawn(digest: Sha256Digest): boolean {
    const status = checkKey(this.#state, digest);
    return status.kind === "refused" && status.code === "key_withdrawn";
  }

  #onStateChange(): void {
    this.#blocked.prune((digest) => this.#isWithdrawn(digest));
    this.#notify();
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }
}

/**
 * Creates the configuration task.
 *
 * @example
 * ```ts
 * const task = createConfigurationTask({ stream: () => follower, ...rest });
 * const follower = new LogFollower({ stream: "configuration", fold: task, ...rest });
 * task.start();
 * ```
 */
export function createConfigurationTask(
  options: ConfigurationTaskOptions,
): ConfigurationTask {
  return new ConfigurationTask(options);
}
