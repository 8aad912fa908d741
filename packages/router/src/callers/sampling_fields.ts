/**
 * The fields of a model request that the engine gets unchanged.
 *
 * @module
 */

import { createError } from "@endivebend/errors";

type Json = Readonly<Record<string, unknown>>;

interface Rule {
  readonly allows: (value: unknown) => boolean;
  /** Ends the sentence "FIELD must be". */
  readonly rule: string;
}

const MAX_STOPS = 16;
const MAX_STOP_CHARS = 1024;
const MAX_USER_CHARS = 512;

function numberFrom(least: number, most: number): Rule {
  return {
    allows: (value) =>
      typeof value === "number" && value >= least && value <= most,
    rule: `a number from ${least} to ${most}`,
  };
}

function isText(value: unknown, maxChars: number): boolean {
  return typeof value === "string" && value.length <= maxChars;
}

const RULES: Readonly<Record<string, Rule>> = {
  temperature: numberFrom(0, 2),
  top_p: numberFrom(0, 1),
  presence_penalty: numberFrom(-2, 2),
  frequency_penalty: numberFrom(-2, 2),
  seed: {
    allows: Number.isSafeInteger,
    rule: "a whole number of at most 53 bits",
  },
  stop: {
    allows(value) {
      const stops = Array.isArray(value) ? value : [value];
      return stops.length <= MAX_STOPS &&
        stops.every((stop) => isText(stop, MAX_STOP_CHARS));
    },
    rule:
      `a string or a list of at most ${MAX_STOPS}, each of at most ${MAX_STOP_CHARS} characters`,
  },
  user: {
    allows: (value) => isText(value, MAX_USER_CHARS),
    rule: `a string of at most ${MAX_USER_CHARS} characters`,
  },
};

/**
 * Picks and checks the fields. Throws `malformed_request` with the field at
 * fault.
 *
 * @example
 * ```ts
 * readSampling({ temperature: 0.2, prompt: "Ring" }); // { temperature: 0.2 }
 * ```
 */
export function readSampling(body: Json): Json {
  const passed: Record<string, unknown> = {};
  for (const [field, { allows, rule }] of Object.entries(RULES)) {
    const value = body[field];
    if (value === undefined || value === null) continue;
    if (!allows(value)) {
      const message = `${field} must be ${rule}`;
      throw createError("malformed_request", message, { field });
    }
    passed[field] = value;
  }
  return passed;
}
