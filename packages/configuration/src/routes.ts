/**
 * Matches paths against routes by whole segments.
 *
 * @module
 */

import type { RouteRule } from "./rules.ts";

/**
 * A backend server may resolve these to another path than the router sees, so
 * that a path with one of them could leave its prefix.
 */
const AMBIGUOUS_PATH_PATTERN = /\/\.{1,2}(?:[/;]|$)|\/\/|\\|%2e|%2f|%5c|%00/i;

function coversPath(prefix: string, path: string): boolean {
  if (!path.startsWith(prefix)) return false;
  return path.length === prefix.length || path[prefix.length] === "/";
}

/**
 * Finds the route with the longest path that covers the method and path. The
 * query is left out. A path with dot segments, empty segments or encoded
 * separators matches no route.
 *
 * @example
 * ```ts
 * findRoute(view.routes, { method: "GET", path: "/bookings/17?full=1" });
 * ```
 */
export function findRoute(
  routes: readonly RouteRule[],
  request: { readonly method: string; readonly path: string },
): RouteRule | undefined {
  const [path = ""] = request.path.split("?", 1);
  if (AMBIGUOUS_PATH_PATTERN.test(path)) return undefined;
  let best: RouteRule | undefined;
  for (const route of routes) {
    if (!route.methods.includes(request.method)) continue;
    if (!coversPath(route.path, path)) continue;
    if (best === undefined || route.path.length > best.path.length) {
      best = route;
    }
  }
  return best;
}
