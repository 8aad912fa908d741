/**
 * `endivebend stand-in`.
 *
 * @module
 */

import { Command, Option } from "clipanion";
import type { StandInKind } from "@endivebend/stand-ins";
import { BaseCommand } from "../base_command.ts";
import { EXIT_CODES, type ExitCode } from "../exit_codes.ts";
import { parsePairs } from "../parameter_values.ts";

const category = "Stand-ins for tests";

abstract class StandInCommand extends BaseCommand {
  abstract readonly kind: StandInKind;
  set = Option.Array("--set", [], {
    description: "An option as NAME=VALUE, such as port=7100; may be repeated",
  });

  async perform(): Promise<ExitCode> {
    const options = parsePairs(this.set);
    const { runStandIn } = await import("@endivebend/stand-ins");
    await runStandIn(this.kind, options);
    return EXIT_CODES.ok;
  }
}

/** `stand-in platform`. */
export class StandInPlatformCommand extends StandInCommand {
  static override paths = [["stand-in", "platform"]];
  static override usage = Command.Usage({
    category,
    description: "Run a platform: log, VM list and weight store in memory",
    examples: [["On a port", "$0 stand-in platform --set port=7100"]],
  });
  readonly kind = "platform";
}

/** `stand-in engine`. */
export class StandInEngineCommand extends StandInCommand {
  static override paths = [["stand-in", "engine"]];
  static override usage = Command.Usage({
    category,
    description: "Run a model engine that generates predictable text",
    examples: [[
      "An engine that takes 2 ms per token",
      "$0 stand-in engine --set port=7201 --set decodeMsPerToken=2",
    ]],
  });
  readonly kind = "engine";
}

/** `stand-in cache-store`. */
export class StandInCacheStoreCommand extends StandInCommand {
  static override paths = [["stand-in", "cache-store"]];
  static override usage = Command.Usage({
    category,
    description: "Run a cache store that keeps blocks by their hash",
    examples: [["On a port", "$0 stand-in cache-store --set port=7301"]],
  });
  readonly kind = "cache-store";
}

/** `stand-in service`. */
export class StandInServiceCommand extends StandInCommand {
  static override paths = [["stand-in", "service"]];
  static override usage = Command.Usage({
    category,
    description: "Run a booking service that records every call that ran",
    examples: [["On a port", "$0 stand-in service --set port=7401"]],
  });
  readonly kind = "service";
}
