/**
 * Lines of what each request causes, as the code is.
 *
 * @module
 */

import { type Line, type Slopes, times } from "./slopes.ts";
import { ASSUMED, GIVEN, PRESENT, SHARE } from "./two_year.ts";

const BOTH_WAYS = times(2, "out and in");
const ENGINES = GIVEN.engines;
const MEMBERS = GIVEN.daemons;
const REQUESTS = times(SHARE.requestsPerS, "requests/s");
/** The holder is this VM itself once in 31.5 times. */
const REMOTE_CHARGES = times(
  SHARE.requestsPerS * (1 - 1 / SHARE.vmsPerDomain),
  "charges/s at another VM",
);
const REMOTE = times(SHARE.requestsPerS * (1 - 1 / MEMBERS), "calls/s");

/** Lines of limits. */
export function holderLines(slopes: Slopes): Line[] {
  const loans = times(
    SHARE.requestsPerS * ASSUMED.loansPerCharge,
    "loans/s",
  );
  return [
    {
      name: "Charges at holders",
      kind: "per request",
      cpuUs: [
        [REMOTE_CHARGES, slopes.per("rpc.charge_us")],
        [REQUESTS, slopes.per("limits.charge_us")],
      ],
      trafficBytes: [[
        REMOTE_CHARGES,
        BOTH_WAYS,
        slopes.per("rpc.charge_bytes"),
      ]],
      memoryBytes: [[
        times(SHARE.teams, "active teams"),
        slopes.per("limits.team_bytes"),
      ]],
    },
    {
      name: "Loans between holders",
      kind: "per request",
      cpuUs: [
        [loans, slopes.per("rpc.charge_us")],
        [loans, slopes.per("limits.loan_us")],
      ],
      trafficBytes: [[loans, BOTH_WAYS, slopes.per("rpc.charge_bytes")]],
    },
  ];
}

/** Lines of routing and queues. */
export function requestLines(slopes: Slopes): Line[] {
  const blocks = ASSUMED.blocksPerPrompt;
  return [
    {
      name: "Prefix look-ups",
      kind: "per request",
      cpuUs: [
        [REMOTE, slopes.per("rpc.locate_us")],
        [REQUESTS, slopes.at("prefix_index.locate_us", blocks)],
        [REQUESTS, slopes.at("membership.entry_vms_us", ENGINES)],
      ],
      trafficBytes: [[REMOTE, BOTH_WAYS, slopes.per("rpc.locate_bytes")]],
    },
    {
      name: "Slots at watchers (three calls)",
      kind: "per request",
      cpuUs: [
        [REMOTE, slopes.per("rpc.slot_us")],
        [REQUESTS, slopes.per("queue.request_us")],
        [REQUESTS, slopes.at("membership.entry_vms_us", ENGINES)],
      ],
      trafficBytes: [[REMOTE, BOTH_WAYS, slopes.per("rpc.slot_bytes")]],
    },
    {
      name: "Explain records",
      kind: "per request",
      memoryBytes: [[
        times(PRESENT.explainedRequests, "requests"),
        times(SHARE.candidates, "candidates"),
        slopes.per("route.explained_bytes"),
      ]],
    },
    {
      name: "Choice of an engine",
      kind: "request path",
      cpuUs: [
        [REQUESTS, slopes.at("membership.servers_of_service_us", ENGINES)],
        [REQUESTS, slopes.at("route.candidate_us", SHARE.candidates)],
        [REQUESTS, slopes.at("route.hash_us", blocks)],
      ],
    },
  ];
}
