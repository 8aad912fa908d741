/**
 * How well one daemon sees the others, as a function of their number: runs the
 * rounds of the exchange over virtual time against a real membership view.
 *
 * @module
 */

import { Membership } from "@endivebend/membership";
import { peersPerRound, PRESENT } from "./budget/two_year.ts";
import {
  engineId,
  entryVm,
  incarnationAt,
  spread,
  vmList,
  WEIGHTS,
} from "./samples.ts";

const ROUND_MS = 1_000 / PRESENT.exchangeRoundsPerS;
/** Until then not every daemon has been met once. */
const WARM_UP_MS = 30_000;
const OBSERVED_MS = 60_000;
const SCAN_MS = 250;

/** What one daemon saw. */
export interface Coverage {
  readonly daemons: number;
  /** Share of the time for which a live daemon is not among the present. */
  readonly absentPart: number;
  /** Share of the time for which an engine, watched by a peer, is stale. */
  readonly stalePart: number;
  /** Scans of the watcher that found other members than the one before. */
  readonly changedScans: number;
}

interface Meeting {
  readonly atMs: number;
  readonly peer: number;
}

/** The rounds of a daemon in which it calls the given place of its list. */
function roundsWith(
  place: number | undefined,
  options: { readonly peers: number; readonly phase: number },
): Meeting[] {
  const { peers, phase } = options;
  const firstRound = phase % 1_000;
  const meetings: Meeting[] = [];
  const endMs = WARM_UP_MS + OBSERVED_MS;
  for (let round = 0; round * ROUND_MS < endMs; round++) {
    const atMs = round * ROUND_MS + phase % ROUND_MS;
    const count = peersPerRound(peers);
    const start = ((firstRound + round) * count) % peers;
    for (let index = 0; index < count; index++) {
      const peer = (start + index) % peers;
      if (place === undefined || peer === place) meetings.push({ atMs, peer });
    }
  }
  return meetings;
}

/** Calls of daemon 0 and calls that it gets, in the order of time. */
function meetingsOf(daemons: number): Meeting[] {
  const peers = daemons - 1;
  const own = roundsWith(undefined, { peers, phase: 0 });
  const others = Array.from({ length: peers }, (_, peer) => {
    // Lists name the others in one order, so daemon 0 is first in each.
    const phase = spread(peer);
    return roundsWith(0, { peers, phase })
      .map(({ atMs }) => ({ atMs, peer }));
  });
  return [...own, ...others.flat()].sort((a, b) => a.atMs - b.atMs);
}

/**
 * Runs the rounds for a number of daemons that are all up and reach each other.
 *
 * @example
 * ```ts
 * measureCoverage(410).absentPart; // 0 would be right
 * ```
 */
export function measureCoverage(daemons: number): Coverage {
  const membership = new Membership({ self: entryVm(0), seeds: [] });
  membership.applyList({ asOfMs: 1, vms: vmList(0, daemons - 1) });
  const meetings = meetingsOf(daemons);
  let next = 0;
  let before = "";
  let [scans, present, stale, changedScans] = [0, 0, 0, 0];
  for (let nowMs = 0; nowMs < WARM_UP_MS + OBSERVED_MS; nowMs += SCAN_MS) {
    while (next < meetings.length && meetings[next]!.atMs <= nowMs) {
      notePeer(membership, meetings[next++]!);
    }
    const seen = membership.entryVms(nowMs).map(({ vmId }) => vmId);
    const members = seen.join(" ");
    const isChanged = members !== before;
    before = members;
    if (nowMs < WARM_UP_MS) continue;
    scans++;
    present += seen.length;
    const engines = membership.serversOfRole("engine", nowMs);
    stale += engines.filter(({ isStale }) => isStale).length;
    if (isChanged) changedScans++;
  }
  return {
    daemons,
    absentPart: 1 - present / scans / daemons,
    stalePart: stale / scans / (daemons - 1),
    changedScans: changedScans / scans,
  };
}

function notePeer(membership: Membership, { peer, atMs }: Meeting): void {
  const { vmId, failureDomain, address } = entryVm(peer + 1);
  const incarnation = incarnationAt(peer + 1);
  const note = { vmId, incarnation, failureDomain, address, draining: false };
  membership.recordPeer(note, atMs);
  // A load travels with its watcher's view only; its own age is left out.
  membership.recordServerAnswer(engineId(peer), {
    incarnation,
    weightsVersion: WEIGHTS,
    asOfMs: atMs,
  });
}
