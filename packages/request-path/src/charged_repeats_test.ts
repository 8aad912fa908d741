import test from "ava";
import fc from "fast-check";
import { brandId, type VmId } from "@endivebend/types";
import { RequestRun } from "./mod.ts";
import type { RepeatCause, RequestContext } from "./request_context.ts";
import {
  answerHead,
  FakeCaller,
  listedServer,
  route,
  routedRequest,
  testContext,
} from "./testing.ts";
import type { AttemptFailure } from "./ports.ts";
import type { RequestKind, WeightsVersion } from "./types.ts";

const MAX_ATTEMPTS = 4;
const TIME_LIMIT_MS = 10_000;
const FORWARDER = { vm: brandId<VmId>("vm-9"), address: "10.0.0.9:7602" };

/** A request whose attempts and repeats are counted. */
function start(
  kind: RequestKind,
  { forwards = () => false, mayRetry = () => true }: {
    /** Whether the next attempt goes through another VM. */
    readonly forwards?: () => boolean;
    readonly mayRetry?: () => boolean;
  } = {},
) {
  const charged: RepeatCause[] = [];
  const settled = { count: 0 };
  const context = testContext(
    {
      tryRetry: (_request, cause) => {
        const isAllowed = mayRetry();
        if (isAllowed) charged.push(cause);
        return isAllowed;
      },
      settleRetry: () => {
        settled.count += 1;
      },
    } satisfies Partial<RequestContext>,
  );
  for (let index = 0; index < 6; index++) {
    context.registry.upsert(listedServer(`server-${"x".repeat(index)}`));
  }
  context.paths.forwarderFor = () => forwards() ? FORWARDER : undefined;
  const caller = new FakeCaller();
  const run = new RequestRun(context, {
    ...routedRequest(kind),
    route: route(kind, { maxAttempts: MAX_ATTEMPTS }),
  }, caller);
  run.start();
  return { ...context, caller, charged, settled, run };
}

type Started = ReturnType<typeof start>;

function fail(
  { client }: Started,
  failure: AttemptFailure,
  { wasSent = true }: { readonly wasSent?: boolean } = {},
): void {
  const { listener } = client.last;
  if (wasSent) listener.sent();
  listener.failed(failure);
}

function answer(
  { client }: Started,
  head: Parameters<typeof answerHead>[0],
): void {
  client.last.listener.sent();
  client.last.listener.head(answerHead(head));
}

interface Way {
  readonly kind?: RequestKind;
  readonly isForwarded?: boolean;
  readonly run: (started: Started) => void;
  readonly charged: readonly RepeatCause[];
  /** Whether the first attempt may arrive after the second has. */
  readonly mayArriveLate?: boolean;
}

/** Every way in which a request may be sent to a server a second time. */
const WAYS: Readonly<Record<string, Way>> = {
  "after a broken connection": {
    run: (started) => fail(started, { kind: "broken", reason: "reset" }),
    charged: ["broken"],
  },
  "after a connection that was accepted and not answered": {
    run: (started) => fail(started, { kind: "unsent", reason: "closed" }),
    charged: ["broken"],
  },
  "after an answer without its proof": {
    run: (started) => answer(started, { hasProof: false }),
    charged: ["broken"],
  },
  "after a refusal that does not say not run": {
    run: (started) => answer(started, { status: 503 }),
    charged: ["broken"],
  },
  "after a server did not run it": {
    run: (started) => answer(started, { status: 503, isNotRun: true }),
    charged: ["not_run"],
  },
  "after another server answered at the address": {
    run: (started) => answer(started, { status: 421, isMisdirected: true }),
    charged: ["not_run"],
  },
  "after its server said that it has other weights": {
    kind: "resumable_stream",
    run: (started) => {
      const weights = brandId<WeightsVersion>(2);
      answer(started, {
        status: 421,
        isMisdirected: true,
        isExpectedServer: true,
        weights,
      });
    },
    charged: ["not_run"],
  },
  "while its server is silent and has not answered": {
    kind: "resumable_stream",
    run: (started) => {
      started.client.last.listener.sent();
      const { time, client } = started;
      for (let waitedMs = 0; waitedMs < 5_000; waitedMs += 100) {
        if (client.attempts.length === 1) time.advance(100);
      }
    },
    charged: ["silent"],
    mayArriveLate: true,
  },
  "while its server is silent": {
    kind: "resumable_stream",
    run: (started) => {
      answer(started, {});
      started.client.last.listener.data(Buffer.from("id: 1\ndata: 1\n\n"));
      started.time.advance(1_100);
    },
    charged: ["silent"],
  },
  "after a VM that forwards lost its connection": {
    isForwarded: true,
    run: (started) => fail(started, { kind: "broken", reason: "reset" }),
    charged: ["broken"],
  },
  "after a VM that forwards has ended": {
    isForwarded: true,
    run: (started) =>
      fail(started, { kind: "broken", reason: "reset", at: "forwarder" }),
    charged: ["broken"],
    mayArriveLate: true,
  },
  "after a connection that was refused": {
    run: (started) =>
      fail(started, { kind: "unsent", reason: "refused" }, { wasSent: false }),
    charged: [],
  },
  "after a VM that forwards has sent nothing on": {
    isForwarded: true,
    run: (started) => fail(started, { kind: "unsent", reason: "refused" }),
    charged: [],
  },
  "after a VM that forwards was full": {
    isForwarded: true,
    run: (started) =>
      fail(started, { kind: "unsent", reason: "full", at: "forwarder" }),
    charged: [],
  },
};

for (const [name, way] of Object.entries(WAYS)) {
  const cost = way.charged.length > 0 ? "takes a repeat" : "takes no repeat";
  test(`a request that is sent again ${name} ${cost} from the budget`, (t) => {
    const started = start(way.kind ?? "repeatable", {
      forwards: () => way.isForwarded === true,
    });
    t.deepEqual(started.charged, []);
    way.run(started);
    t.is(started.client.attempts.length, 2);
    t.deepEqual(started.charged, way.charged);
    t.is(started.settled.count, 0, "it may be on its way");
    answer(started, {});
    const settled = way.mayArriveLate ? 0 : way.charged.length;
    t.is(started.settled.count, settled, "it has arrived");
    started.run.callerGone();
    t.is(started.settled.count, settled);
    started.time.advance(TIME_LIMIT_MS);
    t.is(started.settled.count, way.charged.length);
  });

  if (way.charged.length === 0) continue;
  test(`a request is not sent again ${name} once the budget is used up`, (t) => {
    const started = start(way.kind ?? "repeatable", {
      forwards: () => way.isForwarded === true,
      mayRetry: () => false,
    });
    way.run(started);
    t.is(started.client.attempts.length, 1);
  });
}

/** What may happen to an attempt; some of it only before or after it arrived. */
const EVENTS: Readonly<
  Record<string, (attempt: Arriving, started: Started) => void>
> = {
  arrives: (attempt) => attempt.arrive(),
  "sends its head": (attempt) => attempt.answer({}),
  "sends an error": (attempt) => attempt.answer({ status: 500 }),
  "refuses to run it": (attempt) =>
    attempt.answer({ status: 503, isNotRun: true }),
  "is another server": (attempt) =>
    attempt.answer({ status: 421, isMisdirected: true }),
  "sends an event": (attempt) => attempt.data(),
  ends: (attempt) => attempt.end(),
  breaks: (attempt) => attempt.fail("broken"),
  "was not reached": (attempt) => {
    if (!attempt.hasArrived) attempt.fail("unsent");
  },
  "is silent": (_attempt, { time }) => time.advance(700),
};

/** An attempt as its server and the VM that forwards it see it. */
class Arriving {
  hasArrived = false;
  #hasHead = false;
  #events = 0;
  readonly #attempt: Started["client"]["attempts"][number];

  constructor(attempt: Started["client"]["attempts"][number]) {
    this.#attempt = attempt;
  }

  get isOpen(): boolean {
    return !this.#attempt.isAborted;
  }

  arrive(): void {
    if (this.hasArrived) return;
    this.hasArrived = true;
    this.#attempt.listener.sent();
  }

  answer(head: Parameters<typeof answerHead>[0]): void {
    if (this.#hasHead) return;
    this.arrive();
    this.#hasHead = true;
    this.#attempt.listener.head(answerHead(head));
  }

  data(): void {
    this.answer({});
    const id = ++this.#events;
    this.#attempt.listener.data(Buffer.from(`id: ${id}\ndata: ${id}\n\n`));
  }

  end(): void {
    this.data();
    this.#attempt.listener.end();
  }

  fail(kind: AttemptFailure["kind"]): void {
    const isForwarded = this.#attempt.order.forwarder !== undefined;
    const at = isForwarded ? { at: "forwarder" as const } : {};
    this.#attempt.listener.failed({ kind, reason: "failed", ...at });
  }
}

const KINDS: readonly RequestKind[] = [
  "repeatable",
  "at_most_once",
  "stream",
  "resumable_stream",
];

test("whatever happens to a request, each arrival beyond the first takes a repeat", (t) => {
  let repeats = 0;
  fc.assert(
    fc.property(
      fc.constantFrom(...KINDS),
      fc.array(
        fc.record({
          name: fc.constantFrom(...Object.keys(EVENTS)),
          index: fc.nat(3),
          isForwarded: fc.boolean(),
          mayRetry: fc.boolean(),
        }),
        { minLength: 1, maxLength: 30 },
      ),
      (kind, steps) => {
        let step = steps[0]!;
        const started = start(kind, {
          forwards: () => step.isForwarded,
          mayRetry: () => step.mayRetry,
        });
        const arriving: Arriving[] = [];
        for (step of steps) {
          const { attempts } = started.client;
          for (const attempt of attempts.slice(arriving.length)) {
            arriving.push(new Arriving(attempt));
          }
          const open = arriving.filter(({ isOpen }) => isOpen);
          const attempt = open[step.index % open.length];
          if (attempt !== undefined) EVENTS[step.name]!(attempt, started);
        }
        const arrived = arriving.filter(({ hasArrived }) => hasArrived).length;
        repeats += Math.max(0, arrived - 1);
        const { charged, settled, run } = started;
        const isEarly = settled.count > charged.length;
        run.callerGone();
        started.time.advance(TIME_LIMIT_MS);
        return arrived <= 1 + charged.length && !isEarly &&
          settled.count === charged.length;
      },
    ),
    { seed: 1, numRuns: 3_000 },
  );
  t.log(`${repeats} repeats`);
  t.true(repeats > 100, "the events lead to repeats");
});
