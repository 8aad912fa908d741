/**
 * State derived from the `orders` stream.
 *
 * @module
 */

import type { LogRecord } from "@endivebend/types";
import { OrderLeases } from "./leases.ts";
import {
  type OrderEnded,
  type OrderIssued,
  orderRecordSchema,
  readsWeightStore,
} from "./records.ts";

/** Concurrent weight loads in the fleet; more would slow each other down. */
export const MAX_WEIGHT_LOADS = 2;

/** Number of order ids that are kept to recognize second copies of records. */
const MAX_REMEMBERED_ORDERS = 4096;

/** The newest order of an engine. */
export interface EngineOrderEntry extends OrderIssued {
  /** Offset of the order's record, which is its fencing token. */
  readonly fence: number;
  /** When the platform appended the record, on the platform's clock. */
  readonly issuedAtMs: number;
  readonly status: "open" | "finished" | "abandoned";
  /** Position in the queue of weight loads; undefined for other orders. */
  readonly loadPlace: number | undefined;
}

/** State of one order according to the log. */
export type OrderVerdict =
  /** Its record was not read yet, or its id is no longer kept. */
  | "unseen"
  /**
   * The order that it was to take over was not the engine's newest open one, or
   * its end was in the log before it.
   */
  | "refused"
  | "superseded"
  | "finished"
  | "abandoned"
  /** It loads weights, and {@link MAX_WEIGHT_LOADS} loads are in progress. */
  | "waits_for_load_place"
  | "may_be_sent";

/** The newest order of each engine, and whether it may be sent. */
export class OrdersState {
  readonly #newestByEngine = new Map<string, EngineOrderEntry>();
  /** Engine of each known order; undefined for a refused order. */
  readonly #engineByOrder = new Map<string, string | undefined>();
  readonly #leases = new OrderLeases();
  #malformedRecords = 0;

  /** Number of records that could not be parsed; they change nothing. */
  get malformedRecords(): number {
    return this.#malformedRecords;
  }

  newestOrder(engineId: string): EngineOrderEntry | undefined {
    return this.#newestByEngine.get(engineId);
  }

  /** Orders that are neither finished nor abandoned, oldest first. */
  openOrders(): readonly EngineOrderEntry[] {
    return [...this.#newestByEngine.values()]
      .filter((entry) => entry.status === "open")
      .sort((a, b) => a.fence - b.fence);
  }

  /** Applies one record; `nowMs` is on the clock that leases are counted on. */
  apply(record: LogRecord, nowMs: number): void {
    const parsed = orderRecordSchema.safeParse(record.value);
    if (!parsed.success) {
      this.#malformedRecords++;
      return;
    }
    const value = parsed.data;
    if (value.kind !== "order_issued") return this.#applyEnded(value);
    this.#applyIssued(value, record, nowMs);
  }

  verdict(orderId: string): OrderVerdict {
    if (!this.#engineByOrder.has(orderId)) return "unseen";
    const engineId = this.#engineByOrder.get(orderId);
    if (engineId === undefined) return "refused";
    const newest = this.#newestByEngine.get(engineId);
    if (newest?.recordId !== orderId) return "superseded";
    if (newest.status !== "open") return newest.status;
    return this.#mayLoad(newest) ? "may_be_sent" : "waits_for_load_place";
  }

  /** Time from which only the given orders may be sent to the engine. */
  otherLeasesEndMs(
    engineId: string,
    ownOrderIds: ReadonlySet<string>,
  ): number {
    return this.#leases.othersEndMs(engineId, ownOrderIds);
  }

  #applyIssued(
    value: OrderIssued,
    record: LogRecord,
    nowMs: number,
  ): void {
    if (this.#engineByOrder.has(value.recordId)) return;
    const { engineId, leaseMs, takesOver } = value;
    const previous = this.#newestByEngine.get(engineId);
    const isStale = takesOver !== undefined &&
      (previous?.recordId !== takesOver || previous.status !== "open");
    this.#remember(value.recordId, isStale ? undefined : engineId);
    if (isStale) return;
    this.#leases.add(engineId, value.recordId, { leaseMs, nowMs });
    this.#newestByEngine.set(engineId, {
      ...value,
      fence: record.offset,
      issuedAtMs: record.appendedAtMs,
      status: "open",
      loadPlace: loadPlaceFor(value, {
        previous,
        fence: record.offset,
      }),
    });
  }

  #applyEnded(value: OrderEnded): void {
    if (!this.#engineByOrder.has(value.orderId)) {
      // A writer that does not know whether its append succeeded abandons the
      // order by its id. The order may still reach the log after that, and must
      // not become the engine's newest then.
      this.#remember(value.orderId, undefined);
      return;
    }
    // While an order is open, only its writer knows its id, so the lease can be
    // removed before the writer is checked below.
    this.#leases.end(value.engineId, value.orderId);
    const entry = this.#newestByEngine.get(value.engineId);
    if (entry?.recordId !== value.orderId || entry.status !== "open") return;
    const isWriter = entry.vmId === value.vmId &&
      entry.incarnation === value.incarnation;
    if (!isWriter) return;
    const status = value.kind === "order_finished" ? "finished" : "abandoned";
    this.#newestByEngine.set(entry.engineId, { ...entry, status });
  }

  #mayLoad(entry: EngineOrderEntry): boolean {
    const place = entry.loadPlace;
    if (place === undefined) return true;
    const previous = this.openOrders().filter((other) =>
      other.loadPlace !== undefined && other.loadPlace < place
    );
    return previous.length < MAX_WEIGHT_LOADS;
  }

  #remember(orderId: string, engineId: string | undefined): void {
    this.#engineByOrder.set(orderId, engineId);
    for (const oldest of this.#engineByOrder.keys()) {
      if (this.#engineByOrder.size <= MAX_REMEMBERED_ORDERS) return;
      this.#engineByOrder.delete(oldest);
    }
  }
}

/**
 * Position of an order in the queue of weight loads. An order that replaces an
 * open load inherits its position: the engine may already be loading, and the
 * load has to keep counting against the limit.
 */
function loadPlaceFor(
  value: OrderIssued,
  options: {
    readonly previous: EngineOrderEntry | undefined;
    readonly fence: number;
  },
): number | undefined {
  const { previous, fence } = options;
  const inheritedPlace = previous?.status === "open"
    ? previous.loadPlace
    : undefined;
  return inheritedPlace ??
    (readsWeightStore(value.orderKind) ? fence : undefined);
}
