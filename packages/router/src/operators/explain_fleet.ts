/**
 * Collects the records of all daemons about a request.
 *
 * @module
 */

import type { PeerClients } from "@endivebend/peers";
import type { RequestId, VmEntry, VmId } from "@endivebend/types";
import type { ExplainEntry, Explainer, MembershipView } from "../ports.ts";

/**
 * Maximum number of peers asked at a time, which limits bursts in large fleets.
 */
const MAX_CONCURRENT_PEERS = 16;

/** The records of one daemon. */
export interface VmExplanation {
  readonly vmId: VmId;
  readonly entries: readonly ExplainEntry[];
}

/** The records of the fleet. */
export interface Explanation {
  readonly requestId: RequestId;
  readonly vms: readonly VmExplanation[];
  /** Entry VMs that did not answer; their records are missing. */
  readonly silentVms: readonly VmId[];
}

/** Dependencies of {@link explainRequest}. */
export interface ExplainOptions {
  readonly vmId: VmId;
  readonly explainer: Explainer;
  readonly membership: MembershipView;
  readonly peers: PeerClients;
}

interface PeerAnswer {
  readonly vmId: VmId;
  readonly entries: readonly ExplainEntry[] | undefined;
}

async function askPeer(
  entry: VmEntry,
  options: { readonly peers: PeerClients; readonly requestId: RequestId },
): Promise<PeerAnswer> {
  const { vmId, address } = entry;
  const { peers, requestId } = options;
  try {
    const { recordJson } = await peers.at(address).explain({ requestId });
    const record: unknown = recordJson === "" ? [] : JSON.parse(recordJson);
    return { vmId, entries: Array.isArray(record) ? record : [] };
  } catch {
    return { vmId, entries: undefined };
  }
}

async function askPeers(
  requestId: RequestId,
  options: ExplainOptions,
): Promise<PeerAnswer[]> {
  const otherVms = options.membership.entryVms()
    .filter(({ vmId }) => vmId !== options.vmId);
  const answers: PeerAnswer[] = [];
  for (let start = 0; start < otherVms.length; start += MAX_CONCURRENT_PEERS) {
    const batch = otherVms.slice(start, start + MAX_CONCURRENT_PEERS);
    const pending = batch.map((entry) =>
      askPeer(entry, { peers: options.peers, requestId })
    );
    answers.push(...await Promise.all(pending));
  }
  return answers;
}

/**
 * Collects the records of this daemon and its peers about a request. Peers that
 * fail to answer are listed in `silentVms`.
 *
 * @example
 * ```ts
 * const { vms } = await explainRequest(requestId, { vmId, explainer, membership, peers });
 * ```
 */
export async function explainRequest(
  requestId: RequestId,
  options: ExplainOptions,
): Promise<Explanation> {
  const own = {
    vmId: options.vmId,
    entries: options.explainer.explain(requestId) ?? [],
  };
  const answers = await askPeers(requestId, options);
  const vms = [own, ...answers].flatMap(({ vmId, entries }) =>
    entries === undefined || entries.length === 0 ? [] : [{ vmId, entries }]
  );
  const silentVms = answers
    .filter(({ entries }) => entries === undefined)
    .map(({ vmId }) => vmId);
  return { requestId, vms, silentVms };
}
