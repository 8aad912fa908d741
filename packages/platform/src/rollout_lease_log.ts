/**
 * Stores the holders of the weights rollout lease as records of a topic. A
 * claim is a conditional append at the topic's end, so the log orders all
 * claims. The epoch of a claim is its offset plus one.
 *
 * @module
 */

import { logPosition, offsetOf } from "@endivebend/fleet";
import type { LeaseClaimResult, RolloutLeaseLog } from "@endivebend/orders";
import { brandId, type VmId } from "@endivebend/types";
import type { StoreClient } from "./store_client.ts";

const TOPIC = "weights-duty";

/** Holder in a claim whose record is past its retention. */
const UNKNOWN_HOLDER = brandId<VmId>("");

/** Creates the log of the weights rollout lease on the store. */
export function createRolloutLeaseLog(store: StoreClient): RolloutLeaseLog {
  async function readHolders(fromOffset: number): Promise<readonly VmId[]> {
    const from = logPosition(store.era, fromOffset);
    const answer = await store.read(TOPIC, from, 0);
    // Deleted records show that there were holders, but not which.
    if (answer === undefined) return [UNKNOWN_HOLDER];
    return answer.records.map((record) =>
      brandId<VmId>(record.toString("utf8"))
    );
  }
  return {
    async claim(holder): Promise<LeaseClaimResult> {
      const record = Buffer.from(holder);
      const first = await store.append(TOPIC, record, { at: 0 });
      if (first.kind === "appended") {
        return { kind: "held", epoch: 1, previousHolder: undefined };
      }
      const end = offsetOf(first.end);
      // The latest records may be this daemon's own claims whose answers were
      // lost, so a former holder may stand before them.
      const previousHolder = (await readHolders(0)).findLast((other) =>
        other !== holder
      );
      const claim = await store.append(TOPIC, record, { at: end });
      if (claim.kind === "appended") {
        const epoch = offsetOf(claim.position) + 1;
        return { kind: "held", epoch, previousHolder };
      }
      const epoch = offsetOf(claim.end);
      const [winner = UNKNOWN_HOLDER] = await readHolders(epoch - 1);
      return { kind: "taken", holder: winner, epoch };
    },
    async confirm(epoch): Promise<boolean> {
      const answer = await store.read(TOPIC, logPosition(store.era, epoch), 0);
      return answer !== undefined && answer.records.length === 0;
    },
  };
}
