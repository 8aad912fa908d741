/**
 * Counts broken rules from what callers and servers saw.
 *
 * @module
 */

import { BOUNDS } from "./daemon_process.ts";
import {
  type Arrival,
  isInTouch,
  type Ledger,
  type Run,
  type SentRequest,
} from "./ledger.ts";
import { judgeLinkCuts, type LinkCutFigures } from "./link_cut_rules.ts";
import { findWorstBudget, type WorstBudget } from "./retry_count.ts";
import { judgeRollouts, type RolloutFigures } from "./rollout_rules.ts";
import { eventsOf } from "./stream_events.ts";

/** A broken rule, once. */
export interface Breach {
  readonly rule: string;
  readonly atMs: number;
  readonly what: string;
}

/** The verdict on a play. */
export interface Verdict {
  readonly breaches: readonly Breach[];
  readonly budgets: readonly WorstBudget[];
  /** Answers by kind and status, or by how they ended without one. */
  readonly outcomes: Readonly<Record<string, number>>;
  /** Streams that hold events of two software versions. */
  readonly joinedStreams: number;
  readonly takeUps: TakeUps;
  readonly linkCuts: readonly LinkCutFigures[];
  readonly rollouts: readonly RolloutFigures[];
  /** Attempts that went through another daemon, as the daemons count them. */
  readonly forwardedAttempts: number;
}

/** How many streams went on and began, at daemons in touch. */
export interface TakeUps {
  readonly asked: number;
  readonly wentOn: number;
  readonly newAsked: number;
  readonly newBegun: number;
}

/** More joined streams than this break the rule. */
const MAX_JOINED_STREAMS = 2;
const MIN_TAKE_UPS = 12;
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Judges a play.
 *
 * @example
 * ```ts
 * const { breaches } = judge(ledger);
 * ```
 */
export function judge(ledger: Ledger): Verdict {
  const arrivals = groupArrivals(ledger.arrivals);
  const requests = [...ledger.requests.values()];
  const budgets = findWorstBudget(requests, ledger.arrivals);
  const joined = findJoinedStreams(requests);
  const takeUps = countTakeUps(requests, ledger);
  const links = judgeLinkCuts(ledger);
  const rollouts = judgeRollouts(ledger);
  const breaches: Breach[] = [
    ...ledger.strayBytes.map(({ atMs, text }) => ({
      rule: "MIXED",
      atMs,
      what: `bytes without a request: ${JSON.stringify(text)}`,
    })),
    ...requests.flatMap((sent) => judgeRequest(sent, arrivals.get(sent.id))),
    ...ledger.arrivals.flatMap((arrival) => judgeArrival(arrival, ledger)),
    ...budgets.filter(({ repeats, allowed }) => repeats > allowed).map(
      (worst) => ({
        rule: "BUDGET",
        atMs: worst.untilMs,
        what: formatBudget(worst),
      }),
    ),
    ...links.breaches,
    ...rollouts.breaches,
    ...ledger.ownEnds.map(({ atMs, what }) => ({
      rule: "ENDED",
      atMs,
      what: `${what} ended by itself`,
    })),
    ...ledger.overMemory.map((excess) => ({ rule: "MEMORY", ...excess })),
  ];
  if (joined.length > MAX_JOINED_STREAMS) breaches.push(...joined);
  const { asked, wentOn, newAsked, newBegun } = takeUps;
  const isLost = asked >= MIN_TAKE_UPS &&
    wentOn / asked < newBegun / Math.max(1, newAsked) / 2;
  if (isLost) {
    const what = `${wentOn} of ${asked} take-ups go on, ` +
      `${newBegun} of ${newAsked} new streams begin`;
    breaches.push({ rule: "LOST", atMs: ledger.nowMs(), what });
  }
  return {
    breaches,
    budgets,
    outcomes: countOutcomes(requests),
    joinedStreams: joined.length,
    takeUps,
    linkCuts: links.figures,
    rollouts: rollouts.figures,
    forwardedAttempts: [...ledger.forwardedAttempts.values()]
      .reduce((sum, count) => sum + count, 0),
  };
}

/** One line for a service's worst window. */
export function formatBudget(worst: WorstBudget): string {
  const { service, repeats, allowed, untilMs } = worst;
  return `${service}: ${repeats} repeats, ${Math.floor(allowed)} allowed ` +
    `in the window until ${untilMs} ms`;
}

function groupArrivals(
  arrivals: readonly Arrival[],
): Map<string, readonly Arrival[]> {
  const groups = new Map<string, Arrival[]>();
  for (const arrival of arrivals) {
    const group = groups.get(arrival.id);
    if (group === undefined) groups.set(arrival.id, [arrival]);
    else group.push(arrival);
  }
  return groups;
}

function judgeRequest(
  sent: SentRequest,
  arrivals: readonly Arrival[] = [],
): Breach[] {
  const { answer, id, kind } = sent;
  if (answer === undefined) return [];
  const runs = arrivals.flatMap(({ run }) => run ?? []);
  const { status, headers, atMs } = answer;
  const breaches: Breach[] = [];
  const report = (rule: string, why: string) => {
    const ended = `${status ?? "no head"}, ${answer.end}`;
    const what = `${kind} ${id} at daemon ${sent.daemon} (${ended}): ${why}` +
      `; it reached ${arrivals.map(formatArrival).join(", ")}`;
    breaches.push({ rule, atMs, what });
  };
  if (kind === "unsafe" && runs.length > 1) {
    report("TWICE", `${runs.length} runs`);
  }
  if (status === undefined) return breaches;
  const saysNotRun = headers["not-run"] !== undefined ||
    (kind === "unsafe" && NOT_RUN_STATUSES.has(status));
  if (saysNotRun && runs.length > 0) report("REFUSED", "has run");
  const echoed = headers["attempt-id"];
  if (echoed !== undefined && echoed !== id) {
    report("MIXED", `the answer is that to ${echoed}`);
  }
  const proof = headers["response-seal"];
  const run = runs.find((one) => one.proof === proof);
  if (proof !== undefined && run?.status !== status) {
    report("MIXED", `the proof ${proof} is of no run with this status`);
  } else if (status < 300) {
    const fault = run === undefined
      ? "a success without a run's proof"
      : kind === "stream"
      ? findStreamFault(sent, runs)
      : findBodyFault(sent, run);
    if (fault !== undefined) report("MIXED", fault);
  }
  return breaches;
}

function formatArrival({ server, atMs, run, copy }: Arrival): string {
  const outcome = run === undefined ? "refused" : `ran as ${run.proof}`;
  return `${server} at ${atMs} (${outcome}, copy: ${copy ?? "none"})`;
}

function findBodyFault({ answer }: SentRequest, run: Run): string | undefined {
  const { body, end } = answer!;
  if (end === "complete" && body !== run.body) {
    return `${body.length} bytes are taken as a whole body of ` +
      `${run.body.length}: ${JSON.stringify(body.slice(-60))}`;
  }
  return run.body.startsWith(body) ? undefined : "the body is another's";
}

function findStreamFault(
  { answer, stream, resumeAfter, lastEvent }: SentRequest,
  runs: readonly Run[],
): string | undefined {
  const { events, rest } = eventsOf(answer!.body);
  const proofs = new Set(runs.map(({ proof }) => proof));
  for (const [index, event] of events.entries()) {
    const due = resumeAfter + 1 + index;
    if (event.number !== due) return `event ${event.number} instead of ${due}`;
    if (event.stream !== stream || !proofs.has(event.proof)) {
      return `event ${due} is of ${event.stream}, ${event.proof}`;
    }
  }
  if (answer!.end !== "complete") return undefined;
  if (rest !== "") return `ends as whole in an event: ${JSON.stringify(rest)}`;
  const last = events.at(-1)?.number ?? resumeAfter;
  return last === lastEvent
    ? undefined
    : `ends as whole at event ${last} of ${lastEvent}`;
}

function judgeArrival(arrival: Arrival, ledger: Ledger): Breach[] {
  const { atMs, id, server, leavingSinceMs } = arrival;
  const sent = ledger.requests.get(id);
  if (sent === undefined) {
    return [{ rule: "UNASKED", atMs, what: `${id} reaches ${server}` }];
  }
  if (leavingSinceMs === undefined) return [];
  const lateMs = Math.round(atMs - leavingSinceMs);
  const isLate = lateMs > BOUNDS.drain_ms && arrival.run !== undefined;
  if (!isLate || !isInTouch(ledger, sent.daemon, { fromMs: atMs })) return [];
  const what =
    `${sent.kind} ${id} reaches ${server} ${lateMs} ms after it said ` +
    `that it leaves, taken by daemon ${sent.daemon}`;
  return [{ rule: "DRAIN", atMs, what }];
}

/** Streams of two versions, in one answer or over a caller's take-ups. */
function findJoinedStreams(requests: readonly SentRequest[]): Breach[] {
  const versions = new Map<string, Map<string, string>>();
  const breaches: Breach[] = [];
  for (const { stream, answer, id, resumes, daemon } of requests) {
    if (stream === undefined || answer === undefined) continue;
    const known = versions.get(stream) ?? new Map<string, string>();
    versions.set(stream, known);
    const isSuccess = answer.status !== undefined && answer.status < 300;
    const { events } = isSuccess ? eventsOf(answer.body) : { events: [] };
    for (const { version, proof } of events) {
      if (known.size > 0 && !known.has(version)) {
        const [[begun, first]] = [...known] as [[string, string]];
        const way = resumes === undefined ? "in one answer" : "by a take-up";
        const what = `stream ${stream} began at ${begun} (${first}) and goes ` +
          `on at ${version} (${proof}) ${way}, ${id} at daemon ${daemon}`;
        breaches.push({ rule: "ORDER", atMs: answer.atMs, what });
      }
      if (!known.has(version)) known.set(version, proof);
    }
  }
  return breaches;
}

function countTakeUps(
  requests: readonly SentRequest[],
  ledger: Ledger,
): TakeUps {
  const sets = {
    asked: new Set<string>(),
    wentOn: new Set<string>(),
    newAsked: new Set<string>(),
    newBegun: new Set<string>(),
  };
  for (const sent of requests) {
    const { stream, answer, resumes, daemon, sentAtMs } = sent;
    if (stream === undefined || answer === undefined) continue;
    if (!isInTouch(ledger, daemon, { fromMs: sentAtMs })) continue;
    const isSuccess = answer.status !== undefined && answer.status < 300;
    const hasEvents = isSuccess && eventsOf(answer.body).events.length > 0;
    if (resumes === undefined) {
      sets.newAsked.add(stream);
      if (hasEvents) sets.newBegun.add(stream);
      continue;
    }
    const first = ledger.requests.get(resumes)?.answer?.body ?? "";
    const version = eventsOf(first).events[0]?.version ?? "";
    if (!sent.servedVersions.includes(version)) continue;
    sets.asked.add(stream);
    if (hasEvents) sets.wentOn.add(stream);
  }
  return {
    asked: sets.asked.size,
    wentOn: sets.wentOn.size,
    newAsked: sets.newAsked.size,
    newBegun: sets.newBegun.size,
  };
}

function countOutcomes(
  requests: readonly SentRequest[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { kind, answer } of requests) {
    const status = answer?.status;
    const end = answer?.end ?? "open";
    const outcome = status !== undefined && end === "complete" ? status : end;
    const name = `${kind} ${outcome}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}
