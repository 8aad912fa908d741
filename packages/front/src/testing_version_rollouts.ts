/**
 * Version rollouts of a fleet in virtual time: the operator's order, the status
 * records, and servers that answer badly.
 *
 * @module
 */

import type { Clock, Scheduler } from "@endivebend/clock";
import type { KeyedRecord } from "@endivebend/fleet";
import type { RolloutStatus } from "@endivebend/orders";
import type { SoftwareVersion } from "@endivebend/request-path";
import { brandId, type ServiceName } from "@endivebend/types";
import type { FrontPorts, OperatorRecord } from "./ports.ts";

const ROLLOUT_PREFIX = "rollout/";
/** Time after which a daemon gives up a call. */
const CALL_TIMEOUT_MS = 1_000;

/** What is wrong with an answer. */
export type AnswerFault =
  | { readonly kind: "failure"; readonly afterMs: number }
  | { readonly kind: "broken"; readonly afterMs: number }
  | { readonly kind: "slow"; readonly byMs: number };

/** The operator's order; undefined for records of other keys. */
export function readRollout(
  { key, value }: KeyedRecord,
): OperatorRecord & { readonly kind: "rollout" } | undefined {
  if (!key.startsWith(ROLLOUT_PREFIX)) return undefined;
  const { to, durationMs } = JSON.parse(String(value)) as {
    readonly to: SoftwareVersion;
    readonly durationMs: number;
  };
  const service = brandId<ServiceName>(key.slice(ROLLOUT_PREFIX.length));
  return { kind: "rollout", service, to, durationMs };
}

/** A status that was written. */
export interface WrittenStatus extends RolloutStatus {
  readonly atMs: number;
}

/** The status records of a fleet. */
export class SimulatedStatuses {
  readonly written: WrittenStatus[] = [];
  /** Writes are executed and not answered. */
  dropsAnswers = false;
  /** Called for each status that is written. */
  onWrite: (status: WrittenStatus) => void = () => {};
  readonly #time: Clock & Scheduler & { readonly nowMs: number };

  constructor(time: Clock & Scheduler & { readonly nowMs: number }) {
    this.#time = time;
  }

  /** The records as one daemon calls them. */
  log(callStore: () => Promise<void>): FrontPorts["rolloutStatusLog"] {
    return {
      read: async () => {
        await callStore();
        const newest = new Map(
          this.written.map((status) => [status.service, status]),
        );
        return { end: this.written.length, statuses: [...newest.values()] };
      },
      append: async (status, end) => {
        await callStore();
        if (end !== this.written.length) return { kind: "moved" };
        const written = { ...status, atMs: this.#time.nowMs };
        this.written.push(written);
        this.onWrite(written);
        if (this.dropsAnswers) {
          await new Promise<void>((resolve) =>
            this.#time.after(CALL_TIMEOUT_MS, resolve)
          );
          throw new Error("The store did not answer in time");
        }
        return { kind: "appended", end: end + 1 };
      },
    };
  }
}
