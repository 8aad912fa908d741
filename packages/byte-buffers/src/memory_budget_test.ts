import test from "ava";
import { ByteCollector, MemoryBudget, type MemoryUse } from "./mod.ts";

test("failures give way first, then new requests, small ones after large ones, answers last", (t) => {
  const budget = new MemoryBudget(100);
  const uses: MemoryUse[] = ["failure", "request", "small_request", "answer"];
  const takenBytes = uses.map((use) => {
    let bytes = 0;
    while (budget.tryTake(use, 1)) bytes += 1;
    return bytes;
  });
  t.deepEqual(takenBytes, [50, 25, 20, 5]);
  t.is(budget.usedBytes, 100);
  budget.release(60);
  t.true(budget.tryTake("failure", 10));
  t.false(budget.tryTake("failure", 1));
});

// Guards against limits of single messages that no sum bounds.
test("collectors hold no more than the budget together, and give it back", (t) => {
  const limitBytes = 1_048_576;
  const budget = new MemoryBudget(limitBytes);
  const collectors = Array.from(
    { length: 200 },
    () => new ByteCollector({ maxBytes: 262_144, budget, use: "answer" }),
  );
  const chunk = Buffer.alloc(4_096);
  for (let round = 0; round < 64; round++) {
    for (const collector of collectors) collector.append(chunk);
  }
  const heldBytes = collectors.reduce((sum, { length }) => sum + length, 0);
  t.true(heldBytes <= limitBytes);
  t.true(heldBytes >= limitBytes / 2);
  t.true(budget.usedBytes <= limitBytes);
  for (const collector of collectors) collector.take();
  t.is(budget.usedBytes, 0);
});

test("a collector without room keeps what it has", (t) => {
  const budget = new MemoryBudget(1_024);
  const collector = new ByteCollector({
    maxBytes: 10_000,
    budget,
    use: "answer",
  });
  t.true(collector.append(Buffer.alloc(1_000, "a")));
  t.false(collector.append(Buffer.alloc(1_000, "b")));
  t.is(collector.length, 1_000);
  collector.clear();
  t.is(budget.usedBytes, 0);
});
