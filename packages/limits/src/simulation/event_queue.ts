/**
 * Event queue of the simulation, with virtual time in whole microseconds.
 *
 * @module
 */

interface QueuedTask {
  readonly atUs: number;
  readonly order: number;
  readonly task: () => void;
}

function isBefore(a: QueuedTask, b: QueuedTask): boolean {
  return a.atUs < b.atUs || (a.atUs === b.atUs && a.order < b.order);
}

/**
 * Runs tasks in order of their time; tasks for the same time run in the order
 * in which they were scheduled. The queue is a binary heap.
 */
export class EventQueue {
  nowUs = 0;
  #order = 0;
  readonly #heap: QueuedTask[] = [];

  /** Schedules a task after a delay in microseconds of virtual time. */
  after(delayUs: number, task: () => void): void {
    const atUs = this.nowUs + Math.max(0, Math.ceil(delayUs));
    this.#heap.push({ atUs, order: this.#order++, task });
    this.#siftUp(this.#heap.length - 1);
  }

  /** Runs all tasks that are due up to `endUs`. */
  runUntil(endUs: number): void {
    for (let next = this.#heap[0]; next !== undefined; next = this.#heap[0]) {
      if (next.atUs > endUs) break;
      this.#removeFirst();
      this.nowUs = next.atUs;
      next.task();
    }
    this.nowUs = endUs;
  }

  #at(index: number): QueuedTask {
    return this.#heap[index] as QueuedTask;
  }

  #swap(a: number, b: number): void {
    const swapped = this.#at(a);
    this.#heap[a] = this.#at(b);
    this.#heap[b] = swapped;
  }

  #siftUp(start: number): void {
    for (let index = start; index > 0;) {
      const parent = (index - 1) >> 1;
      if (!isBefore(this.#at(index), this.#at(parent))) return;
      this.#swap(index, parent);
      index = parent;
    }
  }

  #removeFirst(): void {
    const last = this.#heap.pop();
    if (last === undefined || this.#heap.length === 0) return;
    this.#heap[0] = last;
    for (let index = 0;;) {
      const left = 2 * index + 1;
      if (left >= this.#heap.length) return;
      const right = left + 1;
      const hasRight = right < this.#heap.length;
      const child = hasRight && isBefore(this.#at(right), this.#at(left))
        ? right
        : left;
      if (!isBefore(this.#at(child), this.#at(index))) return;
      this.#swap(child, index);
      index = child;
    }
  }
}
