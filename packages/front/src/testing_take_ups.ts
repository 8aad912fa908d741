/**
 * Callers of a simulated fleet that take their streams up again at another
 * daemon after their connection broke.
 *
 * @module
 */

import type { RequestId } from "@endivebend/types";
import type { Engine, Outcome, TestFleet } from "./testing_fleet.ts";
import type { Draw } from "./testing_gossip_links.ts";

/** Events of each stream; an engine sends one every 30 ms. */
const EVENTS = 30;
const LOOK_INTERVAL_MS = 20;
/** Time after which a caller notices that its connection is gone. */
const RECONNECT_MS = 100;
/** Time within which a caller whose connection was reset has another one. */
const MAX_HANG_UP_MS = 40;
/** Time for which a caller waits for its stream. */
const PATIENCE_MS = 6_000;
const MAX_TRIES = 8;

/** One stream of a caller, over all its tries. */
export interface CallerStream {
  readonly firstSentAtMs: number;
  readonly tries: Outcome[];
  /** When the connection broke first after the stream had begun. */
  brokeAtMs: number | undefined;
  /** Whether two servers of its version took requests at each try since. */
  couldGoOn: boolean;
  /** Events after which it may lose its connection; undefined for most. */
  readonly hangsUpAfter: number | undefined;
}

/** Callers that lose their connections soon after their streams have begun. */
export interface HangUps {
  readonly fromMs: number;
  readonly untilMs: number;
  /** The daemons that they go to; their streams begin at others. */
  readonly daemons: readonly number[];
}

/** Settings of the callers. */
export interface TakeUpOptions {
  readonly fleet: TestFleet;
  readonly daemons: number;
  readonly draw: Draw;
  readonly sendIntervalMs?: number;
  /** Whether take-ups name the request that began their stream. */
  readonly areNamed?: boolean;
  /** When connections are lost that no daemon's end closes; none by default. */
  readonly hangUps?: HangUps;
}

/** Callers that take broken streams up. */
export class TakeUpCallers {
  readonly streams: CallerStream[] = [];
  readonly #options: TakeUpOptions;

  constructor(options: TakeUpOptions) {
    this.#options = options;
  }

  /** Sends new streams until then. */
  run(fromMs: number, untilMs: number): void {
    const { fleet, sendIntervalMs = 20 } = this.#options;
    const send = () => {
      if (fleet.time.nowMs > untilMs) return;
      this.#begin();
      fleet.time.after(sendIntervalMs, send);
    };
    fleet.time.after(fromMs, send);
  }

  /** Events of the stream over all tries, with the versions that wrote them. */
  eventsOf({ tries }: CallerStream): Outcome["events"] {
    return tries.flatMap(({ events }) => events);
  }

  /** Streams whose events come from servers of several versions. */
  joined(): CallerStream[] {
    return this.streams.filter((stream) =>
      new Set(this.eventsOf(stream).map(({ version }) => version)).size > 1
    );
  }

  /** Streams that were taken up. */
  takenUp(): CallerStream[] {
    return this.streams.filter(({ brokeAtMs, tries }) =>
      brokeAtMs !== undefined && tries.length > 1
    );
  }

  /** The share of the streams that went on after they broke. */
  shareGoneOn(streams: readonly CallerStream[]): number {
    const goneOn = streams.filter(({ tries }) => {
      const first = tries.findIndex(({ events }) => events.length > 0);
      return tries.slice(first + 1).some(({ events }) => events.length > 0);
    });
    return goneOn.length / streams.length;
  }

  /** The share of streams first sent within the time that have begun. */
  shareBegun(fromMs = 0, untilMs = Number.POSITIVE_INFINITY): number {
    const sent = this.streams.filter(({ firstSentAtMs }) =>
      firstSentAtMs >= fromMs && firstSentAtMs <= untilMs
    );
    const begun = sent.filter((stream) => this.eventsOf(stream).length > 0);
    return begun.length / sent.length;
  }

  #begin(): void {
    const { fleet, draw, hangUps } = this.#options;
    const stream: CallerStream = {
      firstSentAtMs: fleet.time.nowMs,
      tries: [],
      brokeAtMs: undefined,
      couldGoOn: true,
      hangsUpAfter: hangUps && draw(0, 2) > 0 ? draw(1, 4) : undefined,
    };
    this.streams.push(stream);
    this.#try(stream);
  }

  #try(stream: CallerStream): void {
    const { fleet, areNamed = true } = this.#options;
    const { time } = fleet;
    const isOver = stream.tries.length >= MAX_TRIES ||
      time.nowMs - stream.firstSentAtMs > PATIENCE_MS - 500;
    if (isOver) return;
    const daemon = this.#chooseDaemon(stream);
    if (daemon === undefined) {
      return void time.after(RECONNECT_MS, () => this.#try(stream));
    }
    const events = this.eventsOf(stream);
    const number = this.streams.indexOf(stream);
    const parts = [`rules-${number % 5}`, `parish-${number % 31}`];
    if (events.length > 0) this.#noteServers(stream, events[0]!.version);
    const outcome = fleet.send(daemon, parts, {
      events: EVENTS,
      resumeAfter: events.at(-1)?.id.toString(),
      takesUp: areNamed ? this.#firstOf(stream) : undefined,
    });
    stream.tries.push(outcome);
    const startedAtMs = fleet.startedAtMs(daemon);
    this.#watch(stream, { outcome, startedAtMs });
  }

  /** A daemon that runs, as the balancer chooses one. */
  #chooseDaemon({ tries, hangsUpAfter }: CallerStream): number | undefined {
    const { fleet, daemons, draw, hangUps } = this.#options;
    const goTo = hangsUpAfter === undefined ? [] : hangUps?.daemons ?? [];
    const last = tries.at(-1)?.daemon;
    if (last !== undefined && goTo.length > 0) {
      return goTo.includes(last) ? last : goTo[draw(0, goTo.length - 1)];
    }
    const running = Array.from({ length: daemons }, (_, index) => index)
      .filter((index) => fleet.isReady(index) && !goTo.includes(index));
    return running[draw(0, Math.max(0, running.length - 1))];
  }

  /** Whether the caller's connection is lost now. */
  #losesConnection({ tries, hangsUpAfter }: CallerStream): boolean {
    const { fleet, hangUps } = this.#options;
    const { nowMs } = fleet.time;
    return hangUps !== undefined && hangsUpAfter !== undefined &&
      tries.length === 1 && tries[0]!.events.length >= hangsUpAfter &&
      nowMs >= hangUps.fromMs && nowMs <= hangUps.untilMs;
  }

  #firstOf({ tries }: CallerStream): RequestId | undefined {
    return tries.find(({ events }) => events.length > 0)?.requestId;
  }

  #noteServers(stream: CallerStream, version: string): void {
    const serving = this.#options.fleet.runningEngines()
      .filter(({ listed }: Engine) =>
        listed.softwareVersion === version && !listed.isLeaving
      );
    if (serving.length < 2) stream.couldGoOn = false;
  }

  #watch(
    stream: CallerStream,
    current: { readonly outcome: Outcome; readonly startedAtMs: number },
  ): void {
    const { fleet } = this.#options;
    const { time } = fleet;
    const { outcome, startedAtMs } = current;
    time.after(LOOK_INTERVAL_MS, () => {
      const { refusal, isCut, hasEnded, daemon } = outcome;
      if (hasEnded) return;
      const isLost = this.#losesConnection(stream);
      if (isLost) fleet.hangUp(outcome);
      const isGone = isLost || isCut || !fleet.isRunning(daemon) ||
        fleet.startedAtMs(daemon) !== startedAtMs;
      if (refusal === undefined && !isGone) return this.#watch(stream, current);
      if (this.eventsOf(stream).length > 0) stream.brokeAtMs ??= time.nowMs;
      const delayMs = refusal?.retryAfterMs ??
        (isLost ? this.#options.draw(1, MAX_HANG_UP_MS) : RECONNECT_MS);
      time.after(delayMs, () => this.#try(stream));
    });
  }
}
