/**
 * Chooses a backend server for a prompt.
 *
 * @module
 */

export * from "./block_hashes.ts";
export * from "./choose_engine.ts";
export * from "./engine_cache_view.ts";
export * from "./engine_costs.ts";
export * from "./engine_tag.ts";
export * from "./prefix_index.ts";
export * from "./recent_placements.ts";
export * from "./rendezvous.ts";
export * from "./retry_budget.ts";
