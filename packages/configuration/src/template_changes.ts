/**
 * Applies changes to templates.
 *
 * @module
 */

import type { TemplateName } from "@endivebend/types";
import { findIncompatibleParameter, largestRouteCost } from "./team_limits.ts";
import type { ChangeOf } from "./records.ts";
import type { RouteRule } from "./rules.ts";
import type { ConfigurationState, Template } from "./state.ts";
import { findBodyFaults } from "./template_faults.ts";
import type { TemplateBody } from "./template_schema.ts";
import {
  accept,
  formatPath,
  refuse,
  type Refused,
  type Verdict,
} from "./verdicts.ts";

interface Proposal {
  readonly template: TemplateName;
  readonly body: TemplateBody;
  readonly currentRevision?: number;
}

function checkBody(proposal: Proposal): Refused | undefined {
  const [fault] = findBodyFaults(proposal.body);
  if (fault !== undefined) {
    const field = formatPath(["body", ...fault.path]);
    return refuse(field, fault.message, { ...proposal, remedy: fault.remedy });
  }
  const cost = largestRouteCost(proposal.body);
  if (proposal.body.parameters.burstTokens.default >= cost) return undefined;
  return refuse(
    "body.parameters.burstTokens.default",
    `The default burst cannot pay for a route of ${cost}`,
    { ...proposal, remedy: `Give at least ${cost}` },
  );
}

function routesConflict(left: RouteRule, right: RouteRule): boolean {
  const sharesMethod = left.methods.some((method) =>
    right.methods.includes(method)
  );
  return left.path === right.path && sharesMethod &&
    (left.service !== right.service || left.repeatable !== right.repeatable);
}

/**
 * Templates must agree on an open route because its callers have no key, and
 * so no team that selects a template.
 */
function checkOpenRoutes(
  state: ConfigurationState,
  proposal: Proposal,
): Refused | undefined {
  for (const [index, route] of proposal.body.routes.entries()) {
    if (!route.open) continue;
    for (const other of state.templates.values()) {
      if (other.name === proposal.template) continue;
      const isTaken = other.body.routes.some((otherRoute) =>
        otherRoute.open && routesConflict(otherRoute, route)
      );
      if (!isTaken) continue;
      return refuse(
        `body.routes[${index}].path`,
        `Template "${other.name}" leads this open path elsewhere`,
        {
          ...proposal,
          remedy: "Use another path, or the same service and repeatable",
        },
      );
    }
  }
  return undefined;
}

function checkTeams(
  state: ConfigurationState,
  proposal: Proposal,
): Refused | undefined {
  for (const team of state.teams.values()) {
    if (team.template !== proposal.template) continue;
    const incompatible = findIncompatibleParameter(
      proposal.body,
      team.parameters,
    );
    if (incompatible === undefined) continue;
    return refuse(
      `body.parameters.${incompatible.parameter}`,
      `Team "${team.team}" would become invalid: ${incompatible.message}`,
      {
        ...proposal,
        remedy: "Widen the parameter's range, or remove the team first",
      },
    );
  }
  return undefined;
}

function storeTemplate(state: ConfigurationState, template: Template): void {
  state.templates.set(template.name, template);
  state.openRoutes = undefined;
}

/** Applies `template_published`. */
export function publishTemplate(
  state: ConfigurationState,
  change: ChangeOf<"template_published">,
): Verdict {
  const existing = state.templates.get(change.template);
  if (existing !== undefined) {
    return refuse("template", "A template of this name exists", {
      remedy: "Amend it, or publish under another name",
      currentRevision: existing.revision,
    });
  }
  const refused = checkBody(change) ?? checkOpenRoutes(state, change);
  if (refused !== undefined) return refused;
  storeTemplate(state, {
    name: change.template,
    revision: 1,
    body: change.body,
  });
  return accept(1);
}

/** Applies `template_amended`; takes effect at once for its teams. */
export function amendTemplate(
  state: ConfigurationState,
  change: ChangeOf<"template_amended">,
): Verdict {
  const existing = state.templates.get(change.template);
  if (existing === undefined) {
    return refuse("template", "No template has this name", {
      remedy: "Publish it first, or name one of endivebend template list",
    });
  }
  const currentRevision = existing.revision;
  if (change.amendsRevision !== currentRevision) {
    return refuse(
      "amendsRevision",
      `The current revision is ${currentRevision}`,
      {
        remedy: `Read revision ${currentRevision} and amend that one`,
        currentRevision,
      },
    );
  }
  const proposal = { ...change, currentRevision };
  const refused = checkBody(proposal) ?? checkOpenRoutes(state, proposal) ??
    checkTeams(state, proposal);
  if (refused !== undefined) return refused;
  const revision = currentRevision + 1;
  storeTemplate(state, { name: change.template, revision, body: change.body });
  for (const team of state.teams.values()) {
    if (team.template === change.template) team.view = undefined;
  }
  return accept(revision);
}
