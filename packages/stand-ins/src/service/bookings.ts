/**
 * The plain-service stand-in: bookings that must run at most once, and a record
 * of every call that ran.
 *
 * @module
 */

import {
  flattenHeaders,
  HttpFailure,
  readBody,
  sendJson,
} from "../http_messages.ts";
import { RequestRecord } from "../request_record.ts";
import {
  type Call,
  delay,
  type ListenOptions,
  type StandIn,
  StandInServer,
} from "../stand_in_server.ts";

/** Settings of the service stand-in. */
export interface ServiceOptions extends ListenOptions {
  /** A repeated `idempotency-key` gets the first answer and does not run. */
  readonly deduplicates?: boolean;
}

/** Faults that `POST /control` and `control()` switch. */
export interface ServiceFaults {
  /** So many booking calls lose their connection before they run. */
  dieBeforeRun: number;
  /** So many booking calls run and lose their connection without an answer. */
  dieAfterRun: number;
  /** Each call takes this many milliseconds before it runs. */
  slowMs: number;
  /** New connections are refused. */
  refuse: boolean;
  /** Calls are answered 503 with `x-leaving: 1` and do not run. */
  drainingRefusal: boolean;
}

/** A booking call that ran. */
export interface RanCall {
  readonly bookingId: string;
  readonly atMs: number;
  readonly requestId: string | undefined;
  readonly idempotencyDigest: string | undefined;
  readonly team: string | undefined;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** A running service stand-in. */
export interface ServiceStandIn extends StandIn {
  readonly faults: Readonly<ServiceFaults>;
  /** Every booking call that ran, in order. */
  ranCalls(): readonly RanCall[];
  /** Every call that arrived. */
  seen(): ReturnType<RequestRecord["read"]>;
}

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

const RECORDED_REQUESTS = 10_000;

class Bookings {
  readonly faults: ServiceFaults = {
    dieBeforeRun: 0,
    dieAfterRun: 0,
    slowMs: 0,
    refuse: false,
    drainingRefusal: false,
  };
  readonly ran: RanCall[] = [];
  readonly server: StandInServer;
  readonly seen = new RequestRecord(RECORDED_REQUESTS);
  readonly #answers = new Map<string, Answer>();
  readonly #deduplicates: boolean;

  constructor(options: ServiceOptions) {
    this.#deduplicates = options.deduplicates ?? false;
    this.server = new StandInServer({
      "POST /bookings": (call) => this.#book(call),
      "GET /bookings": ({ response }) =>
        sendJson(response, 200, { body: this.ran.map(toBooking) }),
      "GET /bookings/:id": (call) => this.#lookUp(call),
      "GET /open/info": ({ response }) =>
        sendJson(response, 200, { body: { service: "bookings" } }),
    }, this);
    this.server.intercept = (call) => this.#beforeCall(call);
  }

  readControl(): unknown {
    return this.faults;
  }

  readRecord(): unknown {
    return { ran: this.ran, seen: this.seen.read() };
  }

  async applyControl(fields: Record<string, unknown>): Promise<void> {
    for (const [name, value] of Object.entries(fields)) {
      if (name === "silence") this.server.silenceConnections();
      else if (name in this.faults) {
        Object.assign(this.faults, { [name]: value });
      } else throw new HttpFailure(400, `Unknown control field ${name}`);
    }
    if (this.faults.refuse) this.server.stopListening();
    else await this.server.listenAgain();
  }

  async #beforeCall(call: Call): Promise<boolean> {
    this.seen.add(call.request);
    if (this.faults.drainingRefusal) {
      sendJson(call.response, 503, {
        body: { error: { message: "This backend server is leaving" } },
        headers: { "x-leaving": "1" },
      });
      return true;
    }
    await delay(this.faults.slowMs);
    return false;
  }

  async #book({ request, response }: Call): Promise<void> {
    const body = (await readBody(request)).toString();
    if (this.faults.dieBeforeRun > 0) {
      this.faults.dieBeforeRun--;
      request.socket.destroy();
      return;
    }
    const answer = this.#runOnce(flattenHeaders(request), body);
    if (this.faults.dieAfterRun > 0) {
      this.faults.dieAfterRun--;
      request.socket.destroy();
      return;
    }
    sendJson(response, answer.status, { body: answer.body });
  }

  #runOnce(headers: Record<string, string>, body: string): Answer {
    const key = headers["idempotency-key"];
    const isKeyed = this.#deduplicates && key !== undefined;
    const earlier = isKeyed ? this.#answers.get(key) : undefined;
    if (earlier !== undefined) return earlier;
    const ran: RanCall = {
      bookingId: `b-${this.ran.length + 1}`,
      atMs: Date.now(),
      requestId: headers["x-endivebend-request-id"],
      idempotencyDigest: key,
      team: headers["x-endivebend-team"],
      headers,
      body,
    };
    this.ran.push(ran);
    const answer = { status: 201, body: toBooking(ran) };
    if (isKeyed) this.#answers.set(key, answer);
    return answer;
  }

  #lookUp({ params, response }: Call): void {
    const found = this.ran.find((ran) => ran.bookingId === params.id);
    if (found === undefined) throw new HttpFailure(404, "No such booking");
    sendJson(response, 200, { body: toBooking(found) });
  }
}

function toBooking(ran: RanCall) {
  const { bookingId, team, requestId, body } = ran;
  return { id: bookingId, team, requestId, body };
}

/**
 * Starts a bookings service stand-in.
 *
 * @example
 * ```ts
 * const service = await startService();
 * await service.control({ dieAfterRun: 1 });
 * const ran = service.ranCalls();
 * ```
 */
export async function startService(
  options: ServiceOptions = {},
): Promise<ServiceStandIn> {
  const bookings = new Bookings(options);
  const { server } = bookings;
  await server.start(options);
  return {
    address: server.address,
    controlAddress: server.controlAddress,
    faults: bookings.faults,
    control: (fields) => bookings.applyControl(fields),
    close: () => server.close(),
    ranCalls: () => bookings.ran,
    seen: () => bookings.seen.read(),
  };
}
