/**
 * Computes a team's limits from its template and its own parameter values.
 *
 * @module
 */

import type { TeamLimits } from "./rules.ts";
import {
  PARAMETER_NAMES,
  type ParameterName,
  type ParameterValues,
  type TemplateBody,
} from "./template_schema.ts";

/** Why a team's parameters are incompatible with a template body. */
export interface IncompatibleParameter {
  readonly parameter: ParameterName;
  readonly message: string;
  readonly remedy: string;
}

/** Computes rate and burst; values that the team omits take the default. */
export function computeLimits(
  body: TemplateBody,
  values: ParameterValues,
): TeamLimits {
  const { tokenRatePerSecond, burstTokens } = body.parameters;
  return {
    rateTokensPerSecond: values.tokenRatePerSecond ??
      tokenRatePerSecond.default,
    burstTokens: values.burstTokens ?? burstTokens.default,
  };
}

function findOutOfRangeParameter(
  body: TemplateBody,
  values: ParameterValues,
): IncompatibleParameter | undefined {
  for (const parameter of PARAMETER_NAMES) {
    const value = values[parameter];
    const { minimum, maximum } = body.parameters[parameter];
    if (value === undefined) continue;
    if (minimum !== undefined && value < minimum) {
      const message = `The value ${value} is below the template's minimum`;
      return { parameter, message, remedy: `Give at least ${minimum}` };
    }
    if (maximum !== undefined && value > maximum) {
      const message = `The value ${value} is above the template's maximum`;
      return { parameter, message, remedy: `Give at most ${maximum}` };
    }
  }
  return undefined;
}

/** Returns the highest route cost; a smaller burst could never cover it. */
export function largestRouteCost(body: TemplateBody): number {
  return body.routes.reduce(
    (largest, { costTokens }) => Math.max(largest, costTokens),
    0,
  );
}

/** Finds a parameter with which a team cannot use the template body. */
export function findIncompatibleParameter(
  body: TemplateBody,
  values: ParameterValues,
): IncompatibleParameter | undefined {
  const outOfRange = findOutOfRangeParameter(body, values);
  if (outOfRange !== undefined) return outOfRange;
  const cost = largestRouteCost(body);
  const { burstTokens } = computeLimits(body, values);
  if (burstTokens >= cost) return undefined;
  return {
    parameter: "burstTokens",
    message: `The burst of ${burstTokens} cannot pay for a route of ${cost}`,
    remedy: `Give a burst of at least ${cost}, or lower the route's costTokens`,
  };
}
