/**
 * Validates the sampling fields of a model request, which are passed to the
 * engine unchanged.
 *
 * @module
 */

import { createError } from "@endivebend/errors";

type JsonObject = Readonly<Record<string, unknown>>;

interface FieldRule {
  readonly isValid: (value: unknown) => boolean;
  /** Completes the error message "FIELD must be ...". */
  readonly expectation: string;
}

const MAX_STOPS = 16;
const MAX_STOP_CHARS = 1024;
const MAX_USER_CHARS = 512;

function numberInRange(min: number, max: number): FieldRule {
  return {
    isValid: (value) =>
      typeof value === "number" && value >= min && value <= max,
    expectation: `a number from ${min} to ${max}`,
  };
}

function isStringUpTo(value: unknown, maxChars: number): boolean {
  return typeof value === "string" && value.length <= maxChars;
}

const RULES: Readonly<Record<string, FieldRule>> = {
  temperature: numberInRange(0, 2),
  top_p: numberInRange(0, 1),
  presence_penalty: numberInRange(-2, 2),
  frequency_penalty: numberInRange(-2, 2),
  seed: {
    isValid: Number.isSafeInteger,
    expectation: "an integer of at most 53 bits",
  },
  stop: {
    isValid(value) {
      const stops = Array.isArray(value) ? value : [value];
      return stops.length <= MAX_STOPS &&
        stops.every((stop) => isStringUpTo(stop, MAX_STOP_CHARS));
    },
    expectation:
      `a string or a list of at most ${MAX_STOPS}, each of at most ${MAX_STOP_CHARS} characters`,
  },
  user: {
    isValid: (value) => isStringUpTo(value, MAX_USER_CHARS),
    expectation: `a string of at most ${MAX_USER_CHARS} characters`,
  },
};

/**
 * Returns the sampling fields that the body contains. Throws
 * `malformed_request` with the invalid field.
 *
 * @example
 * ```ts
 * readSampling({ temperature: 0.2, prompt: "Ring" }); // { temperature: 0.2 }
 * ```
 */
export function readSamplingFields(body: JsonObject): JsonObject {
  const fields: Record<string, unknown> = {};
  for (
    const [field, { isValid, expectation }] of Object
      .entries(RULES)
  ) {
    const value = body[field];
    if (value === undefined || value === null) continue;
    if (!isValid(value)) {
      const message = `${field} must be ${expectation}`;
      throw createError("malformed_request", message, { field });
    }
    fields[field] = value;
  }
  return fields;
}
