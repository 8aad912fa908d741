/**
 * Which daemons and servers lose the links between them.
 *
 * @module
 */

import type { BackendServer } from "./backend_server.ts";
import { SERVICE_BY_KIND } from "./callers.ts";
import type { Fleet } from "./fleet.ts";
import type { LinkCut } from "./links.ts";

/** What a fault of links cuts. */
export interface LinksFault {
  readonly cut: LinkCut;
  readonly daemons: DaemonGroupName;
  readonly servers: ServerGroupName;
  /** The links are cut and mended in turn, each for so long. */
  readonly flapMs?: number;
}

type DaemonGroup = (fleet: Fleet, pick: number) => ReadonlySet<number>;
type ServerGroup = (server: BackendServer) => boolean;

function indexesOf(
  fleet: Fleet,
  includes: (index: number, domain: string) => boolean,
): ReadonlySet<number> {
  return new Set(
    fleet.daemons.map(({ options }) => options)
      .filter(({ index, domain }) => includes(index, domain))
      .map(({ index }) => index),
  );
}

/** The daemons that are cut off; `pick` chooses among several such groups. */
export const DAEMON_GROUPS = {
  half: (fleet, pick) => indexesOf(fleet, (index) => (index + pick) % 2 === 0),
  one: ({ daemons }, pick) => new Set([pick % daemons.length]),
  all_but_one: (fleet, pick) =>
    indexesOf(fleet, (index) => index !== pick % fleet.daemons.length),
  domain(fleet, pick) {
    const { domain: picked } =
      fleet.daemons[pick % fleet.daemons.length]!.options;
    return indexesOf(fleet, (_, domain) => domain === picked);
  },
  all: (fleet) => indexesOf(fleet, () => true),
} satisfies Readonly<Record<string, DaemonGroup>>;

function numberOf({ options }: BackendServer): number {
  return Number(options.id.split("-")[1]);
}

function serves(service: string): ServerGroup {
  return ({ options }) => options.service === service;
}

/** The servers whose links are cut. */
export const SERVER_GROUPS = {
  all: () => true,
  one: (server) => numberOf(server) === 1,
  half: (server) => numberOf(server) % 2 === 0,
  plain_service: serves(SERVICE_BY_KIND.safe),
  events_service: serves(SERVICE_BY_KIND.stream),
} satisfies Readonly<Record<string, ServerGroup>>;

/** Names of groups of daemons. */
export type DaemonGroupName = keyof typeof DAEMON_GROUPS;
/** Names of groups of servers. */
export type ServerGroupName = keyof typeof SERVER_GROUPS;
