/**
 * Stores the holders of the weights rollout lease as records of a topic. A
 * claim is a conditional append at the topic's end, so the log orders all
 * claims. The epoch of a claim is its offset plus one.
 *
 * @module
 */

import type { LeaseClaimResult, RolloutLeaseLog } from "@endivebend/orders";
import { brandId, type VmId } from "@endivebend/types";
import type { StoreClient } from "./store_client.ts";

const TOPIC = "weights-duty";

/** Creates the log of the weights rollout lease on the store. */
export function createRolloutLeaseLog(store: StoreClient): RolloutLeaseLog {
  async function readHolder(offset: number): Promise<VmId | undefined> {
    const answer = await store.read(TOPIC, offset, 0);
    const record = answer?.records[0];
    return record && brandId<VmId>(record.toString("utf8"));
  }
  return {
    async claim(holder): Promise<LeaseClaimResult> {
      const record = Buffer.from(holder);
      const first = await store.append(TOPIC, record, { at: 0 });
      if (first.kind === "appended") {
        return { kind: "held", epoch: 1, previousHolder: undefined };
      }
      const { end } = first;
      // A record past its retention shows that there was a holder, but not
      // which.
      const previousHolder = await readHolder(end - 1) ?? brandId<VmId>("");
      const claim = await store.append(TOPIC, record, { at: end });
      if (claim.kind === "appended") {
        return { kind: "held", epoch: claim.offset + 1, previousHolder };
      }
      const winner = await readHolder(claim.end - 1);
      return {
        kind: "taken",
        holder: winner ?? brandId<VmId>(""),
        epoch: claim.end,
      };
    },
    async confirm(epoch): Promise<boolean> {
      const answer = await store.read(TOPIC, epoch, 0);
      return answer !== undefined && answer.records.length === 0;
    },
  };
}
