/**
 * What the log's records say together.
 *
 * @module
 */

import type { SoftwareVersion } from "@endivebend/request-path";
import type { ServiceName } from "@endivebend/types";
import type { OriginRecord } from "./origin_record.ts";
import type { OriginTable } from "./origin_table.ts";

/** What the newest record of a service says. */
export type ServiceState =
  | { readonly kind: "mixed"; readonly readAtMs: number }
  | { readonly kind: "settled"; readonly version: SoftwareVersion };

/** The log's records as far as they were read. */
export class OriginLogState {
  readonly #table: OriginTable;
  readonly #services = new Map<ServiceName, ServiceState>();

  /** Streams of the records are recorded in the table. */
  constructor(table: OriginTable) {
    this.#table = table;
  }

  /** What is known of the service; undefined without a record of it. */
  stateOf(service: ServiceName): ServiceState | undefined {
    return this.#services.get(service);
  }

  /**
   * Forgets the states, as the store may have lost the newest records. The
   * streams of those that were read stay known.
   */
  forget(): void {
    this.#services.clear();
  }

  /** Applies the next record; undefined stands for one of another form. */
  apply(
    record: OriginRecord | undefined,
    read: {
      /** The store's era in which the record was read. */
      readonly era: number;
      readonly nowMs: number;
      /** Until when streams of the record may be taken up. */
      readonly untilMs: number;
    },
  ): void {
    for (const [name, origins] of Object.entries(record?.services ?? {})) {
      const service = name as ServiceName;
      if (origins.kind === "settled") {
        // After a restore the log may lack what followed the record.
        const isOfEra = record?.era === read.era;
        const state: ServiceState = isOfEra
          ? origins
          : { kind: "mixed", readAtMs: read.nowMs };
        this.#services.set(service, state);
        continue;
      }
      this.#services.set(service, { kind: "mixed", readAtMs: read.nowMs });
      for (const [version, keys] of Object.entries(origins.streams)) {
        for (const key of keys) {
          this.#table.record(key, {
            version: version === "" ? undefined : version as SoftwareVersion,
            untilMs: read.untilMs,
          });
        }
      }
    }
  }
}
