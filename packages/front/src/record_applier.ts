/**
 * Applies operator records and server records, whether they came from the store
 * or from a peer.
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

/** The objects that a `RecordApplier` updates, and what it reads. */
export interface RecordApplierOptions {
  readonly store: Pick<RecordStore, "readOperatorRecord" | "readServer">;
  readonly admission: AdmissionController;
  readonly registry: ServerRegistry;
  readonly named: NamedWeightsRegistry;
  nowMs(): number;
  applyLimits(limits: CallerLimits): void;
  logDecision(step: string, fields: Readonly<Record<string, unknown>>): void;
}

/** Applies records and tracks which kinds have been received. */
export class RecordApplier {
  readonly #options: RecordApplierOptions;
  #hasOperatorRecords = false;
  #hasServerRecords = false;

  constructor(options: RecordApplierOptions) {
    this.#options = options;
  }

  /** Whether server records have been received. */
  get hasServerRecords(): boolean {
    return this.#hasServerRecords;
  }

  applyOperatorRecords(records: readonly KeyedRecord[]): void {
    for (const record of records) {
      if (record.value === undefined) continue;
      const parsed = this.#options.store.readOperatorRecord(record);
      this.#applyOperatorRecord(record, parsed);
    }
    this.#hasOperatorRecords = true;
  }

  applyServerRecords(records: readonly KeyedRecord[]): void {
    this.#hasServerRecords = true;
    for (const record of records) this.#applyServerRecord(record);
  }

  #applyOperatorRecord(
    { key, offset }: KeyedRecord,
    parsed: OperatorRecord,
  ): void {
    const { logDecision } = this.#options;
    if (parsed.kind === "malformed") {
      logDecision("malformed_record", { key, offset });
    } else if (parsed.kind === "configuration") {
      this.#applyConfiguration(parsed.configuration, offset);
    } else if (parsed.kind === "weights") {
      this.#applyNamedWeights(parsed, offset);
    }
  }

  #applyConfiguration(configuration: Configuration, offset: number): void {
    const { admission, logDecision, applyLimits } = this.#options;
    const isNewer = admission.configure(configuration);
    const { revision, callerLimits } = configuration;
    logDecision("configuration", { revision, offset, isNewer });
    if (isNewer) applyLimits(callerLimits);
  }

  #applyNamedWeights(
    { model, weights }: OperatorRecord & { readonly kind: "weights" },
    offset: number,
  ): void {
    const { named, nowMs, logDecision } = this.#options;
    const isNewer = named.name(model, {
      weights,
      firstSeenAtMs: nowMs(),
      // The first records include weights that were named before the start, so
      // their age is unknown.
      isAgeKnown: this.#hasOperatorRecords,
    });
    if (isNewer) logDecision("weights_named", { model, weights, offset });
  }

  #applyServerRecord(record: KeyedRecord): void {
    const { registry, store, nowMs, logDecision } = this.#options;
    const { key, value, offset } = record;
    if (value === undefined) {
      registry.remove(brandId<BackendServerId>(key), nowMs());
      return logDecision("server", { server: key, change: "removed", offset });
    }
    const server = store.readServer(record);
    if (server === undefined) {
      return logDecision("malformed_record", { key, offset });
    }
    const change = registry.upsert(server);
    if (change === "same") return;
    const { isLeaving, address } = server;
    logDecision("server", { server: key, change, isLeaving, address, offset });
  }
}
