/**
 * Folds which VM holds which group of teams in each failure domain.
 *
 * @module
 */

export {};
