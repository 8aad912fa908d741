/**
 * Finds faults in a template's body that involve several fields.
 *
 * @module
 */

import { PARAMETER_NAMES } from "./template_schema.ts";

/** A fault in a template's body; the path is relative to the body. */
export interface BodyFault {
  readonly path: (string | number)[];
  readonly message: string;
  readonly remedy: string;
}

type Fields = Readonly<Record<string, unknown>>;

/** Paths that the router itself answers. */
const RESERVED_PATHS = [
  "/v1/chat/completions",
  "/v1/completions",
  "/v1/models",
  "/healthz",
  "/readyz",
];
const AT_MOST_ONCE_FIELDS = ["deduplicates", "unkeyed", "requireTimedKeys"];

function fieldsOf(value: unknown): Fields {
  const isObject = typeof value === "object" && value !== null;
  return isObject ? value as Fields : {};
}

function arrayOf(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

function isBelow(left: unknown, right: unknown): boolean {
  return typeof left === "number" && typeof right === "number" && left < right;
}

function findParameterFaults(body: Fields): BodyFault[] {
  const parameters = fieldsOf(body.parameters);
  return PARAMETER_NAMES.flatMap((name) => {
    const parameter = fieldsOf(parameters[name]);
    const path = ["parameters", name, "default"];
    const message = "The default lies outside minimum and maximum";
    const { default: defaultValue, minimum, maximum } = parameter;
    if (isBelow(defaultValue, minimum)) {
      return [{ path, message, remedy: `Give at least ${minimum}` }];
    }
    if (isBelow(maximum, defaultValue)) {
      return [{ path, message, remedy: `Give at most ${maximum}` }];
    }
    return [];
  });
}

function findDuplicateNames(
  field: string,
  values: readonly unknown[],
): BodyFault[] {
  return values.flatMap((value, index) =>
    values.indexOf(value) === index ? [] : [{
      path: [field, index],
      message: "The name is listed twice",
      remedy: "Remove one of the two",
    }]
  );
}

function findRouteFaults(route: Fields, index: number, body: Fields) {
  const faults: BodyFault[] = [];
  const addFault = (field: string, message: string, remedy: string) =>
    faults.push({ path: ["routes", index, field], message, remedy });
  const { path, service } = route;
  if (service !== undefined && !arrayOf(body.services).includes(service)) {
    addFault(
      "service",
      "The service is not in the template's services",
      "Add it to services, or name one that is listed",
    );
  }
  const isReserved = RESERVED_PATHS.some((reserved) =>
    reserved === path || reserved.startsWith(`${path}/`)
  );
  if (isReserved) {
    addFault(
      "path",
      "The path covers one that the router answers by itself",
      `Use a path that does not cover ${RESERVED_PATHS.join(", ")}`,
    );
  }
  if (route.repeatable !== true) return faults;
  for (const field of AT_MOST_ONCE_FIELDS) {
    if (route[field] !== true) continue;
    addFault(
      field,
      "The field concerns only calls that run at most once",
      `Remove it, or set repeatable to false`,
    );
  }
  return faults;
}

function findDuplicateRoutes(routes: readonly Fields[]): BodyFault[] {
  const seen = new Set<string>();
  return routes.flatMap((route, index) =>
    arrayOf(route.methods).flatMap((method) => {
      const methodAndPath = `${method} ${route.path}`;
      if (!seen.has(methodAndPath)) {
        seen.add(methodAndPath);
        return [];
      }
      return [{
        path: ["routes", index, "methods"],
        message: `Another route covers ${methodAndPath}`,
        remedy: "Remove the method from one of the two routes",
      }];
    })
  );
}

/**
 * Finds the faults that the body's schema cannot express. Accepts any value.
 *
 * @example
 * ```ts
 * findBodyFaults({ services: [], routes: [{ service: "bookings" }] });
 * ```
 */
export function findBodyFaults(value: unknown): readonly BodyFault[] {
  const body = fieldsOf(value);
  const routes = arrayOf(body.routes).map(fieldsOf);
  return [
    ...findParameterFaults(body),
    ...findDuplicateNames("services", arrayOf(body.services)),
    ...findDuplicateNames("models", arrayOf(body.models)),
    ...routes.flatMap((route, index) => findRouteFaults(route, index, body)),
    ...findDuplicateRoutes(routes),
  ];
}
