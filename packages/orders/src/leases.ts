/**
 * How long earlier orders may still be sent to an engine.
 *
 * @module
 */

/** Clocks of two VMs drift apart by at most this share. */
export const CLOCK_DRIFT = 0.01;

/**
 * Leases of orders per engine, on this daemon's clock. A writer counts its
 * lease from before its append, this daemon from when it read the record, which
 * is later; with the bound on drift this daemon's count ends last.
 */
export class OrderLeases {
  readonly #untilMs = new Map<string, Map<string, number>>();

  note(
    engineId: string,
    orderId: string,
    options: { readonly leaseMs: number; readonly nowMs: number },
  ): void {
    const leases = this.#untilMs.get(engineId) ?? new Map<string, number>();
    this.#untilMs.set(engineId, leases);
    for (const [id, untilMs] of leases) {
      if (untilMs < options.nowMs) leases.delete(id);
    }
    const untilMs = options.nowMs + options.leaseMs * (1 + CLOCK_DRIFT);
    leases.set(orderId, untilMs);
  }

  /** The writer of an order that has ended sends nothing more for it. */
  end(engineId: string, orderId: string): void {
    this.#untilMs.get(engineId)?.delete(orderId);
  }

  /** When no order but the given ones may be sent to the engine any more. */
  othersUntilMs(engineId: string, ownOrderIds: ReadonlySet<string>): number {
    let latestMs = 0;
    for (const [orderId, untilMs] of this.#untilMs.get(engineId) ?? []) {
      if (!ownOrderIds.has(orderId)) latestMs = Math.max(latestMs, untilMs);
    }
    return latestMs;
  }
}
