/**
 * Takes the operator's records and the entries of servers into force, whether
 * they came from the store or from a peer.
 *
 * @module
 */

import type { KeyedRecord } from "@endivebend/fleet";
import type {
  AdmissionController,
  CallerLimits,
  Configuration,
  NamedWeightsRegistry,
  ServerRegistry,
} from "@endivebend/request-path";
import { type BackendServerId, brandId } from "@endivebend/types";
import type { OperatorRecord, RecordStore } from "./ports.ts";

/** What the intake needs of its neighbours. */
export interface RecordIntakeOptions {
  readonly store: Pick<RecordStore, "readOperatorRecord" | "readServer">;
  readonly admission: AdmissionController;
  readonly registry: ServerRegistry;
  readonly named: NamedWeightsRegistry;
  nowMs(): number;
  applyLimits(limits: CallerLimits): void;
  decision(step: string, fields: Readonly<Record<string, unknown>>): void;
}

/** Applies records and remembers what has been heard at all. */
export class RecordIntake {
  readonly #options: RecordIntakeOptions;
  #hasOperatorRecords = false;
  #hasServers = false;

  constructor(options: RecordIntakeOptions) {
    this.#options = options;
  }

  /** Whether a listing of the servers has come. */
  get hasServers(): boolean {
    return this.#hasServers;
  }

  takeOperatorRecords(records: readonly KeyedRecord[]): void {
    for (const record of records) {
      if (record.value === undefined) continue;
      const read = this.#options.store.readOperatorRecord(record);
      this.#takeOperatorRecord(record, read);
    }
    this.#hasOperatorRecords = true;
  }

  takeServers(records: readonly KeyedRecord[]): void {
    this.#hasServers = true;
    for (const record of records) this.#takeServer(record);
  }

  #takeOperatorRecord(
    { key, offset }: KeyedRecord,
    read: OperatorRecord,
  ): void {
    const { decision } = this.#options;
    if (read.kind === "malformed") {
      decision("malformed_record", { key, offset });
    } else if (read.kind === "configuration") {
      this.#configure(read.configuration, offset);
    } else if (read.kind === "weights") {
      this.#name(read, offset);
    }
  }

  #configure(configuration: Configuration, offset: number): void {
    const { admission, decision, applyLimits } = this.#options;
    const isNewer = admission.configure(configuration);
    const { revision, callerLimits } = configuration;
    decision("configuration", { revision, offset, isNewer });
    if (isNewer) applyLimits(callerLimits);
  }

  #name(
    { model, weights }: OperatorRecord & { readonly kind: "weights" },
    offset: number,
  ): void {
    const { named, nowMs, decision } = this.#options;
    const isNews = named.name(model, {
      weights,
      firstSeenAtMs: nowMs(),
      // The first listing holds what was named before the start as well.
      isAgeKnown: this.#hasOperatorRecords,
    });
    if (isNews) decision("weights_named", { model, weights, offset });
  }

  #takeServer(record: KeyedRecord): void {
    const { registry, store, nowMs, decision } = this.#options;
    const { key, value, offset } = record;
    if (value === undefined) {
      registry.remove(brandId<BackendServerId>(key), nowMs());
      return decision("server", { server: key, change: "removed", offset });
    }
    const server = store.readServer(record);
    if (server === undefined) {
      return decision("malformed_record", { key, offset });
    }
    const change = registry.upsert(server);
    if (change === "same") return;
    const { isLeaving, address } = server;
    decision("server", { server: key, change, isLeaving, address, offset });
  }
}
