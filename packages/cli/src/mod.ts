/**
 * The endivebend command.
 *
 * @module
 */

export {};
