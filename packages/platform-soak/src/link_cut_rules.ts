/**
 * Judges how callers were served while links between daemons and servers were
 * cut.
 *
 * @module
 */

import { BOUNDS } from "./daemon_process.ts";
import {
  isInTouch,
  type Ledger,
  type LinkCutEntry,
  type SentRequest,
} from "./ledger.ts";

/** First tries and how many of them were served. */
export interface ServedCount {
  readonly served: number;
  readonly asked: number;
}

/** What callers saw of cut links. */
export interface LinkCutFigures {
  readonly name: string;
  readonly atMs: number;
  readonly untilMs: number;
  /** At daemons that were cut off, from the contact time on. */
  readonly cutOff: ServedCount;
  /** Those of `cutOff` whose answer had come when the links were mended. */
  readonly cutOffInTime: ServedCount;
  /** Those of `cutOff` that must not run twice. */
  readonly cutOffUnsafe: ServedCount;
  /** At the other daemons, from the contact time on. */
  readonly others: ServedCount;
  /** At the other daemons, for as long before the cut. */
  readonly othersBefore: ServedCount;
  /** Attempts that arrived through another daemon than their caller's. */
  readonly forwardedArrivals: number;
}

interface Breach {
  readonly rule: string;
  readonly atMs: number;
  readonly what: string;
}

/** Shares below this part of the others' break the rule. */
const MIN_SHARE_OF_OTHERS = 2 / 3;
/** First tries that may fail beside one in fifty. */
const ALLOWED_FAILURES = 10;
const ALLOWED_FAILURE_SHARE = 1 / 50;

/**
 * Judges all cuts of a play.
 *
 * @example
 * ```ts
 * const { breaches, figures } = judgeLinkCuts(ledger);
 * ```
 */
export function judgeLinkCuts(ledger: Ledger): {
  readonly breaches: readonly Breach[];
  readonly figures: readonly LinkCutFigures[];
} {
  const judged = ledger.linkCuts.map((entry) => {
    const figures = countServed(ledger, entry);
    const rules = entry.isWhole ? [findRecover, findBlamed] : [findBlamed];
    return { figures, breaches: rules.flatMap((find) => find(figures) ?? []) };
  });
  const forwarded = findForwardedByAll(ledger);
  return {
    breaches: [
      ...judged.flatMap(({ breaches }) => breaches),
      ...(forwarded === undefined ? [] : [forwarded]),
    ],
    figures: judged.map(({ figures }) => figures),
  };
}

/** One line for a cut. */
export function formatLinkCut(figures: LinkCutFigures): string {
  const { name, atMs, untilMs, cutOff, cutOffInTime } = figures;
  const until = untilMs === Number.MAX_VALUE ? "the end" : Math.round(untilMs);
  return `links cut from ${Math.round(atMs)} to ${until} ms (${name}): ` +
    `cut-off daemons serve ${formatCount(cutOff)} first tries ` +
    `(${cutOffInTime.served} before the links were mended), unsafe ` +
    `${formatCount(figures.cutOffUnsafe)}; the others ` +
    `${formatCount(figures.others)}, before the cut ` +
    `${formatCount(figures.othersBefore)}; ` +
    `${figures.forwardedArrivals} arrivals through another daemon`;
}

function formatCount({ served, asked }: ServedCount): string {
  return `${served} of ${asked}`;
}

function countServed(ledger: Ledger, entry: LinkCutEntry): LinkCutFigures {
  const { atMs, untilMs, daemons, name } = entry;
  const fromMs = atMs + BOUNDS.contact_ms;
  const first = [...ledger.requests.values()].filter((sent) =>
    sent.isFirstTry &&
    isInTouch(ledger, sent.daemon, {
      fromMs: sent.sentAtMs,
      untilMs: sent.answer?.atMs ?? sent.sentAtMs,
    })
  );
  const during = first.filter(({ sentAtMs }) =>
    sentAtMs >= fromMs && sentAtMs < untilMs
  );
  const cutOff = during.filter(({ daemon }) => daemons.has(daemon));
  const before = first.filter(({ sentAtMs, daemon }) =>
    sentAtMs < atMs && sentAtMs >= atMs - (untilMs - fromMs) &&
    !daemons.has(daemon)
  );
  const forwarded = ledger.arrivals.filter((arrival) =>
    arrival.atMs >= atMs && arrival.atMs < untilMs &&
    isForwarded(ledger, arrival)
  );
  return {
    name,
    atMs,
    untilMs,
    cutOff: count(cutOff),
    cutOffInTime: count(
      cutOff.filter(({ answer }) => (answer?.atMs ?? untilMs) < untilMs),
    ),
    cutOffUnsafe: count(cutOff.filter(({ kind }) => kind === "unsafe")),
    others: count(during.filter(({ daemon }) => !daemons.has(daemon))),
    othersBefore: count(before),
    forwardedArrivals: forwarded.length,
  };
}

function isForwarded(
  ledger: Ledger,
  { id, via }: { readonly id: string; readonly via: number },
): boolean {
  const sent = ledger.requests.get(id);
  return sent !== undefined && sent.daemon !== via;
}

function count(requests: readonly SentRequest[]): ServedCount {
  const served = requests.filter(({ answer }) =>
    answer?.status !== undefined && answer.status < 300 &&
    answer.end === "complete"
  );
  return { served: served.length, asked: requests.length };
}

function share({ served, asked }: ServedCount): number {
  return served / Math.max(1, asked);
}

/** Callers of daemons that are cut off are served nearly as well as others. */
function findRecover(figures: LinkCutFigures): Breach | undefined {
  const { cutOff, others, atMs } = figures;
  const failed = cutOff.asked - cutOff.served;
  const allowed = ALLOWED_FAILURES +
    (cutOff.asked + others.asked) * ALLOWED_FAILURE_SHARE;
  const isWorse = share(cutOff) < share(others) * MIN_SHARE_OF_OTHERS;
  return isWorse && failed > allowed
    ? { rule: "RECOVER", atMs, what: formatLinkCut(figures) }
    : undefined;
}

/** The other daemons serve their callers as they did before the cut. */
function findBlamed(figures: LinkCutFigures): Breach | undefined {
  const { others, othersBefore, atMs } = figures;
  const failed = others.asked - others.served;
  const allowed = (1 - share(othersBefore)) * others.asked +
    ALLOWED_FAILURES + others.asked * ALLOWED_FAILURE_SHARE;
  return othersBefore.asked > 0 && failed > allowed
    ? { rule: "BLAMED", atMs, what: formatLinkCut(figures) }
    : undefined;
}

/**
 * While no daemon is cut off by itself, requests don't go through others:
 * what servers do at all daemons is their own fault.
 */
function findForwardedByAll(ledger: Ledger): Breach | undefined {
  const { linkCuts, requests, forwardedAttempts, disturbances } = ledger;
  const isOfServers = linkCuts.every(({ daemons }) =>
    daemons.size >= forwardedAttempts.size
  );
  if (!isOfServers || disturbances.length > 0) return undefined;
  const attempts = [...forwardedAttempts.values()];
  const total = attempts.reduce((sum, one) => sum + one, 0);
  const allowed = ALLOWED_FAILURES + requests.size * ALLOWED_FAILURE_SHARE;
  if (total <= allowed) return undefined;
  const what = `${total} attempts go through another daemon, of ` +
    `${requests.size} requests, though no daemon is cut off: ` +
    attempts.join(", ");
  return { rule: "FORWARDED", atMs: ledger.nowMs(), what };
}
