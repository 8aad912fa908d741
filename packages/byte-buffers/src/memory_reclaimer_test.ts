import test from "ava";
import { MemoryReclaimer } from "./mod.ts";

const BYTES_PER_MIB = 1_048_576;
const CHUNK_BYTES = 65_536;

/**
 * Stands in for V8: buffers that are noted while they are kept become old at
 * the second minor collection.
 */
class FakeCollector {
  readonly calls = { young: 0, all: 0 };
  youngGarbageBytes = 0;
  oldGarbageBytes = 0;
  usedBytes = 0;
  peakBytes = 0;

  discard(bytes: number): void {
    this.youngGarbageBytes += bytes;
    this.peakBytes = Math.max(this.peakBytes, this.heldBytes());
  }

  discardOld(bytes: number): void {
    this.oldGarbageBytes += bytes;
    this.peakBytes = Math.max(this.peakBytes, this.heldBytes());
  }

  collectYoung(): void {
    this.calls.young += 1;
    this.youngGarbageBytes = 0;
  }

  collectAll(): void {
    this.calls.all += 1;
    this.youngGarbageBytes = 0;
    this.oldGarbageBytes = 0;
  }

  heldBytes(): number {
    return this.usedBytes + this.youngGarbageBytes + this.oldGarbageBytes;
  }
}

// Guards against 64 MiB of garbage, which V8 allows.
test("short-lived buffers take no more than 4 MiB before they are collected", (t) => {
  const collector = new FakeCollector();
  const reclaimer = new MemoryReclaimer(collector);
  for (let bytes = 0; bytes < 100 * BYTES_PER_MIB; bytes += CHUNK_BYTES) {
    collector.discard(CHUNK_BYTES);
    reclaimer.noteDiscarded(CHUNK_BYTES);
  }
  t.true(collector.peakBytes <= 4 * BYTES_PER_MIB);
  t.is(collector.calls.all, 0);
});

test("buffers that outlived minor collections are collected as well", (t) => {
  const collector = new FakeCollector();
  const reclaimer = new MemoryReclaimer(collector);
  for (let bytes = 0; bytes < 100 * BYTES_PER_MIB; bytes += CHUNK_BYTES) {
    collector.discardOld(CHUNK_BYTES);
    reclaimer.noteDiscarded(CHUNK_BYTES);
  }
  t.true(collector.peakBytes <= 12 * BYTES_PER_MIB);
});

test("buffers in use bring no full collection again and again", (t) => {
  const collector = new FakeCollector();
  const reclaimer = new MemoryReclaimer(collector);
  collector.usedBytes = 30 * BYTES_PER_MIB;
  for (let bytes = 0; bytes < 100 * BYTES_PER_MIB; bytes += CHUNK_BYTES) {
    collector.discard(CHUNK_BYTES);
    reclaimer.noteDiscarded(CHUNK_BYTES);
  }
  t.is(collector.calls.all, 1);
});

test("few discarded bytes bring no collection", (t) => {
  const collector = new FakeCollector();
  const reclaimer = new MemoryReclaimer(collector);
  reclaimer.noteDiscarded(4 * BYTES_PER_MIB - 1);
  t.deepEqual(collector.calls, { young: 0, all: 0 });
});
