/**
 * Tracks how long earlier orders may still be sent to an engine.
 *
 * @module
 */

/** Upper bound on the relative drift between the clocks of two VMs. */
export const CLOCK_DRIFT = 0.01;

/**
 * Leases of orders per engine, on this daemon's clock. The writer of an order
 * counts its lease from before it appends the order; this daemon counts from
 * when it reads the record, which is later, and adds the bound on clock drift.
 * So a lease never ends here before it ends at its writer.
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

  /** Removes the lease of an ended order, which its writer sends no more. */
  end(engineId: string, orderId: string): void {
    this.#endMsByEngine.get(engineId)?.delete(orderId);
  }

  /**
   * Time in milliseconds at which the last lease of all orders but the given
   * ones ends; 0 when there is none.
   */
  othersEndMs(engineId: string, ownOrderIds: ReadonlySet<string>): number {
    let lastEndMs = 0;
    for (const [orderId, endsAtMs] of this.#endMsByEngine.get(engineId) ?? []) {
      if (!ownOrderIds.has(orderId)) lastEndMs = Math.max(lastEndMs, endsAtMs);
    }
    return lastEndMs;
  }
}
