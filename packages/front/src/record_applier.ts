/**
 * Applies operator records and server records, whether they came from the store
 * or from a peer.
 *
 * @module
 */

import { eraOf, type KeyedRecord, offsetOf } from "@endivebend/fleet";
import type {
  AdmissionController,
  CallerLimits,
  Configuration,
  ListedServer,
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
  /** Called for each order to move a service to a software version. */
  rolloutOrdered(
    rollout: OperatorRecord & { readonly kind: "rollout" },
    at: { readonly position: number; readonly isAgeKnown: boolean },
  ): void;
  /** Called for each entry of a server that is applied. */
  serverListed(server: ListedServer): void;
  /** Whether the store is away, or was until some seconds ago. */
  wasStoreAway(): boolean;
  applyLimits(limits: CallerLimits): void;
  logDecision(step: string, fields: Readonly<Record<string, unknown>>): void;
}

/**
 * Whether an entry lacks what an earlier one of the same server states. Another
 * writer has made it, and it must not replace the server's own.
 */
function lacksFieldsOf(known: ListedServer, entry: ListedServer): boolean {
  const lacksStart = entry.startedAtMs === 0 && known.startedAtMs > 0;
  const lacksVersion = entry.softwareVersion === undefined &&
    known.softwareVersion !== undefined;
  return lacksStart || lacksVersion ||
    (entry.weights.size === 0 && known.weights.size > 0);
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
    this.#applyEach(records, (record) => {
      if (record.value === undefined) return;
      const parsed = this.#options.store.readOperatorRecord(record);
      this.#applyOperatorRecord(record, parsed);
    });
    this.#hasOperatorRecords = true;
  }

  applyServerRecords(records: readonly KeyedRecord[]): void {
    this.#hasServerRecords = true;
    this.#applyEach(records, (record) => this.#applyServerRecord(record));
  }

  /** Leaves out a record that raises an error; the others hold. */
  #applyEach(
    records: readonly KeyedRecord[],
    apply: (record: KeyedRecord) => void,
  ): void {
    for (const record of records) {
      try {
        apply(record);
      } catch (caught) {
        const reason = String(caught);
        this.#log("malformed_record", record, { key: record.key, reason });
      }
    }
  }

  #applyOperatorRecord(
    record: KeyedRecord,
    parsed: OperatorRecord,
  ): void {
    if (parsed.kind === "malformed") {
      this.#log("malformed_record", record);
    } else if (parsed.kind === "configuration") {
      this.#applyConfiguration(parsed.configuration, record);
    } else if (parsed.kind === "weights") {
      this.#applyNamedWeights(parsed, record);
    } else if (parsed.kind === "rollout") {
      this.#options.rolloutOrdered(parsed, {
        position: record.position,
        isAgeKnown: this.#hasOperatorRecords,
      });
    }
  }

  #applyConfiguration(configuration: Configuration, record: KeyedRecord): void {
    const { admission, applyLimits } = this.#options;
    const isNewer = admission.configure(configuration);
    const { revision, callerLimits } = configuration;
    this.#log("configuration", record, { revision, isNewer });
    if (isNewer) applyLimits(callerLimits);
  }

  #applyNamedWeights(
    { model, weights }: OperatorRecord & { readonly kind: "weights" },
    record: KeyedRecord,
  ): void {
    const { named, nowMs } = this.#options;
    const isNewer = named.name(model, {
      weights,
      firstSeenAtMs: nowMs(),
      // The first records include weights that were named before the start, so
      // their age is unknown.
      isAgeKnown: this.#hasOperatorRecords,
    });
    if (isNewer) this.#log("weights_named", record, { model, weights });
  }

  #applyServerRecord(record: KeyedRecord): void {
    const { registry, store, nowMs } = this.#options;
    const { key, value } = record;
    if (value === undefined) {
      const mayBeBack = this.#options.wasStoreAway();
      const id = brandId<BackendServerId>(key);
      registry.remove(id, { nowMs: nowMs(), mayBeBack });
      const change = "removed";
      return this.#log("server", record, { server: key, change, mayBeBack });
    }
    const server = store.readServer(record);
    const known = server && registry.get(server.id)?.listed;
    if (server === undefined || (known && lacksFieldsOf(known, server))) {
      return this.#log("malformed_record", record);
    }
    const change = registry.upsert(server, nowMs());
    this.#options.serverListed(server);
    if (change === "same") return;
    const { isLeaving, address, softwareVersion, startedAtMs } = server;
    this.#log("server", record, {
      server: key,
      change,
      isLeaving,
      address,
      softwareVersion,
      startedAtMs,
    });
  }

  #log(
    step: string,
    { key, position }: KeyedRecord,
    fields: Readonly<Record<string, unknown>> = { key },
  ): void {
    const offset = offsetOf(position);
    const era = eraOf(position);
    this.#options.logDecision(step, { ...fields, offset, era });
  }
}
