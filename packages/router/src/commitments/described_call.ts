/**
 * A service call with the digests under which the log knows it.
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
 * Digests a call. Open and repeatable calls are a mistake of the caller of this
 * module; they are refused before anything is sent.
 */
export function describeCall(call: ServiceCall): DescribedCall {
  const { route, team, idempotencyKey: key } = call;
  if (route.repeatable || route.open || team === undefined) {
    throw createError("internal", "The call needs no commitment", {
      ran: "not_run",
    });
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
