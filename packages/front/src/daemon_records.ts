/**
 * The records that a daemon reads from the store and from its peers: the tables
 * that hold them, their followers, and what applies them.
 *
 * @module
 */

import {
  BEFORE_FIRST,
  MIN_RELAYED_FLEET,
  type RecordExchange,
  RecordFollower,
  type RecordFollowerOptions,
  RecordTable,
  shouldReadTopic,
} from "@endivebend/fleet";
import type { DaemonParts } from "./daemon_parts.ts";
import {
  OPERATOR_TOPIC,
  QUARANTINE_TOPIC,
  SERVER_READ_INTERVAL_MS,
  SERVER_TOPIC,
} from "./daemon_topics.ts";
import { RecordApplier } from "./record_applier.ts";
import { operatorRecordOrder, serverRecordOrder } from "./record_order.ts";

/**
 * Time for which the store may hold a read of operator records. New records are
 * returned at once; a connection that went silent costs this long.
 */
const OPERATOR_POLL_WAIT_MS = 8_000;
/**
 * Time for which the store may hold a read of quarantines, which change rarely;
 * peers' gossip tells of the same crashes.
 */
const QUARANTINE_POLL_WAIT_MS = 20_000;

/** The followers of the topics. */
export interface RecordFollowers {
  readonly operator: RecordFollower;
  readonly server: RecordFollower;
  readonly quarantine: RecordFollower;
}

/**
 * Follows the records of all topics in the store.
 *
 * @example
 * ```ts
 * createFollowers(parts).operator.start();
 * ```
 */
export function createFollowers(parts: DaemonParts): RecordFollowers {
  const { store } = parts.ports;
  return {
    operator: createFollower(parts, OPERATOR_TOPIC, {
      source: store.operatorRecords,
      waitMs: OPERATOR_POLL_WAIT_MS,
      minReadIntervalMs: 0,
    }),
    server: createFollower(parts, SERVER_TOPIC, {
      source: store.serverRecords,
      waitMs: 0,
      minReadIntervalMs: SERVER_READ_INTERVAL_MS,
      isReader: () => shouldReadServers(parts),
    }),
    quarantine: createFollower(parts, QUARANTINE_TOPIC, {
      source: store.quarantineRecords,
      waitMs: QUARANTINE_POLL_WAIT_MS,
      minReadIntervalMs: 0,
      isOwnTopic: true,
      listed: (records) => parts.quarantines.noteStored(records),
    }),
  };
}

/**
 * Holds the records of each topic, and passes new ones to what applies them.
 *
 * @example
 * ```ts
 * const newest = createTables(parts).get(SERVER_TOPIC)?.newest;
 * ```
 */
export function createTables(
  parts: DaemonParts,
): ReadonlyMap<string, RecordTable> {
  const operator = new RecordTable((records) => {
    parts.recordApplier.applyOperatorRecords(records);
    // In a large fleet the next message tells of them soon enough.
    if (parts.fleet.size < MIN_RELAYED_FLEET) parts.gossipChannel.broadcast();
  }, operatorRecordOrder(parts.ports.store));
  const servers = new RecordTable(
    (records) => parts.recordApplier.applyServerRecords(records),
    serverRecordOrder(parts.ports.store),
  );
  const quarantines = new RecordTable((records) =>
    parts.quarantines.applyRecords(records)
  );
  return new Map([
    [OPERATOR_TOPIC, operator],
    [SERVER_TOPIC, servers],
    [QUARANTINE_TOPIC, quarantines],
  ]);
}

function createFollower(
  parts: DaemonParts,
  topic: string,
  options: Pick<
    RecordFollowerOptions,
    | "source"
    | "waitMs"
    | "minReadIntervalMs"
    | "isReader"
    | "isOwnTopic"
    | "listed"
  >,
): RecordFollower {
  const { clock, scheduler, log } = parts.ports;
  return new RecordFollower({
    ...options,
    clock,
    scheduler,
    table: parts.tables.get(topic)!,
    wasRead: (read) => {
      // Reads in order would fill the log; listings and old records are rare.
      if (read.kind === "newest" || read.ignored > 0) {
        log.decision("records_read", { topic, ...read });
      }
    },
    restored: () => noteRestore(parts, topic),
    lost: (reason) => {
      parts.storeContact.noteChange();
      log.stateChange("store_lost", { topic, reason });
    },
    regained: () => {
      parts.storeContact.noteChange();
      log.stateChange("store_regained", { topic });
    },
  });
}

function shouldReadServers(parts: DaemonParts): boolean {
  const nowMs = parts.nowMs();
  return shouldReadTopic({
    self: parts.settings.vm,
    failureDomain: parts.settings.failureDomain,
    topic: SERVER_TOPIC,
    held: parts.tables.get(SERVER_TOPIC)?.newest ?? BEFORE_FIRST,
    ownReadAtMs: parts.followers.server.readAtMs,
    peers: parts.fleet.reachable(nowMs),
    nowMs,
  });
}

function noteRestore(parts: DaemonParts, topic: string): void {
  parts.storeContact.noteChange();
  parts.pulls.noteUnmerged(topic);
  parts.ports.log.stateChange("store_restored", { topic });
  // The copy may lack this daemon, and daemons that start now list it.
  if (topic !== OPERATOR_TOPIC) return;
  void parts.registration.register();
  parts.streamOrigins.noteRestore();
}

/**
 * Passes records on between daemons.
 *
 * @example
 * ```ts
 * await createRecordExchange(parts).pull(topic, address, { all: false });
 * ```
 */
export function createRecordExchange(
  parts: DaemonParts,
): Pick<RecordExchange, "pull" | "close"> {
  return parts.ports.createRecordExchange({
    ip: parts.settings.ip,
    port: parts.settings.firstPeerPort + 1,
    tables: parts.tables,
    failed: (reason) => parts.logDecision("peer_records_failed", { reason }),
  });
}

/**
 * Applies records to this daemon's components.
 *
 * @example
 * ```ts
 * createRecordApplier(parts).applyServerRecords(records);
 * ```
 */
export function createRecordApplier(parts: DaemonParts): RecordApplier {
  return new RecordApplier({
    store: parts.ports.store,
    admission: parts.admission,
    registry: parts.registry,
    named: parts.namedWeights,
    nowMs: () => parts.nowMs(),
    rolloutOrdered: (rollout, at) => parts.versionRollouts.ordered(rollout, at),
    serverListed: (server) => parts.streamOrigins.noteListed(server),
    wasStoreAway: () => parts.storeContact.wasAway(),
    applyLimits: (limits) => parts.listener.applyLimits(limits),
    logDecision: parts.logDecision,
  });
}
