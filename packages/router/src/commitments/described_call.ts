/**
 * A service call with the digests that identify it in the log.
 *
 * @module
 */

import {
  type CommitmentCall,
  digestCall,
  digestKey,
} from "@endivebend/commitments";
import { createError } from "@endivebend/errors";
import type { TeamId } from "@endivebend/types";
import type { ServiceCall } from "../ports.ts";

/** A call that must run at most once. */
export interface DescribedCall {
  readonly call: ServiceCall;
  readonly team: TeamId;
  readonly commitmentCall: CommitmentCall;
}

/**
 * Digests a call. Throws `internal` for a call of an open or repeatable route,
 * which needs no commitment, before anything is sent.
 */
export function describeCall(call: ServiceCall): DescribedCall {
  const { route, team, idempotencyKey: key } = call;
  if (route.repeatable || route.open || team === undefined) {
    throw createError(
      "internal",
      "A call of an open or repeatable route needs no commitment",
      { ran: "not_run" },
    );
  }
  const keyDigest = key === undefined ? undefined : digestKey(team, key);
  const { unkeyed, deduplicates, requireTimedKeys } = route;
  const bodyDigest = digestCall(call);
  return {
    call,
    team,
    commitmentCall: {
      key,
      keyDigest,
      bodyDigest,
      unkeyed,
      deduplicates,
      requireTimedKeys,
    },
  };
}
