/**
 * Builds the status of a daemon, which operators can read.
 *
 * @module
 */

import type { ConfigurationTask } from "../configuration/configuration_task.ts";
import type { FollowedStream, Identity, MembershipView } from "../ports.ts";

/** Sections of the status from other tasks, by name. */
export type StatusSections = Readonly<Record<string, () => unknown>>;

/** Dependencies of {@link readStatus}. */
export interface StatusOptions {
  readonly identity: Identity;
  readonly configuration: ConfigurationTask;
  readonly streams: readonly FollowedStream[];
  readonly membership: MembershipView;
  /** Sections such as `peers`, `engines` and `holders`. */
  readonly sections: StatusSections;
}

function readConfiguration(task: ConfigurationTask) {
  const state = task.state();
  return {
    ready: task.isReady(),
    appliedOffset: task.appliedOffset(),
    waitsForSnapshot: state.awaitedSnapshot !== undefined,
    lastSnapshotOffset: state.lastSnapshot?.asOfOffset ?? null,
    templates: state.templates.size,
    teams: state.teams.size,
    keys: state.keys.size,
    withdrawnKeys: state.withdrawn.size,
    blockedKeys: task.blockedDigests().length,
  };
}

function readStream(stream: FollowedStream) {
  return {
    nextOffset: stream.nextOffset(),
    caughtUp: stream.isCaughtUp(),
    platformSilenceMs: Math.round(stream.silenceMs()),
  };
}

/** Returns the current status of this daemon. */
export function readStatus(options: StatusOptions) {
  const { identity, configuration, streams, membership } = options;
  const sections = Object.entries(options.sections)
    .map(([name, read]) => [name, read()]);
  const followed = streams.map((stream) => [stream.stream, readStream(stream)]);
  const silences = streams.map((stream) => Math.round(stream.silenceMs()));
  return {
    ...identity,
    // The stream with the shortest silence shows whether the platform answers.
    platformSilenceMs: silences.length === 0 ? null : Math.min(...silences),
    configuration: readConfiguration(configuration),
    streams: Object.fromEntries(followed),
    entryVms: membership.entryVms().length,
    ...Object.fromEntries(sections),
  };
}
