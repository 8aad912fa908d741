import test from "ava";
import {
  type BackendServerId,
  brandId,
  type RequestId,
} from "@endivebend/types";
import { type PlacementTrace, placeRequest } from "./placement.ts";
import { type ServerPace, usualPace } from "./server_pace.ts";
import type { ShareMoment } from "./share_keeper.ts";
import { listedServer, routedRequest, testContext } from "./testing.ts";
import type { PromptSegmentId, RoutedRequest } from "./types.ts";

const NONE: ReadonlySet<BackendServerId> = new Set();
const TRACE: PlacementTrace = { left() {}, scored() {} };

function prompt(): RoutedRequest {
  const requestId = brandId<RequestId>("q-1");
  const base = routedRequest("stream", { requestId });
  const own = { id: brandId<PromptSegmentId>("own"), tokens: 8_000 };
  const work = { ...base.work!, promptTokens: own.tokens, prompt: [own] };
  return { ...base, work };
}

/** Servers with queues, and the moments at which the shares are asked. */
function service({ queues, paces = {}, decides = false }: {
  readonly queues: Readonly<Record<string, number>>;
  readonly paces?: Readonly<Record<string, Partial<ServerPace>>>;
  readonly decides?: boolean;
}) {
  const asked: ShareMoment[] = [];
  const context = testContext({
    pace: {
      of: ({ listed }) => ({ ...usualPace(listed), ...paces[listed.id] }),
      isInUse: () => true,
      sent: () => {
        throw new Error("Nothing is sent");
      },
    },
    shares: {
      refusal: (_request, at) => {
        asked.push(at);
        return undefined;
      },
      decides: () => decides,
    },
  });
  const { registry } = context;
  for (const id of ["one", "second"]) registry.forgetMoved(brandId(id));
  for (const [id, prefillTokens] of Object.entries(queues)) {
    registry.upsert(listedServer(id));
    registry.get(brandId(id))!.ownWork.set(brandId("queue"), { prefillTokens });
  }
  const place = (fields: Partial<Parameters<typeof placeRequest>[1]> = {}) =>
    placeRequest(prompt(), {
      ...context,
      exclude: NONE,
      hasBegun: false,
      nowMs: 1_000,
      ...fields,
    });
  return { asked, place };
}

// A request that is asked about twice would count twice as its team's demand.
test("the shares are asked once, about the server of the second choice", (t) => {
  const { asked, place } = service({
    queues: { starting: 0, other: 15_000 },
    paces: { starting: { maxRunning: 4, maxOwnRunning: 0 } },
  });
  t.is(place().kind, "placed");
  t.deepEqual(asked.map(({ server }) => server?.listed.id as string), [
    "starting",
  ]);
});

// An explained request would count as demand that never arrives.
test("the explanation of a placement doesn't ask the shares", (t) => {
  const { asked, place } = service({ queues: { one: 0 } });
  t.is(place({ trace: TRACE }).kind, "placed");
  const full = { trace: TRACE, maxOwnConnections: () => 0 };
  t.like(place(full), { kind: "refused", reason: "overloaded" });
  t.deepEqual(asked, []);
});

test("the queue of one engine decides only while the shares don't", (t) => {
  const queues = { one: 90_000 };
  t.is(service({ queues }).place().kind, "refused");
  t.is(service({ queues, decides: true }).place().kind, "placed");
});

test("a refusal for want of slots stands without asking the shares", (t) => {
  const { asked, place } = service({ queues: { one: 0 }, decides: true });
  const placement = place({
    slots: { select: () => [], noteSent() {}, noteRejected() {} },
    slotRank: () => "first",
  });
  t.like(placement, { kind: "refused", reason: "overloaded" });
  t.true(placement.kind === "refused" && placement.retryInMs !== undefined);
  t.deepEqual(asked, []);
});

test("without any room the shares are asked when the caller may come back", (t) => {
  const { asked, place } = service({ queues: { one: 0 } });
  t.is(place({ maxOwnConnections: () => 0 }).kind, "refused");
  t.deepEqual(asked.map(({ server }) => server), [undefined]);
});
