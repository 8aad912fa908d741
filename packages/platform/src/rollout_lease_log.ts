/**
 * Stores the rollout lease as records of a topic. Every record is appended only
 * at the topic's known end, so the log orders all of them. The epoch of a claim
 * is the position after it, so that epochs rise also when the store comes back
 * from a copy that lacks the latest records.
 *
 * @module
 */

import {
  eraOf,
  type LogPosition,
  logPosition,
  offsetOf,
} from "@endivebend/fleet";
import type {
  LeaseLogState,
  LeaseRecord,
  RolloutLeaseLog,
} from "@endivebend/orders";
import { brandId } from "@endivebend/types";
import type { StoreClient } from "./store_client.ts";

const TOPIC = "weights-lease";

/** A record with the position that it was meant for. */
type StoredRecord = LeaseRecord & { readonly position: number };

const KINDS: ReadonlySet<unknown> = new Set(["claim", "renewal", "release"]);

/** Creates the log of the rollout lease on the store. */
export function createRolloutLeaseLog(store: StoreClient): RolloutLeaseLog {
  return {
    async read(knownEnd): Promise<LeaseLogState> {
      const knownOffset = knownEnd === undefined
        ? 0
        : offsetOf(brandId<LogPosition>(knownEnd));
      const from = Math.max(0, knownOffset - 1);
      let { records, next } = await store.readRetained(TOPIC, from);
      // A log that a restore has set back has earlier records only.
      if (records.length === 0 && from > 0) {
        ({ records, next } = await store.readRetained(TOPIC, 0));
      }
      const isEmpty = next === logPosition(0, 0);
      return {
        end: next,
        newest: isEmpty ? undefined : decode(records.at(-1), next),
      };
    },
    async append(record, end) {
      const position = brandId<LogPosition>(end);
      const bytes = Buffer.from(JSON.stringify({ ...record, position }));
      const result = await store.append(TOPIC, bytes, {
        at: offsetOf(position),
      });
      const answered = result.kind === "appended"
        ? result.position
        : result.end;
      if (eraOf(answered) !== eraOf(position)) return { kind: "restored" };
      return result.kind === "appended"
        ? { kind: "appended", end: result.position + 1 }
        : { kind: "moved" };
    },
  };
}

/**
 * Decodes the newest record. One of an earlier era is unknown, as the store may
 * have lost later ones in a restore.
 */
function decode(
  bytes: Buffer | undefined,
  end: LogPosition,
): LeaseRecord | "unknown" {
  const stored = bytes === undefined ? undefined : parseRecord(bytes);
  if (stored === undefined || stored.position !== end - 1) return "unknown";
  const { position: _, ...record } = stored;
  return record;
}

function parseRecord(bytes: Buffer): StoredRecord | undefined {
  try {
    const value = JSON.parse(bytes.toString("utf8")) as unknown;
    return isStoredRecord(value) ? value : undefined;
  } catch {
    return undefined;
  }
}

function isStoredRecord(value: unknown): value is StoredRecord {
  if (typeof value !== "object" || value === null) return false;
  const fields = value as Readonly<Record<string, unknown>>;
  return typeof fields["position"] === "number" &&
    typeof fields["holder"] === "string" && fields["holder"] !== "" &&
    typeof fields["incarnation"] === "string" && KINDS.has(fields["kind"]) &&
    typeof fields["permitsOrders"] === "boolean" &&
    Number.isFinite(fields["waitMs"]);
}
