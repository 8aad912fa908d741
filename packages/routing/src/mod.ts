/**
 * Chooses a backend server for a prompt.
 *
 * @module
 */

export {};
