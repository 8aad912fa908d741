/**
 * Reads and writes the status records of version rollouts. Every write holds
 * only where the partition ends as it was read, as two daemons may take
 * themselves for the one that drives a rollout.
 *
 * @module
 */

import {
  eraOf,
  type LogPosition,
  logPosition,
  offsetOf,
} from "@endivebend/fleet";
import type { RolloutStatusLog } from "@endivebend/orders";
import { brandId } from "@endivebend/types";
import { decodeRolloutStatus } from "./decode.ts";
import type { StoreClient } from "./store_client.ts";

/** Topic of the statuses, by key. */
const STATUS_TOPIC = "keyed.status";
const ROLLOUT_PREFIX = "rollout/";

/**
 * Creates the log of the statuses on the store.
 *
 * @example
 * ```ts
 * const { end } = await createRolloutStatusLog(store).read();
 * ```
 */
export function createRolloutStatusLog(store: StoreClient): RolloutStatusLog {
  return {
    async read() {
      const { records, next } = await store.newest(STATUS_TOPIC);
      const statuses = records.flatMap(({ key, value }) => {
        if (!key.startsWith(ROLLOUT_PREFIX) || value === undefined) return [];
        return decodeRolloutStatus(value) ?? [];
      });
      return { end: next, statuses };
    },
    async append({ service, phase, to }, end) {
      const position = brandId<LogPosition>(end);
      const value = Buffer.from(JSON.stringify({ service, phase, to }));
      const key = `${ROLLOUT_PREFIX}${service}`;
      const result = await store.appendKeyed(STATUS_TOPIC, key, value, {
        at: offsetOf(position),
      });
      if (result.kind === "moved") return { kind: "moved" };
      // After a restore other records may end at the same offset.
      const isSameEra = eraOf(result.position) === eraOf(position);
      if (!isSameEra) return { kind: "moved" };
      const next = logPosition(eraOf(position), offsetOf(position) + 1);
      return { kind: "appended", end: next };
    },
  };
}
