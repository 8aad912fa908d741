/**
 * Maps the store's topics and keys to the records that the front daemon reads.
 *
 * @module
 */

import type { KeyedRecord } from "@endivebend/fleet";
import type { OperatorRecord, RecordStore } from "@endivebend/front";
import { brandId, type VmId } from "@endivebend/types";
import {
  decodeConfiguration,
  decodeNamedWeights,
  decodeRollout,
  decodeServer,
} from "./decode.ts";
import type { StoreClient } from "./store_client.ts";

/** Topic of the operator's records. */
const OPERATOR_TOPIC = "keyed.op";
/** Topic of the backend servers' entries, by server id. */
const SERVER_TOPIC = "keyed.servers";
/** Topic of the daemons' entries: the VM id is the key, its IP the value. */
const MEMBER_TOPIC = "keyed.members";

/** Topic of the quarantined prompt segments. */
const QUARANTINE_TOPIC = "keyed.quarantines";

const CONFIGURATION_KEY = "config";
const WEIGHTS_PREFIX = "version/";
const ROLLOUT_PREFIX = "rollout/";

/** Adapts the store's client to the interface of the front daemon. */
export function createRecordStore(client: StoreClient): RecordStore {
  return {
    get isReachable() {
      return client.isReachable;
    },
    get callCounts() {
      return client.callCounts;
    },
    operatorRecords: client.keyedRecordSource(OPERATOR_TOPIC),
    serverRecords: client.keyedRecordSource(SERVER_TOPIC),
    quarantineRecords: client.keyedRecordSource(QUARANTINE_TOPIC),
    readOperatorRecord,
    readServer: ({ key, value }) => value && decodeServer(key, value),
    async putQuarantine(key, value) {
      await client.appendKeyed(QUARANTINE_TOPIC, key, value);
    },
    async registerDaemon(vm, ip) {
      await client.appendKeyed(MEMBER_TOPIC, vm, Buffer.from(ip));
      const { records } = await client.newest(MEMBER_TOPIC);
      const members = new Map<VmId, string>();
      for (const { key, value } of records) {
        if (value === undefined) continue;
        members.set(brandId<VmId>(key), value.toString("utf8"));
      }
      return members;
    },
  };
}

function readOperatorRecord({ key, value }: KeyedRecord): OperatorRecord {
  if (value === undefined) return { kind: "other" };
  if (key === CONFIGURATION_KEY) {
    const configuration = decodeConfiguration(value);
    return configuration === undefined
      ? { kind: "malformed" }
      : { kind: "configuration", configuration };
  }
  if (key.startsWith(ROLLOUT_PREFIX)) {
    const rollout = decodeRollout(value);
    return rollout === undefined
      ? { kind: "malformed" }
      : { kind: "rollout", ...rollout };
  }
  if (!key.startsWith(WEIGHTS_PREFIX)) return { kind: "other" };
  const namedWeights = decodeNamedWeights(value);
  return namedWeights === undefined
    ? { kind: "malformed" }
    : { kind: "weights", ...namedWeights };
}
