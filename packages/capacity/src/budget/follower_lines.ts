/**
 * Lines of the followed log streams, as the code is.
 *
 * @module
 */

import { type Line, type Slopes, times } from "./slopes.ts";
import { ASSUMED, GIVEN, PRESENT, SHARE } from "./two_year.ts";

const CLIENT = times(ASSUMED.clientPart, "client's part");
const MEMBERS = GIVEN.daemons;
const BOTH_RECORDS = times(2, "records each");

/** The lines of this module. */
export function followerLines(slopes: Slopes): Line[] {
  const commitments = times(ASSUMED.commitmentsPerS, "calls/s in the fleet");
  const records = times(ASSUMED.commitmentsPerS * 2, "records/s");
  const changes = times(GIVEN.changesPerS, "changes/s");
  const rights = times(
    SHARE.entryVmChangesPerS * ASSUMED.rightsRecordsPerVmChange,
    "rights records/s",
  );
  const orders = times(ASSUMED.ordersPerS, "orders/s in the fleet");
  const idle = times(PRESENT.streams / PRESENT.idlePollS, "idle reads/s");
  const read = slopes.per("http.log_read_us");
  const readBytes = slopes.per("http.log_read_bytes");
  return [
    {
      name: "Configuration followed and held",
      kind: "background",
      cpuUs: [
        [changes, CLIENT, read],
        [changes, slopes.per("configuration.change_us")],
        [idle, CLIENT, read],
      ],
      trafficBytes: [
        [changes, readBytes],
        [changes, slopes.per("configuration.record_bytes")],
        [idle, readBytes],
      ],
      memoryBytes: [
        [times(1, ""), slopes.at("configuration.team_bytes", GIVEN.teams)],
        [
          times(PRESENT.recentRecords, "kept records"),
          times(650, "bytes, as for commitments"),
        ],
      ],
    },
    {
      name: "Configuration snapshots read",
      kind: "background",
      cpuUs: [[
        times(PRESENT.snapshotsPerS, "snapshots/s"),
        slopes.at("configuration.restore_us", GIVEN.teams),
      ]],
      trafficBytes: [[
        times(PRESENT.snapshotsPerS, "snapshots/s"),
        slopes.at("configuration.snapshot_bytes", GIVEN.teams),
      ]],
    },
    {
      name: "Rights followed and planned",
      kind: "background",
      cpuUs: [
        [rights, CLIENT, read],
        [rights, slopes.per("rights.fold_us")],
        [rights, times(SHARE.teams, "teams"), slopes.per("limits.terms_us")],
        [
          times(PRESENT.rightsUpkeepsPerS, "plans/s"),
          slopes.at("rights.plan_claims_us", MEMBERS),
        ],
        [
          times(PRESENT.rightsUpkeepsPerS, "plans/s"),
          slopes.at("rights.plan_ended_us", MEMBERS),
        ],
      ],
      trafficBytes: [
        [rights, readBytes],
        [rights, slopes.per("rights.record_bytes")],
      ],
      memoryBytes: [[
        times(GIVEN.groups * GIVEN.domains, "groups of domains"),
        slopes.per("rights.group_bytes"),
      ]],
    },
    {
      name: "Orders followed and held",
      kind: "background",
      trafficBytes: [
        [orders, BOTH_RECORDS, readBytes],
        [orders, slopes.per("orders.order_bytes")],
      ],
      cpuUs: [
        [orders, BOTH_RECORDS, CLIENT, read],
        [orders, slopes.per("orders.fold_us")],
      ],
      memoryBytes: [[
        times(1, ""),
        slopes.at("orders.engine_bytes", GIVEN.engines),
      ]],
    },
    {
      name: "Commitments followed and held",
      kind: "background",
      cpuUs: [
        [records, CLIENT, read],
        [commitments, slopes.per("commitments.parse_us")],
        [commitments, slopes.per("commitments.fold_us")],
      ],
      trafficBytes: [
        [records, readBytes],
        [commitments, slopes.per("commitments.call_bytes")],
      ],
      memoryBytes: [
        [
          times(PRESENT.maxCommitmentKeys, "keys"),
          slopes.per("commitments.key_bytes"),
        ],
        [
          times(PRESENT.recentRecords, "kept records"),
          slopes.per("recent_records.record_bytes"),
        ],
      ],
    },
  ];
}
