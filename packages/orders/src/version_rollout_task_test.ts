import test from "ava";
import { brandId, type ServiceName } from "@endivebend/types";
import type { VersionOrder } from "@endivebend/version-rollouts";
import {
  type OpenRollouts,
  type RolloutStatus,
  type RolloutStatusLog,
  VersionRolloutTask,
} from "./mod.ts";

type Phase = RolloutStatus["phase"];

function orderOf(service: string, position: number): VersionOrder {
  return {
    service: brandId<ServiceName>(service),
    to: brandId<VersionOrder["to"]>("v2"),
    durationMs: 12_000,
    position,
  };
}

/** A task in virtual time, with the status records it writes. */
class TaskPlay {
  readonly written: RolloutStatus[] = [];
  /** How each order is to end. */
  readonly plans = new Map<string, Phase>();
  /** The write of this service's next final status gets no answer. */
  dropsAnswerOf: string | undefined;
  readonly #ended = new Set<string>();
  #nowMs = 0;
  #due: { readonly atMs: number; readonly callback: () => void }[] = [];

  constructor(orders: readonly VersionOrder[]) {
    const rollouts: OpenRollouts = {
      open: () => orders.filter(({ service }) => !this.#ended.has(service)),
      plan: ({ service }) => this.plans.get(service) ?? "running",
      wantsStatus: () => false,
      mayRollBack: () => false,
      applyStatus: ({ service }, { phase }) => {
        if (phase === "running") return false;
        this.#ended.add(service);
        return true;
      },
    };
    new VersionRolloutTask({
      clock: { wallMs: () => this.#nowMs, elapsedMs: () => this.#nowMs },
      scheduler: {
        after: (delayMs, callback) => {
          this.#due.push({ atMs: this.#nowMs + delayMs, callback });
          return () => {};
        },
      },
      log: this.#log(),
      rollouts,
      epoch: () => 1,
      isLeaseFresh: () => true,
      logDecision: () => {},
    }).start();
  }

  async run(forMs: number): Promise<void> {
    const untilMs = this.#nowMs + forMs;
    while (this.#nowMs < untilMs) {
      this.#nowMs += 10;
      const due = this.#due.filter(({ atMs }) => atMs <= this.#nowMs);
      this.#due = this.#due.filter(({ atMs }) => atMs > this.#nowMs);
      for (const { callback } of due) callback();
      // Calls of the log are answered before the next timer.
      for (let turn = 0; turn < 20; turn++) await Promise.resolve();
    }
  }

  finalOf(name: string): Phase[] {
    return this.written.filter(({ service, phase }) =>
      service === name && phase !== "running"
    ).map(({ phase }) => phase);
  }

  #log(): RolloutStatusLog {
    return {
      read: () => {
        const newest = new Map(
          this.written.map((status) => [status.service, status]),
        );
        const statuses = [...newest.values()];
        return Promise.resolve({ end: this.written.length, statuses });
      },
      append: (status, end) => {
        if (end !== this.written.length) {
          return Promise.resolve({ kind: "moved" });
        }
        this.written.push(status);
        const isFinal = status.phase !== "running";
        if (isFinal && status.service === this.dropsAnswerOf) {
          this.dropsAnswerOf = undefined;
          return Promise.reject(new Error("The store did not answer in time"));
        }
        return Promise.resolve({ kind: "appended", end: end + 1 });
      },
    };
  }
}

// Guards against an end that is replaced after a write whose answer was lost:
// the call for another order had read the records in the meantime.
test("a final status whose answer was lost stands when another order reads", async (t) => {
  const play = new TaskPlay([orderOf("a", 1), orderOf("b", 2)]);
  await play.run(300);
  play.dropsAnswerOf = "a";
  play.plans.set("a", "succeeded");
  await play.run(60);
  play.plans.set("a", "rolled_back").set("b", "succeeded");
  await play.run(500);
  t.deepEqual(play.finalOf("a"), ["succeeded"]);
  t.deepEqual(play.finalOf("b"), ["succeeded"]);
});
