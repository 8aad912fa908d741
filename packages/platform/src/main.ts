/**
 * Entry point of the daemon's process: SIGTERM and SIGINT drain and stop it,
 * SIGHUP reloads it.
 *
 * @module
 */

import { createDaemon } from "./daemon.ts";
import { readSettings } from "./settings.ts";

const daemon = createDaemon(readSettings());
daemon.start();
const stop = () => daemon.stop(() => process.exit(0));
process.on("SIGTERM", stop);
process.on("SIGINT", stop);
process.on("SIGHUP", () => daemon.reload());
