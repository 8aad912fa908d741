/**
 * Reads files that operators write.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import { findBodyFaults, templateBodySchema } from "@endivebend/configuration";
import {
  checkDocument,
  parseSettings,
  type Settings,
} from "@endivebend/settings";
import { failCommand, failUsage } from "./command_error.ts";
import { EXIT_CODES } from "./exit_codes.ts";

const { wrongUsage: exitCode } = EXIT_CODES;

async function readText(file: string): Promise<string> {
  try {
    return await readFile(file, "utf8");
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    const remedy = "Give the path of a file that this user can read";
    throw failUsage(`${file} cannot be read: ${reason}`, remedy);
  }
}

/** Reads a settings file. Throws with every fault. */
export async function readSettings(file: string): Promise<Settings> {
  const result = parseSettings(await readText(file));
  if (result.ok) return result.settings;
  const { faults } = result;
  throw failCommand(`${file} has ${faults.length} faults`, {
    exitCode,
    remedy:
      "Correct each fault; endivebend settings example shows a whole file",
    faults,
  });
}

/**
 * Reads a template's body: JSON with comments. Throws with every fault. The
 * defaults are filled in, so that the record in the log holds every value.
 */
export async function readTemplateBody(file: string): Promise<unknown> {
  const text = await readText(file);
  const checked = checkDocument(text, templateBodySchema, {
    crossFieldCheck: findBodyFaults,
  });
  if (checked.ok) return checked.value;
  const { faults } = checked;
  throw failCommand(`${file} has ${faults.length} faults`, {
    exitCode,
    remedy: "Correct each fault; docs/operators.md describes a template",
    faults,
  });
}
