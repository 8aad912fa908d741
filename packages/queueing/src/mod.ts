/**
 * Orders waiting work in front of an engine fairly over teams.
 *
 * @module
 */

export {};
