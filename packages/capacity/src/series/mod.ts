/**
 * All series, in the order in which they run.
 *
 * @module
 */

import type { Series } from "../measure.ts";
import { cacheSeries } from "./cache.ts";
import { commitmentSeries } from "./commitments.ts";
import { configurationSeries } from "./configuration.ts";
import { exchangeSeries } from "./exchange.ts";
import { httpCallSeries } from "./http_calls.ts";
import { limitsSeries } from "./limits.ts";
import { membershipSeries } from "./membership.ts";
import { orderSeries } from "./orders.ts";
import { peerCallSeries } from "./peer_calls.ts";
import { requestSeries } from "./requests.ts";
import { rightsSeries } from "./rights.ts";

/** All series. */
export const ALL_SERIES: readonly Series[] = [
  ...cacheSeries,
  ...exchangeSeries,
  ...membershipSeries,
  ...configurationSeries,
  ...limitsSeries,
  ...rightsSeries,
  ...commitmentSeries,
  ...orderSeries,
  ...requestSeries,
  ...peerCallSeries,
  ...httpCallSeries,
];
