/**
 * Runs the daemon on the users' platform.
 *
 * @module
 */

import { Daemon } from "./daemon.ts";
import { readSettings } from "./settings.ts";

const daemon = new Daemon(readSettings());
daemon.start();
process.on("SIGTERM", () => daemon.stop());
process.on("SIGINT", () => daemon.stop());
process.on("SIGHUP", () => daemon.reload());
