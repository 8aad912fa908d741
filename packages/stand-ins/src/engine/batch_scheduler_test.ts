import test from "ava";
import { BatchScheduler, type Sequence } from "./batch_scheduler.ts";
import { DEFAULT_TUNING } from "./engine_options.ts";

function sequence(
  requestId: string,
  options: { readonly priority: number; readonly onBegin: () => void },
): Sequence {
  let left = 2;
  return {
    requestId,
    priority: options.priority,
    promptTokens: 1,
    begin: () => {
      options.onBegin();
      return 1;
    },
    isBlocked: () => false,
    emitToken: () => --left === 0,
    abort: () => {},
  };
}

test("a smaller priority overtakes sequences that wait, not those that run", async (t) => {
  const scheduler = new BatchScheduler({ ...DEFAULT_TUNING, maxBatch: 1 });
  const begun: string[] = [];
  await new Promise<void>((resolve) => {
    scheduler.onChange = () => {
      if (scheduler.runningCount + scheduler.waitingCount === 0) resolve();
    };
    const add = (requestId: string, priority: number) =>
      scheduler.add(sequence(requestId, {
        priority,
        onBegin: () => {
          begun.push(requestId);
          if (requestId !== "first") return;
          for (const [id, urgency] of LATER) add(id, urgency);
        },
      }));
    const LATER = [["late", 5], ["later", 5], ["urgent", 1]] as const;
    add("first", 9);
  });
  t.deepEqual(begun, ["first", "urgent", "late", "later"]);
});
