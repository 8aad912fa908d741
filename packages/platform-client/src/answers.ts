/**
 * The shapes of the platform's answers.
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
/** IP number and port; names are not looked up. */
const address = z.string().regex(/^([\d.]+|\[[\da-f:]+\]):\d+$/i);

/** Answer to an append. */
export const appendAnswerSchema = z.object({
  firstOffset: offset,
  lastOffset: offset,
});

/** Answer to a read. */
export const readAnswerSchema = z.object({
  records: z.array(z.object({
    offset: logOffset,
    appendedAtMs: z.number(),
    value: z.unknown(),
  })),
  firstOffset: offset,
  nextOffset: offset,
});

/** Answer to a read below the first kept offset. */
export const truncatedAnswerSchema = z.object({ firstOffset: offset });

/** The VM list. */
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
