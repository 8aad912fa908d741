/**
 * Keeps the log of the versions that began streams in a topic of the store.
 *
 * @module
 */

import { offsetOf } from "@endivebend/fleet";
import type { StreamOriginLog } from "@endivebend/front";
import type { StoreClient } from "./store_client.ts";

const TOPIC = "stream-origins";

/** Creates the log on the store. */
export function createStreamOriginLog(
  store: StoreClient,
  settings: { readonly writesPerS: number; readonly keepMs: number },
): StreamOriginLog {
  return {
    ...settings,
    get era() {
      return store.era;
    },
    read: (from) =>
      store.readRetained(TOPIC, from === undefined ? 0 : offsetOf(from)),
    async append(record) {
      const result = await store.append(TOPIC, record);
      if (result.kind === "appended") return result.position;
      throw new Error("The store refused an append without a condition");
    },
    trim: (before) => store.trim(TOPIC, offsetOf(before)),
  };
}
