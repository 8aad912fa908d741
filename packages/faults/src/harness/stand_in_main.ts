/**
 * Entry point of a stand-in's process: KIND and its options as JSON.
 *
 * @module
 */

import { runStandIn, type StandInKind } from "@endivebend/stand-ins";

const [kind, options] = process.argv.slice(2);
await runStandIn(kind as StandInKind, JSON.parse(options ?? "{}"));
