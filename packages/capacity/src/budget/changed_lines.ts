/**
 * The lines of the budget after the changes that docs/CAPACITY.md proposes.
 * They use the same slopes; nothing of this has been built or run.
 *
 * @module
 */

import { followerLines } from "./follower_lines.ts";
import { holderLines } from "./request_lines.ts";
import { type Line, type Slopes, times } from "./slopes.ts";
import { ASSUMED, CHANGED, GIVEN, PRESENT, SHARE } from "./two_year.ts";

const CLIENT = times(ASSUMED.clientPart, "client's part");
const BOTH_WAYS = times(2, "out and in");
const ENGINES = GIVEN.engines;
const REGION_ENGINES = GIVEN.engines / CHANGED.regions;
const REGION_VMS = GIVEN.daemons / CHANGED.regions;
const SHARED_EVENTS = times(
  SHARE.eventsPerS * CHANGED.sharedBlocks,
  "events/s of shared blocks",
);
const SHARED_BLOCKS = times(
  SHARE.blocks * CHANGED.sharedBlocks,
  "shared blocks",
);
const REQUESTS = times(SHARE.requestsPerS, "requests/s");

function listLine(slopes: Slopes): Line {
  const reads = times(CHANGED.listReadsPerS, "reads/s");
  const changes = times(GIVEN.vmChangesPerS, "VM changes/s");
  return {
    name: "VM list, read in turn, differences passed on",
    kind: "background",
    cpuUs: [[reads, slopes.at("http.vm_list_us", ENGINES)]],
    trafficBytes: [
      [reads, slopes.at("vm_list.json_bytes", ENGINES)],
      [changes, BOTH_WAYS, slopes.per("vm_list.json_bytes")],
    ],
    memoryBytes: [[times(1, ""), slopes.at("membership.vm_bytes", ENGINES)]],
  };
}

function exchangeLine(slopes: Slopes): Line {
  const calls = times(CHANGED.exchangeCallsPerS, "calls/s");
  return {
    name: "Exchange with one peer a round, without loads",
    kind: "background",
    cpuUs: [[calls, slopes.per("rpc.charge_us")]],
    trafficBytes: [
      [calls, BOTH_WAYS, slopes.per("rpc.charge_bytes")],
      [calls, times(4, "views"), slopes.at("peer_view.message_bytes", 0)],
    ],
  };
}

function loadsLine(slopes: Slopes): Line {
  const loads = times(
    REGION_ENGINES / CHANGED.loadSpreadEveryS,
    "loads/s of the region",
  );
  return {
    name: "Compact loads of the region's engines",
    kind: "background",
    cpuUs: [[loads, slopes.per("peer_view.decode_us")]],
    trafficBytes: [[loads, times(CHANGED.compactLoadBytes, "bytes")]],
  };
}

function scanLine(slopes: Slopes): Line {
  return {
    name: "Watcher's scan of its domain, at changes only",
    kind: "background",
    cpuUs: [[
      times(GIVEN.vmChangesPerS, "VM changes/s"),
      slopes.at("watcher.scan_us", ENGINES / GIVEN.domains),
    ]],
  };
}

function pollLine(slopes: Slopes): Line {
  const polls = times(SHARE.engines * CHANGED.pollsPerEnginePerS, "polls/s");
  const events = times(SHARE.eventsPerS, "events/s");
  return {
    name: "Binary cache events and load in one poll each 4 s",
    kind: "background",
    cpuUs: [
      [polls, CLIENT, slopes.per("http.cache_events_us")],
      [events, slopes.per("cache_view.event_us")],
    ],
    trafficBytes: [
      [polls, slopes.per("http.engine_load_bytes")],
      [events, times(CHANGED.binaryEventBytes, "bytes")],
    ],
    memoryBytes: [[
      times(SHARE.blocks, "blocks"),
      slopes.per("cache_view.block_bytes"),
    ]],
  };
}

function reportLine(slopes: Slopes): Line {
  const reports = times(REGION_VMS / CHANGED.reportEveryS, "reports/s");
  return {
    name: "Reports of shared blocks to homes of the region, each 10 s",
    kind: "background",
    cpuUs: [
      [reports, slopes.per("rpc.report_us")],
      [SHARED_EVENTS, slopes.per("prefix_index.event_us")],
    ],
    trafficBytes: [
      [reports, BOTH_WAYS, slopes.per("rpc.report_bytes")],
      [SHARED_EVENTS, BOTH_WAYS, times(8, "bytes")],
    ],
    memoryBytes: [
      [SHARED_BLOCKS, slopes.per("prefix_index.block_bytes")],
      [times(ENGINES, "engines"), slopes.per("prefix_index.engine_bytes")],
    ],
  };
}

function reportMovedLine(): Line {
  // A change of one member moves one part in 82 of the blocks.
  const changes = times(SHARE.entryVmChangesPerS, "entry VM changes/s");
  const moved = times(1 / REGION_VMS, "of the blocks move");
  return {
    name: "Moved blocks reported again at a change of entry VMs",
    kind: "background",
    trafficBytes: [[
      changes,
      moved,
      SHARED_BLOCKS,
      BOTH_WAYS,
      times(8, "bytes/block"),
    ]],
  };
}

function commitmentsLine(slopes: Slopes): Line {
  const part = times(1 / CHANGED.commitmentStreams, "of the streams");
  const calls = times(ASSUMED.commitmentsPerS, "calls/s in the fleet");
  const records = times(ASSUMED.commitmentsPerS * 2, "records/s");
  return {
    name: "Commitments in 64 streams, one followed per VM",
    kind: "background",
    cpuUs: [
      [records, part, CLIENT, slopes.per("http.log_read_us")],
      [calls, part, slopes.per("commitments.fold_us")],
    ],
    trafficBytes: [
      [records, part, slopes.per("http.log_read_bytes")],
      [calls, part, slopes.per("commitments.call_bytes")],
    ],
    memoryBytes: [[
      times(PRESENT.maxCommitmentKeys, "keys"),
      slopes.per("commitments.key_bytes"),
    ]],
  };
}

function combinedCallLines(slopes: Slopes): Line[] {
  return [
    {
      name: "Charge and look-up in one call",
      kind: "per request",
      cpuUs: [[REQUESTS, slopes.per("rpc.locate_us")]],
      trafficBytes: [[
        REQUESTS,
        BOTH_WAYS,
        times(
          slopes.per("rpc.charge_bytes").value + CHANGED.combinedCallBytes,
          "bytes/call",
        ),
      ]],
      memoryBytes: [[
        times(SHARE.teams, "active teams"),
        slopes.per("limits.team_bytes"),
      ]],
    },
    {
      name: "Slots with one call, ends seen in the engine's load",
      kind: "per request",
      cpuUs: [[REQUESTS, slopes.per("rpc.charge_us")]],
      trafficBytes: [[REQUESTS, BOTH_WAYS, slopes.per("rpc.charge_bytes")]],
    },
    {
      name: "Explain records with the best 8 engines",
      kind: "per request",
      memoryBytes: [[
        times(PRESENT.explainedRequests, "requests"),
        times(CHANGED.explainedCandidates, "candidates"),
        slopes.per("route.explained_bytes"),
      ]],
    },
  ];
}

function choiceLine(slopes: Slopes): Line {
  const candidates = REGION_ENGINES / GIVEN.models;
  return {
    name: "Choice among the region's engines, candidates written out",
    kind: "request path",
    cpuUs: [
      [REQUESTS, slopes.at("route.choose_us", candidates)],
      [REQUESTS, slopes.at("route.hash_us", ASSUMED.blocksPerPrompt)],
    ],
  };
}

/** The lines after the changes. */
export function changedLines(slopes: Slopes): readonly Line[] {
  const kept = followerLines(slopes)
    .filter(({ name }) => !name.startsWith("Commitments"));
  const loans = holderLines(slopes)
    .filter(({ name }) => name.startsWith("Loans"));
  return [
    listLine(slopes),
    exchangeLine(slopes),
    loadsLine(slopes),
    scanLine(slopes),
    pollLine(slopes),
    reportLine(slopes),
    reportMovedLine(),
    ...kept,
    commitmentsLine(slopes),
    ...combinedCallLines(slopes),
    ...loans,
    choiceLine(slopes),
  ];
}
