/**
 * The schema of a template's body. The message of each pattern describes the
 * required format, so that a remedy can consist of "Give" and the message.
 *
 * @module
 */

import { z } from "zod";
import { brandId, type ModelName, type ServiceName } from "@endivebend/types";

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const MODEL_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}$/;
/** Allows no dot segments or escapes, so the prefix has one interpretation. */
const ROUTE_PATTERN = /^(?:\/(?!\.{1,2}(?:\/|$))[A-Za-z0-9._~-]+)+$/;
const MAX_ROUTE_CHARS = 200;
/** These limits keep a body far below the size of one snapshot part. */
const MAX_SERVICES = 100;
const MAX_MODELS = 100;
const MAX_ROUTES = 200;
/** Keeps shares and bucket levels exact integers, even when summed. */
const MAX_TOKENS = 1_000_000_000_000;

/** Schema of the names of templates, teams, services and VMs. */
export const nameSchema = z.string().regex(
  NAME_PATTERN,
  "a name of letters, digits, '.', '_' and '-', at most 63 characters",
);

const tokensSchema = z.int().min(1).max(MAX_TOKENS);

const parameterSchema = z.strictObject({
  default: tokensSchema,
  minimum: tokensSchema.optional(),
  maximum: tokensSchema.optional(),
});

const routeSchema = z.strictObject({
  path: z.string().max(MAX_ROUTE_CHARS).regex(
    ROUTE_PATTERN,
    "a path such as /bookings, of plain segments and without a slash at its end",
  ),
  methods: z.array(
    z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
  ).min(1),
  service: nameSchema.transform((name) => brandId<ServiceName>(name)),
  repeatable: z.boolean(),
  open: z.boolean().default(false),
  costTokens: tokensSchema.default(1),
  deduplicates: z.boolean().default(false),
  unkeyed: z.boolean().default(false),
  requireTimedKeys: z.boolean().default(false),
});

/** Schema of a body; {@link findBodyFaults} checks rules across fields. */
export const templateBodySchema = z.strictObject({
  parameters: z.strictObject({
    tokenRatePerSecond: parameterSchema,
    burstTokens: parameterSchema,
  }),
  services: z.array(
    nameSchema.transform((name) => brandId<ServiceName>(name)),
  ).max(MAX_SERVICES),
  routes: z.array(routeSchema).max(MAX_ROUTES).default([]),
  models: z.array(
    z.string().regex(
      MODEL_PATTERN,
      "a model name of letters, digits, '.', '_', ':', '/' and '-'",
    ).transform((name) => brandId<ModelName>(name)),
  ).max(MAX_MODELS).default([]),
});

/** A team's values for template parameters; omitted ones take the default. */
export const parameterValuesSchema = z.strictObject({
  tokenRatePerSecond: tokensSchema.optional(),
  burstTokens: tokensSchema.optional(),
});

/** A template's body with all defaults filled in. */
export type TemplateBody = z.output<typeof templateBodySchema>;
/** The parameter values that a team was created with. */
export type ParameterValues = z.output<typeof parameterValuesSchema>;
/** The name of a template parameter. */
export type ParameterName = keyof TemplateBody["parameters"];

/** Names of all template parameters. */
export const PARAMETER_NAMES: readonly ParameterName[] = [
  "tokenRatePerSecond",
  "burstTokens",
];
