/**
 * The daemon: tasks that own sockets, timers and state.
 *
 * @module
 */

export {};
