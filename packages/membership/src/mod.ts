/**
 * Keeps the view of entry VMs and backend servers.
 *
 * @module
 */

export {};
