/**
 * Folds templates, teams, keys and drains from the log.
 *
 * @module
 */

export {};
