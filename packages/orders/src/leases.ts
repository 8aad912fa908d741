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
  readonly #endMsByEngine = new Map<string, Map<string, number>>();

  add(
    engineId: string,
    orderId: string,
    options: { readonly leaseMs: number; readonly nowMs: number },
  ): void {
    const leases = this.#endMsByEngine.get(engineId) ??
      new Map<string, number>();
    this.#endMsByEngine.set(engineId, leases);
    for (const [id, endsAtMs] of leases) {
      if (endsAtMs < options.nowMs) leases.delete(id);
    }
    const endsAtMs = options.nowMs + options.leaseMs * (1 + CLOCK_DRIFT);
    leases.set(orderId, endsAtMs);
  }

  /** The writer of an order that has ended sends nothing more for it. */
  end(engineId: string, orderId: string): void {
    this.#endMsByEngine.get(engineId)?.delete(orderId);
  }

  /** When no order but the given ones may be sent to the engine any more. */
  othersEndMs(engineId: string, ownOrderIds: ReadonlySet<string>): number {
    let lastEndMs = 0;
    for (const [orderId, endsAtMs] of this.#endMsByEngine.get(engineId) ?? []) {
      if (!ownOrderIds.has(orderId)) lastEndMs = Math.max(lastEndMs, endsAtMs);
    }
    return lastEndMs;
  }
}
