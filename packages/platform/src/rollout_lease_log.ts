/**
 * Stores the holders of the weights rollout lease as records of a topic. A
 * claim is a conditional append at the topic's end, so the log orders all
 * claims. The epoch of a claim is the position after it, so that epochs rise
 * also when the store comes back from a copy that lacks the latest claims.
 *
 * @module
 */

import {
  eraOf,
  type LogPosition,
  logPosition,
  offsetOf,
} from "@endivebend/fleet";
import type { LeaseClaimResult, RolloutLeaseLog } from "@endivebend/orders";
import { brandId, type VmId } from "@endivebend/types";
import type { StoreClient } from "./store_client.ts";

const TOPIC = "weights-duty";

/** Holder in a claim whose record is lost or past its retention. */
const UNKNOWN_HOLDER = brandId<VmId>("");

/** Creates the log of the weights rollout lease on the store. */
export function createRolloutLeaseLog(store: StoreClient): RolloutLeaseLog {
  async function readHolders(from: LogPosition): Promise<readonly VmId[]> {
    const answer = await store.read(TOPIC, from, 0);
    // Deleted records show that there were holders, but not which.
    if (answer === undefined) return [UNKNOWN_HOLDER];
    return answer.records.map((record) =>
      brandId<VmId>(record.toString("utf8"))
    );
  }

  /** The latest other holder before the end of the log, if there may be one. */
  async function findPreviousHolder(
    holder: VmId,
    end: LogPosition,
  ): Promise<VmId | undefined> {
    const holders = offsetOf(end) === 0
      ? []
      : await readHolders(logPosition(eraOf(end), 0));
    // The latest records may be this daemon's own claims whose answers were
    // lost, so a former holder may stand before them.
    const previous = holders.findLast((other) => other !== holder);
    // A store that states an era may have lost the claims of other holders.
    return previous ?? (eraOf(end) > 0 ? UNKNOWN_HOLDER : undefined);
  }

  return {
    async claim(holder): Promise<LeaseClaimResult> {
      const record = Buffer.from(holder);
      const first = await store.append(TOPIC, record, { at: 0 });
      if (first.kind === "appended") {
        const { position } = first;
        const previousHolder = await findPreviousHolder(holder, position);
        return { kind: "held", epoch: epochOf(position), previousHolder };
      }
      const { end } = first;
      const previousHolder = await findPreviousHolder(holder, end);
      const claim = await store.append(TOPIC, record, { at: offsetOf(end) });
      if (claim.kind === "appended") {
        const epoch = epochOf(claim.position);
        return { kind: "held", epoch, previousHolder };
      }
      const last = logPosition(eraOf(claim.end), offsetOf(claim.end) - 1);
      const [winner = UNKNOWN_HOLDER] = await readHolders(last);
      return { kind: "taken", holder: winner, epoch: epochOf(last) };
    },
    async confirm(epoch): Promise<boolean> {
      const answer = await store.read(TOPIC, brandId<LogPosition>(epoch), 0);
      return answer !== undefined && answer.records.length === 0;
    },
  };
}

/** The position after the claim, which no later claim has passed yet. */
function epochOf(claim: LogPosition): number {
  return claim + 1;
}
