/**
 * Schemas that validate the platform's answers.
 *
 * @module
 */

import { z } from "zod";
import {
  brandId,
  type FailureDomainId,
  type LogOffset,
  type ServiceName,
  type VmId,
} from "@endivebend/types";

const offset = z.number().int().nonnegative();
const name = z.string().min(1);
const logOffset = offset.transform((value) => brandId<LogOffset>(value));
const vmId = name.transform((value) => brandId<VmId>(value));
const domain = name.transform((value) => brandId<FailureDomainId>(value));
const service = name.transform((value) => brandId<ServiceName>(value));
/** IP address and port; host names are refused, since none is resolved. */
const address = z.string().regex(/^([\d.]+|\[[\da-f:]+\]):\d+$/i);

/** Answer to an append: the offsets of its first and last record. */
export const appendAnswerSchema = z.object({
  firstOffset: offset,
  lastOffset: offset,
});

/** Answer to a read of a stream. */
export const readAnswerSchema = z.object({
  records: z.array(z.object({
    offset: logOffset,
    appendedAtMs: z.number(),
    value: z.unknown(),
  })),
  firstOffset: offset,
  nextOffset: offset,
});

/** Answer to a read below the first retained offset. */
export const truncatedAnswerSchema = z.object({ firstOffset: offset });

/** Answer with the VM list. */
export const vmListSchema = z.object({
  asOfMs: z.number(),
  vms: z.array(z.object({
    vmId,
    role: z.enum(["entry", "engine", "service", "cache_store"]),
    state: z.enum(["live", "leaving"]),
    address,
    failureDomain: domain,
    service: service.optional(),
  })),
});
