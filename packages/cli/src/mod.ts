/**
 * The `endivebend` command.
 *
 * @module
 */

export { runCli } from "./cli.ts";
export { EXIT_CODES } from "./exit_codes.ts";
export type { ExitCode } from "./exit_codes.ts";
