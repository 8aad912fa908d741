/**
 * Charges, lends and borrows a team's rate and burst.
 *
 * @module
 */

export {};
