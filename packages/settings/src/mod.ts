/**
 * Parses and checks the daemon's settings.
 *
 * @module
 */

export {};
