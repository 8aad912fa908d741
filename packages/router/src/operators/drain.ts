/**
 * `POST /operator/v1/drain`.
 *
 * @module
 */

import { createError, isEndivebendError } from "@endivebend/errors";
import type { Identity } from "../ports.ts";
import type { ChangeHandler, OperatorAnswer } from "./change_handler.ts";

/** What a drain needs. */
export interface DrainOptions {
  readonly identity: Identity;
  readonly changes: ChangeHandler;
  readonly operator: string;
  readonly drainSelf: () => void;
}

function readCancel(body: Readonly<Record<string, unknown>>): boolean {
  const { cancel = false } = body;
  if (typeof cancel === "boolean") return cancel;
  throw createError("invalid_change", "The field is neither true nor false", {
    field: "cancel",
    remedy: "Give true to cancel the drain, or leave the field out",
  });
}

/**
 * Requests or cancels the drain of a VM through the log. A drain of this very
 * VM starts even when the log cannot be told, as it needs nobody's agreement.
 */
export async function drainVm(
  body: Readonly<Record<string, unknown>>,
  options: DrainOptions,
): Promise<OperatorAnswer> {
  const { cancel: _, ...rest } = body;
  const isCancel = readCancel(body);
  const kind = isCancel ? "vm_drain_cancelled" : "vm_drain_requested";
  try {
    return await options.changes.propose({ ...rest, kind }, options.operator);
  } catch (caught) {
    const isOwnDrain = rest.vmId === options.identity.vmId && !isCancel;
    const isLogUnavailable = isEndivebendError(caught) &&
      caught.code === "platform_unavailable";
    if (!isOwnDrain || !isLogUnavailable) throw caught;
    options.drainSelf();
    const message = "This VM drains; the log could not be told";
    const remedy = "Nothing more is needed; the VM ends when it is done";
    return { status: 202, body: { verdict: "unknown", message, remedy } };
  }
}
