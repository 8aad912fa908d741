/**
 * The two-year size of docs/design.md 1.4, what follows from it per daemon, and
 * what has to be assumed.
 *
 * @module
 */

const DAY_S = 86_400;

/** Given by the design page. */
export const GIVEN = {
  daemons: 410,
  engines: 12_000,
  requestsPerS: 8_900,
  blocks: 360e6,
  eventsPerS: 250_000,
  teams: 29_000,
  models: 9,
  domains: 13,
  changesPerS: 42_000 / DAY_S,
  vmChangesPerS: 1_020 / DAY_S,
  groups: 1_024,
} as const;

/** The most that a daemon may spend on the control plane. */
export const LIMIT = {
  /** Microseconds of processor time per second: 3.7% of a core. */
  cpuUs: 37_000,
  trafficBytes: 16_000,
  memoryBytes: 256e6,
} as const;

/** Named here because no page gives them. */
export const ASSUMED = {
  keysPerTeam: 2,
  /** Calls per second that run at most once: 1% of the requests. */
  commitmentsPerS: 89,
  /** One order per engine and day. */
  ordersPerS: 12_000 / DAY_S,
  /** Full blocks of a prompt. */
  blocksPerPrompt: 8,
  /** Charges that lead to a loan. */
  loansPerCharge: 0.05,
  /** Rights records per change of an entry VM: ended, claim, confirmation. */
  rightsRecordsPerVmChange: 3,
  /** The client's part of a call whose both sides were measured together. */
  clientPart: 0.5,
  /** A cache event names one block, and an engine answers at each event. */
  eventsPerPoll: 1,
} as const;

/** Settings and constants of the code as it is. */
export const PRESENT = {
  listReadsPerS: 2,
  exchangeRoundsPerS: 2,
  minPeersPerRound: 16,
  maxRoundsPerPeer: 4,
  peerAbsentAfterS: 5,
  scansPerS: 4,
  loadPollsPerEnginePerS: 4,
  rightsUpkeepsPerS: 2,
  streams: 4,
  idlePollS: 5,
  explainedRequests: 5_000,
  maxCommitmentKeys: 100_000,
  recentRecords: 8_192,
  snapshotsPerS: 2 / DAY_S,
} as const;

/** Numbers of the proposed changes of design; docs/CAPACITY.md describes them. */
export const CHANGED = {
  /** The daemons read the VM list in turn, one every two seconds. */
  listReadsPerS: 0.5 / GIVEN.daemons,
  exchangeCallsPerS: 2,
  regions: 5,
  /** Bytes of an engine's load with its number instead of its names. */
  compactLoadBytes: 6,
  loadSpreadEveryS: 5,
  pollsPerEnginePerS: 0.25,
  /** Bytes of one cache event in a binary answer: hash and kind. */
  binaryEventBytes: 9,
  /** Part of the blocks that more than one request uses. */
  sharedBlocks: 0.1,
  reportEveryS: 10,
  commitmentStreams: 64,
  /** A charge with the look-up: 16 bytes a block and 16 for the locations. */
  combinedCallBytes: 8 * 8 + 16,
  explainedCandidates: 8,
} as const;

const perDaemon = (total: number) => total / GIVEN.daemons;

/** What falls to one daemon when all is spread evenly. */
export const SHARE = {
  engines: perDaemon(GIVEN.engines),
  requestsPerS: perDaemon(GIVEN.requestsPerS),
  blocks: perDaemon(GIVEN.blocks),
  eventsPerS: perDaemon(GIVEN.eventsPerS),
  groups: perDaemon(GIVEN.groups * GIVEN.domains),
  /** Each domain's holder has a state for each team that is active there. */
  teams: perDaemon(GIVEN.teams * GIVEN.domains),
  vmsPerDomain: GIVEN.daemons / GIVEN.domains,
  listedVms: GIVEN.daemons + GIVEN.engines,
  candidates: GIVEN.engines / GIVEN.models,
  /** Entry VMs are 410 of the 12,410 VMs whose changes are counted. */
  entryVmChangesPerS: GIVEN.vmChangesPerS * GIVEN.daemons /
    (GIVEN.daemons + GIVEN.engines),
} as const;

/** How many of its peers a daemon asks in one round of the exchange. */
export function peersPerRound(peers: number): number {
  const share = Math.ceil(peers / PRESENT.maxRoundsPerPeer);
  return Math.min(peers, Math.max(PRESENT.minPeersPerRound, share));
}
