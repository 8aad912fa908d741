/**
 * The engine's cache events: published late and with gaps.
 *
 * @module
 */

/** One published event. */
export interface CacheEvent {
  readonly seq: number;
  readonly kind: "stored" | "evicted";
  readonly blocks: readonly string[];
}

interface PendingEvent extends CacheEvent {
  readonly visibleAtMs: number;
  readonly isDropped: boolean;
}

/** Faults of publishing. */
export interface EventFaults {
  /** Milliseconds until an event can be read. */
  eventDelayMs: number;
  /** Every so many events one is lost; 0 loses none. */
  dropEventEvery: number;
}

/** Events kept for readers; older ones are a gap to them. */
const KEPT_EVENTS = 4096;

/** The events of one incarnation; `seq` starts at 1. */
export class CacheEvents {
  readonly #faults: EventFaults;
  #events: PendingEvent[] = [];
  #lastSeq = 0;
  readonly #waiters = new Set<() => void>();

  constructor(faults: EventFaults) {
    this.#faults = faults;
  }

  /** Sequence number of the newest event, published or not. */
  get lastSeq(): number {
    return this.#lastSeq;
  }

  add(kind: CacheEvent["kind"], blocks: readonly string[]): void {
    if (blocks.length === 0) return;
    const seq = ++this.#lastSeq;
    const every = this.#faults.dropEventEvery;
    const isDropped = every > 0 && seq % every === 0;
    const visibleAtMs = Date.now() + this.#faults.eventDelayMs;
    this.#events.push({ seq, kind, blocks, visibleAtMs, isDropped });
    if (this.#events.length > 2 * KEPT_EVENTS) {
      this.#events = this.#events.slice(-KEPT_EVENTS);
    }
    for (const wake of [...this.#waiters]) wake();
  }

  /**
   * Events after a sequence number that can be read now. `nextSeq` is the number
   * of the next event to be published, so a lost last event shows as a gap too.
   */
  read(after: number): { events: CacheEvent[]; nextSeq: number } {
    const nowMs = Date.now();
    const visible = this.#events.filter((event) => event.visibleAtMs <= nowMs);
    const events = visible
      .filter((event) => event.seq > after && !event.isDropped)
      .map(({ seq, kind, blocks }) => ({ seq, kind, blocks }));
    const lastVisible = visible.at(-1)?.seq ?? this.#events[0]?.seq ?? 1;
    const hasVisible = visible.length > 0;
    return { events, nextSeq: hasVisible ? lastVisible + 1 : lastVisible };
  }

  /** Resolves when events after `after` can be read, or at the time limit. */
  async waitFor(after: number, waitMs: number): Promise<void> {
    const deadlineMs = Date.now() + waitMs;
    while (this.read(after).nextSeq <= after + 1) {
      const leftMs = deadlineMs - Date.now();
      if (leftMs <= 0) return;
      await this.#waitForChange(Math.min(leftMs, this.#nextVisibleMs()));
    }
  }

  #nextVisibleMs(): number {
    const nowMs = Date.now();
    const next = this.#events.find((event) => event.visibleAtMs > nowMs);
    return next === undefined ? Infinity : next.visibleAtMs - nowMs;
  }

  #waitForChange(limitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.max(1, limitMs)).unref();
      this.#waiters.add(wake);
    });
  }
}
