/**
 * The daemon: tasks that own sockets, timers and state.
 *
 * @module
 */

export { Daemon, serveDaemon, startDaemon } from "./daemon/daemon.ts";
export type { DaemonAddresses } from "./daemon/daemon.ts";
