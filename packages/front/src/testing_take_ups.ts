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
}

/** Settings of the callers. */
export interface TakeUpOptions {
  readonly fleet: TestFleet;
  readonly daemons: number;
  readonly draw: Draw;
  readonly sendIntervalMs?: number;
  /** Whether take-ups name the request that began their stream. */
  readonly areNamed?: boolean;
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
    const { fleet } = this.#options;
    const stream: CallerStream = {
      firstSentAtMs: fleet.time.nowMs,
      tries: [],
      brokeAtMs: undefined,
      couldGoOn: true,
    };
    this.streams.push(stream);
    this.#try(stream);
  }

  #try(stream: CallerStream): void {
    const { fleet, daemons, draw, areNamed = true } = this.#options;
    const { time } = fleet;
    const isOver = stream.tries.length >= MAX_TRIES ||
      time.nowMs - stream.firstSentAtMs > PATIENCE_MS - 500;
    if (isOver) return;
    const running = Array.from({ length: daemons }, (_, index) => index)
      .filter((index) => fleet.isReady(index));
    const daemon = running[draw(0, Math.max(0, running.length - 1))];
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
      const isGone = isCut || !fleet.isRunning(daemon) ||
        fleet.startedAtMs(daemon) !== startedAtMs;
      if (refusal === undefined && !isGone) return this.#watch(stream, current);
      if (this.eventsOf(stream).length > 0) stream.brokeAtMs ??= time.nowMs;
      const delayMs = refusal?.retryAfterMs ?? RECONNECT_MS;
      time.after(delayMs, () => this.#try(stream));
    });
  }
}
