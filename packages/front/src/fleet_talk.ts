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
export interface FleetTalkOptions {
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
  dutyEpoch(): number;
  /** News of the memories that this daemon watches. */
  keptNews(): Readonly<Record<PrefixCacheId, readonly CacheChange[]>>;
  /** How long ago this daemon itself read each topic from the store. */
  readAgesMs(): Readonly<Record<string, number>>;
}

/** How long peers are told that a server has new weights. */
const WEIGHTS_NOTE_MS = 4_000;
/** An engine that takes new weights is avoided no longer than this. */
const LOADING_MS = 3_000;

/** Composes messages and applies those of others. */
export class FleetTalk {
  readonly #options: FleetTalkOptions;
  readonly #notes = new Map<
    BackendServerId,
    WeightsProgress & { readonly untilMs: number }
  >();
  #sequence = 0;

  constructor(options: FleetTalkOptions) {
    this.#options = options;
  }

  /** This daemon's state as the others should know it now. */
  compose(): GossipMessage {
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
      duty: { epoch: this.#options.dutyEpoch() },
      spent: admission.spent(),
      work: this.#ownWork(),
      weights: this.#freshNotes(nowMs),
      named: named.ages(nowMs),
      suspects: registry.suspects(nowMs),
      placed: registry.recentPlacements.pending(nowMs),
      kept: this.#options.keptNews(),
      records: this.#heldOffsets(),
      readAgesMs: this.#options.readAgesMs(),
    };
  }

  /** Takes a message; false when it is old news. */
  hear(message: GossipMessage): boolean {
    const { fleet, admission } = this.#options;
    const heard = fleet.applyMessage(message, this.#options.nowMs());
    if (heard === undefined) return false;
    for (const { team, units } of heard.spent) {
      admission.recordPeerSpending(team, units);
    }
    for (const note of message.weights) this.#applyNote(note);
    this.#hearAges(message);
    this.#hearOfServers(message);
    return true;
  }

  /** An engine begins or has ended taking weights by this daemon's order. */
  noteWeights(note: WeightsProgress): void {
    const untilMs = this.#options.nowMs() + WEIGHTS_NOTE_MS;
    this.#notes.set(note.server, { ...note, untilMs });
    this.#applyNote(note);
  }

  #ownWork(): Record<BackendServerId, [number, number]> {
    const work: Record<BackendServerId, [number, number]> = {};
    for (const { listed, ownWork: own } of this.#options.registry.all()) {
      if (own.size === 0) continue;
      let prefillTokens = 0;
      for (const item of own.values()) prefillTokens += item.prefillTokens;
      work[listed.id] = [own.size, prefillTokens];
    }
    return work;
  }

  #heldOffsets(): Record<string, number> {
    const offsets: Record<string, number> = {};
    for (const [topic, table] of this.#options.tables) {
      offsets[topic] = table.highestOffset;
    }
    return offsets;
  }

  #freshNotes(nowMs: number): WeightsProgress[] {
    const fresh: WeightsProgress[] = [];
    for (const [id, { untilMs, ...note }] of this.#notes) {
      if (untilMs < nowMs) this.#notes.delete(id);
      else fresh.push(note);
    }
    return fresh;
  }

  #hearAges(message: GossipMessage): void {
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

  #hearOfServers(message: GossipMessage): void {
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

  #applyNote(note: WeightsProgress): void {
    const { registry } = this.#options;
    const weights = brandId<NamedWeights["weights"]>(note.weights);
    if (note.isDone) {
      registry.recordWeights(note.server, note.model, weights);
      return;
    }
    const server = registry.get(note.server);
    const known = server && registry.weightsOf(server, note.model);
    if (known !== undefined && known >= weights) return;
    registry.recordLoading(note.server, this.#options.nowMs() + LOADING_MS);
  }
}
