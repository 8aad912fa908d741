import test from "ava";
import { brandId, type ServiceName } from "@endivebend/types";
import { findSlotRules, rankOf } from "./slot_rules.ts";
import type { Configuration, Route } from "./types.ts";

const service = brandId<ServiceName>("model");

function configurationOf(
  routes: readonly Pick<Route, "kind" | "urgency" | "targetMs">[],
): Configuration {
  const complete = routes.map((route) => ({
    ...route,
    destinations: [{ service, weight: 1 }],
  }));
  return { routes: complete } as unknown as Configuration;
}

// Guards against changing how deployments are served whose urgent prompts can
// wait for longer than the others.
test("slots are divided only where the most urgent stream has the shorter target", (t) => {
  const divided = findSlotRules(configurationOf([
    { kind: "stream", urgency: 0, targetMs: 407 },
    { kind: "resumable_stream", urgency: 2, targetMs: 1_215 },
  ]));
  t.is(rankOf(divided, { service, urgency: 0 }), "first");
  t.is(rankOf(divided, { service, urgency: 2 }), "other");
  const undivided = findSlotRules(configurationOf([
    { kind: "stream", urgency: 0, targetMs: 1_007 },
    { kind: "stream", urgency: 1, targetMs: 815 },
  ]));
  t.is(rankOf(undivided, { service, urgency: 0 }), undefined);
});

// Guards against refusing long prompts that are worth much for short ones, where
// the operator only ranks the short ones before them: a deployment with such
// routes served 3 in 100 requests less.
test("one level of urgency doesn't divide slots", (t) => {
  const rules = findSlotRules(configurationOf([
    { kind: "stream", urgency: 0, targetMs: 407 },
    { kind: "stream", urgency: 1, targetMs: 607 },
  ]));
  t.is(rules.size, 0);
});

test("plain routes don't divide slots", (t) => {
  const rules = findSlotRules(configurationOf([
    { kind: "at_most_once", urgency: 0, targetMs: 100 },
    { kind: "repeatable", urgency: 2, targetMs: 400 },
  ]));
  t.is(rules.size, 0);
});
