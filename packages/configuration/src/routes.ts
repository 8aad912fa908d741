/**
 * Matches request paths against routes by whole path segments.
 *
 * @module
 */

import type { RouteRule } from "./rules.ts";

/**
 * Sequences that a backend server may resolve to a path other than the one the
 * router sees, so that a request could escape the prefix of its route.
 */
const AMBIGUOUS_PATH_PATTERN = /\/\.{1,2}(?:[/;]|$)|\/\/|\\|%2e|%2f|%5c|%00/i;

function coversPath(prefix: string, path: string): boolean {
  if (!path.startsWith(prefix)) return false;
  return path.length === prefix.length || path[prefix.length] === "/";
}

/**
 * Finds the route with the longest path prefix that allows the method and
 * covers the path. The query string is ignored. A path with dot segments, empty
 * segments, backslashes, or encoded dots, separators or NUL matches no route.
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
