/**
 * Lines of membership, exchange, watchers and prefix homes, as the code is.
 *
 * @module
 */

import { type Line, type Slopes, times } from "./slopes.ts";
import { ASSUMED, GIVEN, peersPerRound, PRESENT, SHARE } from "./two_year.ts";

const CLIENT = times(ASSUMED.clientPart, "client's part");
const BOTH_WAYS = times(2, "out and in");
const ENGINES = GIVEN.engines;
const MEMBERS = GIVEN.daemons;
const EVENTS = times(SHARE.eventsPerS, "events/s");
const BLOCKS = times(SHARE.blocks, "blocks");

function listLine(slopes: Slopes): Line {
  const reads = times(PRESENT.listReadsPerS, "reads/s");
  return {
    name: "VM list",
    kind: "background",
    cpuUs: [
      [reads, slopes.at("http.vm_list_us", ENGINES)],
      [reads, slopes.at("membership.apply_list_us", ENGINES)],
    ],
    trafficBytes: [[reads, slopes.at("vm_list.json_bytes", ENGINES)]],
    memoryBytes: [[times(1, ""), slopes.at("membership.vm_bytes", ENGINES)]],
  };
}

function exchangeLine(slopes: Slopes): Line {
  const calls = times(
    PRESENT.exchangeRoundsPerS * peersPerRound(GIVEN.daemons - 1),
    "calls/s",
  );
  const views = times(calls.value * 2, "views/s made and taken");
  return {
    name: "Exchange of views",
    kind: "background",
    cpuUs: [
      // A client's half at this side's calls, a server's half at the others'.
      [calls, slopes.per("rpc.exchange_us")],
      [views, slopes.at("membership.entry_vms_us", ENGINES)],
      [views, slopes.at("membership.note_peer_us", MEMBERS)],
    ],
    trafficBytes: [[calls, BOTH_WAYS, slopes.per("rpc.exchange_bytes")]],
    memoryBytes: [[
      times(1, ""),
      slopes.at("membership.peer_bytes", MEMBERS),
    ]],
  };
}

function scanLine(slopes: Slopes): Line {
  const scans = times(PRESENT.scansPerS, "scans/s");
  return {
    name: "Watcher's scan of all engines",
    kind: "background",
    cpuUs: [[scans, slopes.at("watcher.scan_us", ENGINES)]],
  };
}

function loadPollLine(slopes: Slopes): Line {
  const polls = times(
    SHARE.engines * PRESENT.loadPollsPerEnginePerS,
    "polls/s",
  );
  return {
    name: "Load polls of watched engines",
    kind: "background",
    cpuUs: [[polls, CLIENT, slopes.per("http.engine_load_us")]],
    trafficBytes: [[polls, slopes.per("http.engine_load_bytes")]],
  };
}

function eventPollLine(slopes: Slopes): Line {
  const polls = times(SHARE.eventsPerS / ASSUMED.eventsPerPoll, "polls/s");
  return {
    name: "Cache events at the watcher",
    kind: "background",
    cpuUs: [
      [polls, CLIENT, slopes.per("http.cache_events_us")],
      [EVENTS, slopes.per("cache_view.event_us")],
    ],
    trafficBytes: [[polls, slopes.per("http.cache_events_bytes")]],
    memoryBytes: [[BLOCKS, slopes.per("cache_view.block_bytes")]],
  };
}

function reportLine(slopes: Slopes): Line {
  const reports = times(SHARE.eventsPerS / ASSUMED.eventsPerPoll, "reports/s");
  return {
    name: "Reports to prefix homes",
    kind: "background",
    cpuUs: [
      [reports, slopes.at("membership.entry_vms_us", ENGINES)],
      [EVENTS, slopes.at("prefix_home.choose_us", MEMBERS)],
      [reports, slopes.per("rpc.report_us")],
    ],
    trafficBytes: [[reports, BOTH_WAYS, slopes.per("rpc.report_bytes")]],
  };
}

function homeLine(slopes: Slopes): Line {
  return {
    name: "Prefix home's index",
    kind: "background",
    cpuUs: [[EVENTS, slopes.per("prefix_index.event_us")]],
    memoryBytes: [
      [BLOCKS, slopes.per("prefix_index.block_bytes")],
      [
        times(GIVEN.engines, "engines"),
        slopes.per("prefix_index.engine_bytes"),
      ],
    ],
  };
}

function reportAllLine(slopes: Slopes): Line {
  const changes = times(SHARE.entryVmChangesPerS, "entry VM changes/s");
  const eachHash = times(8, "bytes/block");
  return {
    name: "All blocks reported again at a change of entry VMs",
    kind: "background",
    cpuUs: [
      [changes, BLOCKS, slopes.at("prefix_home.choose_us", MEMBERS)],
      [changes, BLOCKS, slopes.per("prefix_index.event_us")],
    ],
    trafficBytes: [[changes, BLOCKS, BOTH_WAYS, eachHash]],
  };
}

/** The lines of this module. */
export function engineLines(slopes: Slopes): Line[] {
  return [
    listLine(slopes),
    exchangeLine(slopes),
    scanLine(slopes),
    loadPollLine(slopes),
    eventPollLine(slopes),
    reportLine(slopes),
    homeLine(slopes),
    reportAllLine(slopes),
  ];
}
