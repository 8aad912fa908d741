/**
 * Sample inputs for tests of the fleet.
 *
 * @module
 */

import {
  type BackendServerId,
  brandId,
  type FailureDomainId,
  type IncarnationId,
  type TeamId,
  type VmId,
} from "@endivebend/types";
import type { GossipMessage } from "./gossip_message.ts";

export const TEAM = brandId<TeamId>("st-mary");
export const SERVER = brandId<BackendServerId>("e");

/** Makes a gossip message; `fields` replace its values. */
export function gossipMessage(
  fields: Partial<GossipMessage> = {},
): GossipMessage {
  return {
    vm: brandId<VmId>("vm-2"),
    incarnation: brandId<IncarnationId>("first"),
    failureDomain: brandId<FailureDomainId>("a"),
    address: "10.0.0.2:7600",
    sequence: 1,
    isLeaving: false,
    reachesStore: true,
    duty: { epoch: 0 },
    spent: { [TEAM]: 100 },
    work: { [SERVER]: [2, 900] },
    weights: [],
    named: {},
    suspects: [],
    placed: {},
    kept: {},
    answerAgesMs: {},
    records: {},
    readAgesMs: {},
    ...fields,
  };
}
