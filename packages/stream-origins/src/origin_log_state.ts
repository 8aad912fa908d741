/**
 * What the log's records say together.
 *
 * @module
 */

import { eraOf, type LogPosition } from "@endivebend/fleet";
import type { SoftwareVersion } from "@endivebend/request-path";
import type { ServiceName } from "@endivebend/types";
import type { OriginRecord, ServiceOrigins } from "./origin_record.ts";
import type { OriginTable } from "./origin_table.ts";

/** What the records of a service say. */
export type ServiceState =
  | {
    readonly kind: "mixed";
    /** When the newest record that says so was read. */
    readonly readAtMs: number;
  }
  | { readonly kind: "settled"; readonly version: SoftwareVersion };

/** Where and when a record was read. */
export interface ReadRecord {
  readonly position: LogPosition;
  readonly nowMs: number;
  /** Until when streams of the record may be taken up. */
  readonly untilMs: number;
}

type Mixed = ServiceOrigins & { readonly kind: "mixed" };
type Settled = ServiceOrigins & { readonly kind: "settled" };

/** The log's records as far as they were read. */
export class OriginLogState {
  readonly #table: OriginTable;
  readonly #states = new Map<ServiceName, ServiceState>();
  /** The newest record of each service that tells that it is mixed. */
  readonly #mixedAt = new Map<ServiceName, LogPosition>();

  /** Streams of the records are recorded in the table. */
  constructor(table: OriginTable) {
    this.#table = table;
  }

  /** What is known of the service; undefined without a record of it. */
  stateOf(service: ServiceName): ServiceState | undefined {
    return this.#states.get(service);
  }

  /**
   * Forgets the states, as the store may have lost the newest records. The
   * streams of those that were read stay known.
   */
  forget(): void {
    this.#states.clear();
    this.#mixedAt.clear();
  }

  /** Applies the next record; undefined stands for one of another form. */
  apply(record: OriginRecord | undefined, read: ReadRecord): void {
    for (const [name, origins] of Object.entries(record?.services ?? {})) {
      const service = name as ServiceName;
      if (origins.kind === "mixed") this.#applyMixed(service, origins, read);
      else this.#applySettled(service, origins, read);
    }
  }

  #applyMixed(
    service: ServiceName,
    { streams }: Mixed,
    { position, nowMs, untilMs }: ReadRecord,
  ): void {
    this.#states.set(service, { kind: "mixed", readAtMs: nowMs });
    this.#mixedAt.set(service, position);
    for (const [name, keys] of Object.entries(streams)) {
      const version = name === "" ? undefined : name as SoftwareVersion;
      for (const key of keys) this.#table.record(key, { version, untilMs });
    }
  }

  #applySettled(
    service: ServiceName,
    { version, readTo }: Settled,
    { position, nowMs }: ReadRecord,
  ): void {
    const mixedAt = this.#mixedAt.get(service);
    // After a restore the log may lack what preceded the record.
    const isInForce = eraOf(readTo) === eraOf(position) &&
      (mixedAt === undefined || mixedAt < readTo);
    if (isInForce) this.#states.set(service, { kind: "settled", version });
    else if (!this.#states.has(service)) {
      this.#states.set(service, { kind: "mixed", readAtMs: nowMs });
    }
  }
}
