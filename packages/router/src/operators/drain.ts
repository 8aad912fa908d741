/**
 * Handles `POST /operator/v1/drain`.
 *
 * @module
 */

import { createError, isEndivebendError } from "@endivebend/errors";
import type { Identity } from "../ports.ts";
import type { ChangeHandler, OperatorAnswer } from "./change_handler.ts";

/** Dependencies of {@link drainVm}. */
export interface DrainOptions {
  readonly identity: Identity;
  readonly changes: ChangeHandler;
  readonly operator: string;
  readonly drainSelf: () => void;
}

function readCancel(body: Readonly<Record<string, unknown>>): boolean {
  const { cancel = false } = body;
  if (typeof cancel === "boolean") return cancel;
  throw createError(
    "invalid_change",
    "The field cancel must be true or false",
    {
      field: "cancel",
      remedy: "Use true to cancel the drain, or leave the field out",
    },
  );
}

/**
 * Requests or cancels the drain of a VM through the log. A requested drain of
 * this VM starts even when the log is unavailable, because it needs no
 * agreement of other VMs. Throws what {@link ChangeHandler.propose} throws.
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
    const message =
      "This VM is draining; the request could not be appended to the log";
    const remedy =
      "No action is needed; the VM stops when its requests have ended";
    return { status: 202, body: { verdict: "unknown", message, remedy } };
  }
}
