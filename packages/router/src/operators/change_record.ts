/**
 * Converts a proposed change into the record to append to the log.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import {
  CHANGE_SCHEMAS,
  checkChange,
  isChangeKind,
} from "@endivebend/configuration";
import { createError } from "@endivebend/errors";
import type { AppendRecord } from "../ports.ts";
import type { GrantedSecrets } from "./granted_secrets.ts";

const RECORD_ID_PATTERN = /^[A-Za-z0-9._:-]{1,128}$/;

function readRecordId(value: unknown): string {
  if (value === undefined) return randomUUID();
  if (typeof value === "string" && RECORD_ID_PATTERN.test(value)) return value;
  throw createError("invalid_change", "The record id is invalid", {
    field: "recordId",
    remedy:
      "Use 1 to 128 letters, digits, '.', '_', ':' and '-', or leave it out",
  });
}

function refuseGivenDigest(proposal: Readonly<Record<string, unknown>>) {
  if (proposal.digest === undefined) return;
  throw createError(
    "invalid_change",
    "The digest cannot be chosen; the daemon generates the key",
    {
      field: "digest",
      remedy: "Leave the digest out; the answer contains the key",
    },
  );
}

/**
 * Validates a proposal as far as possible without the configuration state, so
 * that malformed records do not reach the log. Throws `invalid_change`.
 */
export function toChangeRecord(
  proposal: Readonly<Record<string, unknown>>,
  options: { readonly operator: string; readonly secrets: GrantedSecrets },
): AppendRecord {
  const { kind } = proposal;
  if (!isChangeKind(kind)) {
    const kinds = Object.keys(CHANGE_SCHEMAS).join(", ");
    throw createError("invalid_change", "The kind of the change is unknown", {
      field: "kind",
      remedy: `Use one of ${kinds}`,
    });
  }
  const recordId = readRecordId(proposal.recordId);
  let record: AppendRecord = {
    ...proposal,
    recordId,
    kind,
    by: options.operator,
  };
  if (kind === "key_granted") {
    refuseGivenDigest(proposal);
    record = {
      ...record,
      digest: options.secrets.getOrCreate(recordId).digest,
    };
  }
  const refused = checkChange(record);
  if (refused === undefined) return record;
  throw createError("invalid_change", refused.message, refused);
}
