/**
 * Relays the answer of a request to the caller, from one attempt or from
 * several of which each resumes the one before.
 *
 * @module
 */

import { ByteCollector, type MemoryBudget } from "@endivebend/byte-buffers";
import { type EventFrame, EventFrames } from "./event_frames.ts";
import type { AnswerHead, CallerSink } from "./ports.ts";
import { isStream, type RoutedRequest } from "./types.ts";

/** Plain answers up to this size are buffered, so that they can be retried. */
const MAX_BUFFERED_BYTES = 262_144;

/** What became of a chunk of an answer. */
export interface RelayedChunk {
  /** Whether the chunk brought part of the answer, not only filler. */
  readonly isProgress: boolean;
  /** False when the caller reads too slowly. */
  readonly callerAcceptsMore: boolean;
  /** Why the bytes are no answer; none of the chunk was relayed. */
  readonly malformed?: "event_too_large" | "error_too_large";
}

/** The part of an answer that the caller has received, and what is buffered. */
export class AnswerRelay {
  readonly #request: RoutedRequest;
  readonly #caller: CallerSink;
  readonly #memory: MemoryBudget;
  readonly #frames: EventFrames;
  #head: AnswerHead | undefined;
  #buffered: ByteCollector;
  #hasBegun = false;
  #lastEventId: string | undefined;

  /** Takes the memory for what it buffers from the budget. */
  constructor(
    request: RoutedRequest,
    caller: CallerSink,
    memory: MemoryBudget,
  ) {
    this.#request = request;
    this.#caller = caller;
    this.#memory = memory;
    this.#frames = new EventFrames({ budget: memory });
    this.#buffered = this.#collector("answer");
  }

  /** Whether the caller has received part of the answer. */
  get hasBegun(): boolean {
    return this.#hasBegun;
  }

  /** The id of the last event that the caller has received. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Whether another server can continue after what the caller has received. */
  get canResume(): boolean {
    return !this.#hasBegun || this.#lastEventId !== undefined;
  }

  /** Whether the answer would end in the middle of an event. */
  get endsMidEvent(): boolean {
    return this.#frames.hasPartialEvent;
  }

  /** Whether the answer consists of events; errors don't. */
  get isEventStream(): boolean {
    const isSuccess = (this.#head?.status ?? 0) < 300;
    return isSuccess && isStream(this.#request.route.kind);
  }

  /** Takes the head of an attempt's answer; the caller gets only the first. */
  head(head: AnswerHead): void {
    this.dropBuffered();
    this.#buffered = this.#collector(head.status < 300 ? "answer" : "failure");
    if (!this.#hasBegun) this.#head = head;
  }

  /** Gives back the memory of what the caller has not received. */
  dropBuffered(): void {
    this.#frames.clear();
    this.#buffered.clear();
  }

  /** Relays or buffers a chunk. */
  data(chunk: Buffer): RelayedChunk {
    if (this.isEventStream) return this.#relayEvents(chunk);

    if (this.#hasBegun) {
      const callerAcceptsMore = this.#caller.data(chunk);
      return { isProgress: true, callerAcceptsMore };
    }
    if (this.#buffered.append(chunk)) {
      return { isProgress: true, callerAcceptsMore: true };
    }
    // Answers may be long, errors are not: this one may never end. An answer
    // that there is no memory for is relayed without a chance of a retry.
    if ((this.#head?.status ?? 0) >= 300) return malformed("error_too_large");
    this.#sendHead();
    if (this.#buffered.length > 0) this.#caller.data(this.#buffered.take());
    return { isProgress: true, callerAcceptsMore: this.#caller.data(chunk) };
  }

  end(): void {
    this.#sendHead();
    if (this.#buffered.length > 0) this.#caller.data(this.#buffered.take());
    this.#caller.end();
  }

  #collector(use: "answer" | "failure"): ByteCollector {
    const budget = this.#memory;
    return new ByteCollector({ maxBytes: MAX_BUFFERED_BYTES, budget, use });
  }

  #relayEvents(chunk: Buffer): RelayedChunk {
    const events = this.#splitEvents(chunk);
    if (events === undefined) return malformed("event_too_large");
    let callerAcceptsMore = true;
    let isProgress = false;
    for (const { bytes, id, hasContent } of events) {
      this.#sendHead();
      this.#lastEventId = id ?? this.#lastEventId;
      isProgress ||= hasContent;
      callerAcceptsMore = this.#caller.data(bytes) && callerAcceptsMore;
    }
    return { isProgress, callerAcceptsMore };
  }

  #splitEvents(chunk: Buffer): EventFrame[] | undefined {
    try {
      return this.#frames.push(chunk);
    } catch {
      return undefined;
    }
  }

  #sendHead(): void {
    if (this.#hasBegun || this.#head === undefined) return;
    this.#caller.head(this.#head);
    this.#hasBegun = true;
  }
}

function malformed(
  reason: NonNullable<RelayedChunk["malformed"]>,
): RelayedChunk {
  return { isProgress: false, callerAcceptsMore: true, malformed: reason };
}
