/**
 * Keeps the holders of the duty to renew weights as records of a topic. A claim
 * is appended only where the topic ends, so the log orders all claims, and its
 * offset gives the epoch.
 *
 * @module
 */

import type { LeaseClaimResult, RolloutLeaseLog } from "@endivebend/orders";
import { brandId, type VmId } from "@endivebend/types";
import type { StoreClient } from "./store_client.ts";

const TOPIC = "weights-duty";

/** Makes the log of the duty over the store. */
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
      // An expired record says only that there was a holder.
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
