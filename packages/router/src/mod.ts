/**
 * Starts and drains the daemon of one VM.
 *
 * @module
 */

export { Daemon, serveDaemon, startDaemon } from "./daemon/daemon.ts";
export type { DaemonAddresses } from "./daemon/daemon.ts";
