/**
 * Plays in which daemons lose their links to servers, or servers break the
 * connections of all daemons by themselves.
 *
 * @module
 */

import { NO_FAULTS } from "./answer_plan.ts";
import type { FaultName, PlannedFault } from "./faults.ts";
import type { DaemonGroupName, LinksFault } from "./link_groups.ts";
import { FRESH_FORM_NAMES, type FreshForm, type OpenForm } from "./links.ts";
import { drawFaults, fault } from "./planned_faults.ts";
import type { Draws } from "./random.ts";
import type { PlayOptions, Scenario } from "./scenarios.ts";

const CUT_AT_MS = 4_000;
const MAX_CUT_MS = 12_000;
/** Time of the play that is left after a cut. */
const AFTER_CUT_MS = 2_000;
const FLAP_MS = 500;
/** Sound servers may fall silent for so long. */
const PAUSE_MS = 1_000;
const PAUSE_INTERVAL_MS = 2_500;
const GROUPS: readonly DaemonGroupName[] = [
  "half",
  "one",
  "all_but_one",
  "domain",
];
/** What becomes of open connections, by what new ones meet. */
const OPEN_FORMS: Readonly<Record<FreshForm, readonly OpenForm[]>> = {
  refused: ["reset", "alive", "silent"],
  unanswered: ["silent", "alive", "reset"],
  reset_on_accept: ["reset", "alive", "silent"],
  reset_on_bytes: ["reset", "alive", "silent"],
  silent: ["silent", "alive", "reset"],
  one_way: ["one_way", "alive", "reset"],
};
/** Faults of daemons and servers beside which links are cut. */
const OTHER_FAULTS: readonly FaultName[] = [
  "daemon_killed",
  "half_killed",
  "daemon_frozen",
  "server_crashed",
  "server_replaced",
  "server_released",
];

/** By default eight daemons and five servers of each service, without retries. */
function linksPlay(
  faultsFor: (draws: Draws, options: PlayOptions) => readonly PlannedFault[],
): Scenario {
  return (options, draws) => ({
    shape: {
      daemons: options.daemons ?? 8,
      servers: options.servers ?? 5,
      domains: 2,
      attempts: 3,
    },
    ratePerS: options.ratePerS ?? 12,
    kinds: ["safe", "unsafe", "stream"],
    retries: 0,
    serverFaults: [{ atMs: 0, faults: NO_FAULTS }],
    faults: faultsFor(draws, options),
  });
}

function cutForMs({ durationMs }: PlayOptions): number {
  return Math.min(MAX_CUT_MS, durationMs - CUT_AT_MS - AFTER_CUT_MS);
}

function linksCut(
  links: LinksFault,
  options: PlayOptions,
  fields: Partial<PlannedFault> = {},
): PlannedFault {
  const forMs = cutForMs(options);
  return fault("links_cut", CUT_AT_MS, { forMs, links, ...fields });
}

/** The item that a seed stands for; seeds in a row go through all of them. */
function itemOf<Item>(items: readonly Item[], index: number): Item {
  return items[Math.trunc(index) % items.length]!;
}

/** Seeds 1 to 12 go through the groups of daemons and the open connections. */
function formPlay(fresh: FreshForm): Scenario {
  return linksPlay((_, options) => {
    const number = Math.max(0, options.seed - 1);
    const daemons = itemOf(GROUPS, number);
    const open = itemOf(OPEN_FORMS[fresh], number / GROUPS.length);
    return [
      linksCut({ cut: { fresh, open }, daemons, servers: "all" }, options),
    ];
  });
}

function drawCut(draws: Draws): LinksFault["cut"] {
  const fresh = draws.pick(FRESH_FORM_NAMES);
  return { fresh, open: draws.pick(OPEN_FORMS[fresh]) };
}

/** Servers break the connections of all daemons by themselves. */
function ownFault(
  fresh: FreshForm,
  servers: LinksFault["servers"],
): Scenario {
  return linksPlay((_, options) => [
    linksCut(
      { cut: { fresh, open: "reset" }, daemons: "all", servers },
      options,
    ),
  ]);
}

/** Servers crash again and again, some 300 ms after each start. */
function crashLoop(count: number): readonly PlannedFault[] {
  return Array.from(
    { length: count },
    (_, index) =>
      fault("server_crashed", CUT_AT_MS + index * 150, {
        server: index,
        forMs: 700,
      }),
  );
}

/** The servers of a service fall silent for a second, again and again. */
function pauses({ durationMs }: PlayOptions): readonly PlannedFault[] {
  const faults: PlannedFault[] = [];
  const endMs = durationMs - AFTER_CUT_MS;
  for (let atMs = CUT_AT_MS + 3_500; atMs < endMs; atMs += PAUSE_INTERVAL_MS) {
    const links: LinksFault = {
      cut: { fresh: "silent", open: "silent" },
      daemons: "all",
      servers: "events_service",
    };
    faults.push(fault("links_cut", atMs, { forMs: PAUSE_MS, links }));
  }
  return faults;
}

/** Plays of links, by name. */
export const LINK_SCENARIOS: Readonly<Record<string, Scenario>> = {
  links_refused: formPlay("refused"),
  links_unanswered: formPlay("unanswered"),
  links_reset_on_accept: formPlay("reset_on_accept"),
  links_reset_on_bytes: formPlay("reset_on_bytes"),
  links_silent: formPlay("silent"),
  links_one_way: formPlay("one_way"),
  links_half_cut: linksPlay((draws, options) => [
    linksCut({
      cut: drawCut(draws),
      daemons: draws.pick(GROUPS),
      servers: draws.pick(["plain_service", "events_service", "half"]),
    }, options),
  ]),
  links_flap: linksPlay((draws, options) => [
    linksCut({
      cut: drawCut(draws),
      daemons: draws.pick(GROUPS),
      servers: "all",
      flapMs: FLAP_MS,
    }, options),
  ]),
  // Half of the daemons are cut off; two of them start meanwhile.
  links_cut_at_start: linksPlay((draws, options) => [
    linksCut({ cut: drawCut(draws), daemons: "half", servers: "all" }, options),
    fault("daemon_killed", CUT_AT_MS + 1_000, { daemon: 0, forMs: 300 }),
    fault("daemon_killed", CUT_AT_MS + 2_000, { daemon: 2, forMs: 300 }),
  ]),
  // Two cuts, one after the other, amid kills, freezes and releases.
  links_drawn: linksPlay((draws, options) => {
    const { durationMs } = options;
    const forMs = durationMs / 2 - 3_000;
    const cutAt = (atMs: number) =>
      linksCut(
        {
          cut: drawCut(draws),
          daemons: draws.pick(GROUPS),
          servers: draws.pick(["all", "all", "half", "plain_service"]),
        },
        options,
        { atMs, forMs, daemon: draws.int(0, 999) },
      );
    return [
      cutAt(2_000),
      cutAt(durationMs / 2),
      ...drawFaults(draws, {
        names: OTHER_FAULTS,
        durationMs,
        longestGapMs: 4_000,
      }),
    ];
  }),
  // Half of the daemons are cut off while a service's servers pause.
  links_cut_and_pauses: linksPlay((_, options) => [
    linksCut({
      cut: { fresh: "refused", open: "reset" },
      daemons: "half",
      servers: "all",
    }, options),
    ...pauses(options),
  ]),
  servers_pause: linksPlay((_, options) => pauses(options)),
  servers_reset_one: ownFault("reset_on_accept", "one"),
  servers_reset_service: ownFault("reset_on_accept", "plain_service"),
  servers_reset_bytes_one: ownFault("reset_on_bytes", "one"),
  servers_reset_bytes_half: ownFault("reset_on_bytes", "half"),
  servers_reset_bytes_service: ownFault("reset_on_bytes", "plain_service"),
  servers_silent_service: ownFault("silent", "plain_service"),
  servers_crash_loop: linksPlay((_, options) =>
    crashLoop(cutForMs(options) / 150)
  ),
};
