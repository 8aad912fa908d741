/**
 * What a daemon tells the others, and what it takes from them.
 *
 * @module
 */

import type {
  FleetState,
  GossipMessage,
  RecordTable,
  WeightsProgress,
} from "@endivebend/fleet";
import type {
  AdmissionController,
  CacheChange,
  NamedWeights,
  NamedWeightsRegistry,
  PrefixCacheId,
  SegmentKey,
  ServerRegistry,
} from "@endivebend/request-path";
import {
  type BackendServerId,
  brandId,
  type FailureDomainId,
  type IncarnationId,
  type ModelName,
  type VmId,
} from "@endivebend/types";

/** Who talks, and what about. */
export interface FleetGossipOptions {
  readonly vm: VmId;
  readonly incarnation: IncarnationId;
  readonly failureDomain: FailureDomainId;
  /** Where this daemon takes messages. */
  readonly address: string;
  readonly fleet: FleetState;
  readonly registry: ServerRegistry;
  readonly admission: AdmissionController;
  readonly named: NamedWeightsRegistry;
  readonly tables: ReadonlyMap<string, RecordTable>;
  nowMs(): number;
  reachesStore(): boolean;
  leaseEpoch(): number;
  /** News of the memories that this daemon watches. */
  watchedCacheChanges(): Readonly<
    Record<PrefixCacheId, readonly CacheChange[]>
  >;
  /** How long ago this daemon itself read each topic from the store. */
  readAgesMs(): Readonly<Record<string, number>>;
}

/** How long peers are told that a server has new weights. */
const WEIGHTS_PROGRESS_TTL_MS = 4_000;
/** An engine that takes new weights is avoided no longer than this. */
const MAX_LOADING_MS = 3_000;

/** Composes messages and applies those of others. */
export class FleetGossip {
  readonly #options: FleetGossipOptions;
  readonly #weightsProgress = new Map<
    BackendServerId,
    WeightsProgress & { readonly untilMs: number }
  >();
  #sequence = 0;

  constructor(options: FleetGossipOptions) {
    this.#options = options;
  }

  /** This daemon's state as the others should know it now. */
  composeMessage(): GossipMessage {
    const { vm, incarnation, failureDomain, address } = this.#options;
    const { registry, admission, named } = this.#options;
    const nowMs = this.#options.nowMs();
    return {
      vm,
      incarnation,
      failureDomain,
      address,
      sequence: ++this.#sequence,
      isLeaving: false,
      reachesStore: this.#options.reachesStore(),
      duty: { epoch: this.#options.leaseEpoch() },
      spent: admission.spent(),
      work: this.#ownWork(),
      weights: this.#currentWeightsProgress(nowMs),
      named: named.ages(nowMs),
      suspects: registry.suspects(nowMs),
      placed: registry.recentPlacements.pending(nowMs),
      kept: this.#options.watchedCacheChanges(),
      records: this.#recordOffsets(),
      readAgesMs: this.#options.readAgesMs(),
    };
  }

  /** Takes a message; false when it is old news. */
  receive(message: GossipMessage): boolean {
    const { fleet, admission } = this.#options;
    const fleetChange = fleet.applyMessage(message, this.#options.nowMs());
    if (fleetChange === undefined) return false;
    for (const { team, units } of fleetChange.spent) {
      admission.recordPeerSpending(team, units);
    }
    for (const progress of message.weights) {
      this.#applyWeightsProgress(progress);
    }
    this.#applyNamedWeights(message);
    this.#applyServerState(message);
    return true;
  }

  /** An engine begins or has ended taking weights by this daemon's order. */
  announceWeightsProgress(progress: WeightsProgress): void {
    const untilMs = this.#options.nowMs() + WEIGHTS_PROGRESS_TTL_MS;
    this.#weightsProgress.set(progress.server, { ...progress, untilMs });
    this.#applyWeightsProgress(progress);
  }

  #ownWork(): Record<BackendServerId, [number, number]> {
    const work: Record<BackendServerId, [number, number]> = {};
    for (const { listed, ownWork: own } of this.#options.registry.all()) {
      if (own.size === 0) continue;
      let prefillTokens = 0;
      for (const request of own.values()) {
        prefillTokens += request.prefillTokens;
      }
      work[listed.id] = [own.size, prefillTokens];
    }
    return work;
  }

  #recordOffsets(): Record<string, number> {
    const offsets: Record<string, number> = {};
    for (const [topic, table] of this.#options.tables) {
      offsets[topic] = table.highestOffset;
    }
    return offsets;
  }

  #currentWeightsProgress(nowMs: number): WeightsProgress[] {
    const current: WeightsProgress[] = [];
    for (const [id, { untilMs, ...progress }] of this.#weightsProgress) {
      if (untilMs < nowMs) this.#weightsProgress.delete(id);
      else current.push(progress);
    }
    return current;
  }

  #applyNamedWeights(message: GossipMessage): void {
    const { named } = this.#options;
    const nowMs = this.#options.nowMs();
    for (const [model, ages] of Object.entries(message.named)) {
      for (const [weights, ageMs] of ages) {
        named.recordFirstSeen(
          brandId<ModelName>(model),
          brandId<NamedWeights["weights"]>(weights),
          nowMs - ageMs,
        );
      }
    }
  }

  #applyServerState(message: GossipMessage): void {
    const { registry } = this.#options;
    const nowMs = this.#options.nowMs();
    for (const id of message.suspects) registry.recordSuspicion(id, nowMs);
    for (const [id, parts] of Object.entries(message.placed)) {
      registry.recordPlacement(
        id as PrefixCacheId,
        parts as SegmentKey[],
        nowMs,
      );
    }
    for (const [id, changes] of Object.entries(message.kept)) {
      registry.recordReport(
        id as PrefixCacheId,
        changes as CacheChange[],
        nowMs,
      );
    }
  }

  #applyWeightsProgress(progress: WeightsProgress): void {
    const { registry } = this.#options;
    const weights = brandId<NamedWeights["weights"]>(progress.weights);
    if (progress.isDone) {
      registry.recordWeights(progress.server, progress.model, weights);
      return;
    }
    const server = registry.get(progress.server);
    const currentWeights = server && registry.weightsOf(server, progress.model);
    if (currentWeights !== undefined && currentWeights >= weights) return;
    registry.recordLoading(
      progress.server,
      this.#options.nowMs() + MAX_LOADING_MS,
    );
  }
}
