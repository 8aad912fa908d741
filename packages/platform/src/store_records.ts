/**
 * Names of the store's topics and keys, and what their records mean.
 *
 * @module
 */

import type { KeyedRecord } from "@endivebend/fleet";
import type {
  AdmissionController,
  ServerRegistry,
} from "@endivebend/request-path";
import { type BackendServerId, brandId } from "@endivebend/types";
import {
  decodeConfiguration,
  decodeNamedWeights,
  decodeServer,
  type NamedModel,
} from "./decode.ts";

/** The operator's records. */
export const OPERATOR_TOPIC = "keyed.op";
/** Entries of backend servers. */
export const SERVER_TOPIC = "keyed.servers";
/** Entries of daemons: the VM as key, its IP as value. */
export const MEMBER_TOPIC = "keyed.members";

const CONFIGURATION_KEY = "config";
const WEIGHTS_PREFIX = "version/";

/** Who hears about decoded records. */
export interface RecordSinks {
  readonly admission: AdmissionController;
  readonly registry: ServerRegistry;
  named(model: NamedModel): void;
  configured(): void;
  decision(step: string, fields: Readonly<Record<string, unknown>>): void;
}

/** Applies the operator's records. */
export function applyOperatorRecords(
  records: readonly KeyedRecord[],
  sinks: RecordSinks,
): void {
  for (const { key, value, offset } of records) {
    if (value === undefined) continue;
    if (key === CONFIGURATION_KEY) {
      applyConfiguration({ value, offset }, sinks);
    } else if (key.startsWith(WEIGHTS_PREFIX)) {
      const named = decodeNamedWeights(value);
      if (named !== undefined) sinks.named(named);
      else sinks.decision("malformed_record", { key, offset });
    }
  }
}

function applyConfiguration(
  record: { readonly value: Buffer; readonly offset: number },
  sinks: RecordSinks,
): void {
  const { value, offset } = record;
  const configuration = decodeConfiguration(value);
  if (configuration === undefined) {
    return sinks.decision("malformed_record", {
      key: CONFIGURATION_KEY,
      offset,
    });
  }
  const isNewer = sinks.admission.configure(configuration);
  sinks.decision("configuration", {
    revision: configuration.revision,
    offset,
    isNewer,
  });
  if (isNewer) sinks.configured();
}

/** Applies entries of backend servers. */
export function applyServerRecords(
  records: readonly KeyedRecord[],
  at: { readonly sinks: RecordSinks; readonly nowMs: number },
): void {
  const { sinks, nowMs } = at;
  for (const { key, value, offset } of records) {
    if (value === undefined) {
      sinks.registry.remove(brandId<BackendServerId>(key), nowMs);
      sinks.decision("server", { server: key, change: "removed", offset });
      continue;
    }
    const server = decodeServer(key, value);
    if (server === undefined) {
      sinks.decision("malformed_record", { key, offset });
      continue;
    }
    const change = sinks.registry.upsert(server);
    if (change === "same") continue;
    const { isLeaving, address } = server;
    sinks.decision("server", {
      server: key,
      change,
      isLeaving,
      address,
      offset,
    });
  }
}
