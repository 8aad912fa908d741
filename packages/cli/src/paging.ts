/**
 * Reads lists that come in pages.
 *
 * @module
 */

import type { OperatorClient } from "./operator_client.ts";

/** Reads every page of a list and joins what stands under `field`. */
export async function readAllPages<Item>(
  client: OperatorClient,
  list: { readonly path: string; readonly field: string },
): Promise<Item[]> {
  const items: Item[] = [];
  let query = "";
  while (true) {
    const page = await client.get<Record<string, unknown>>(list.path + query);
    items.push(...page[list.field] as Item[]);
    if (typeof page.next !== "string") return items;
    query = `?after=${encodeURIComponent(page.next)}`;
  }
}
