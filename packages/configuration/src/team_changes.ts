/**
 * Applies changes to teams and their keys.
 *
 * @module
 */

import { findIncompatibleParameter } from "./team_limits.ts";
import type { ChangeOf } from "./records.ts";
import { type ConfigurationState, keyIdOf } from "./state.ts";
import { accept, refuse, type Verdict } from "./verdicts.ts";

/** Revision of a newly created team or newly granted key. */
const FIRST_REVISION = 1;
/** Revision of a removed team or a withdrawn key. */
const LAST_REVISION = 2;

/** Applies `team_created`. */
export function createTeam(
  state: ConfigurationState,
  change: ChangeOf<"team_created">,
): Verdict {
  if (state.teams.has(change.team)) {
    return refuse("team", "A team of this name exists", {
      remedy: "Use another name, or remove the team first",
      currentRevision: FIRST_REVISION,
    });
  }
  const template = state.templates.get(change.template);
  if (template === undefined) {
    return refuse("template", "No template has this name", {
      remedy: "Publish it first, or name one of endivebend template list",
    });
  }
  const incompatible = findIncompatibleParameter(
    template.body,
    change.parameters,
  );
  if (incompatible !== undefined) {
    return refuse(
      `parameters.${incompatible.parameter}`,
      incompatible.message,
      incompatible,
    );
  }
  state.teams.set(change.team, {
    team: change.team,
    template: change.template,
    parameters: change.parameters,
    keyDigests: [],
    view: undefined,
  });
  return accept(FIRST_REVISION);
}

/** Applies `team_removed`, which also withdraws the team's keys. */
export function removeTeam(
  state: ConfigurationState,
  change: ChangeOf<"team_removed">,
): Verdict {
  const team = state.teams.get(change.team);
  if (team === undefined) {
    return refuse("team", "No team has this name", {
      remedy: "Name one of endivebend team list",
    });
  }
  for (const digest of team.keyDigests) {
    state.keys.delete(keyIdOf(digest));
    state.withdrawn.add(digest);
  }
  state.teams.delete(change.team);
  return accept(LAST_REVISION);
}

/** Applies `key_granted`. */
export function grantKey(
  state: ConfigurationState,
  change: ChangeOf<"key_granted">,
): Verdict {
  const team = state.teams.get(change.team);
  if (team === undefined) {
    return refuse("team", "No team has this name", {
      remedy: "Create the team first, or name one of endivebend team list",
    });
  }
  const { digest } = change;
  if (state.withdrawn.has(digest)) {
    return refuse("digest", "This key was withdrawn", {
      remedy: "Grant a new key; a withdrawn one never works again",
      currentRevision: LAST_REVISION,
    });
  }
  const keyId = keyIdOf(digest);
  if (state.keys.has(keyId)) {
    return refuse("digest", "This key is granted", {
      remedy: "Grant a new key",
      currentRevision: FIRST_REVISION,
    });
  }
  state.keys.set(keyId, { digest, team });
  team.keyDigests.push(digest);
  return accept(FIRST_REVISION);
}

/** Applies `key_withdrawn`; withdrawing a key twice is accepted. */
export function withdrawKey(
  state: ConfigurationState,
  change: ChangeOf<"key_withdrawn">,
): Verdict {
  const key = state.keys.get(change.keyId);
  if (key === undefined) {
    const prefix = change.keyId.slice("key-".length);
    if (state.withdrawn.has(prefix)) return accept(LAST_REVISION);
    return refuse("keyId", "No key has this id", {
      remedy: "Name one of endivebend key list",
    });
  }
  state.keys.delete(change.keyId);
  state.withdrawn.add(key.digest);
  const { keyDigests } = key.team;
  keyDigests.splice(keyDigests.indexOf(key.digest), 1);
  return accept(LAST_REVISION);
}
