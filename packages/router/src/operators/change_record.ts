/**
 * Turns a proposed change into the record that is appended.
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
  throw createError("invalid_change", "The record id is not valid", {
    field: "recordId",
    remedy:
      "Give at most 128 letters, digits, '.', '_', ':' and '-', or leave it out",
  });
}

function refuseGivenDigest(proposal: Readonly<Record<string, unknown>>) {
  if (proposal.digest === undefined) return;
  throw createError(
    "invalid_change",
    "The daemon generates each key by itself",
    {
      field: "digest",
      remedy: "Leave the digest out; the answer holds the key",
    },
  );
}

/**
 * Checks a proposal as far as that is possible without the state, so that no
 * malformed record takes up the log. Throws `invalid_change`.
 */
export function toChangeRecord(
  proposal: Readonly<Record<string, unknown>>,
  options: { readonly operator: string; readonly secrets: GrantedSecrets },
): AppendRecord {
  const { kind } = proposal;
  if (!isChangeKind(kind)) {
    const kinds = Object.keys(CHANGE_SCHEMAS).join(", ");
    throw createError("invalid_change", "The kind of the change is not known", {
      field: "kind",
      remedy: `Give one of ${kinds}`,
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
