/**
 * Stops reading a connection whose bytes come in very short chunks. Each chunk
 * that Node.js hands out is a Buffer with memory of its own, some 300 bytes. A
 * message that is paused keeps up to two reads of its socket, which are 20,000
 * Buffers of one byte: 200 such messages ended the process.
 *
 * @module
 */

import type { Socket } from "node:net";

/** Why a socket is not read. */
export type HoldReason =
  /** Other connections have their turn. */
  | "turn"
  /** Who gets the bytes does not read. */
  | "receiver";

interface Hold {
  readonly reasons: Set<HoldReason>;
  /** Whether the socket is to be read once nothing holds it. */
  isWanted: boolean;
  /** The socket's own methods. */
  readonly resume: Socket["resume"];
  readonly pause: Socket["pause"];
}

const holds = new WeakMap<Socket, Hold>();

/**
 * Stops reading the socket until every reason is released. Node.js resumes the
 * socket of a message by itself, also of one that is paused; that waits as well.
 *
 * @example
 * ```ts
 * holdReading(answer.socket, "receiver");
 * caller.once("drain", () => releaseReading(answer.socket, "receiver"));
 * ```
 */
export function holdReading(socket: Socket, reason: HoldReason): void {
  const known = holds.get(socket);
  if (known !== undefined) return void known.reasons.add(reason);
  const { resume, pause } = socket;
  const hold: Hold = {
    reasons: new Set([reason]),
    isWanted: true,
    resume,
    pause,
  };
  holds.set(socket, hold);
  socket.pause();
  socket.resume = () => {
    hold.isWanted = true;
    return socket;
  };
  socket.pause = () => {
    hold.isWanted = false;
    return pause.call(socket);
  };
}

/** Reads the socket again, unless it is held for another reason. */
export function releaseReading(socket: Socket, reason: HoldReason): void {
  const hold = holds.get(socket);
  if (hold === undefined) return;
  hold.reasons.delete(reason);
  if (hold.reasons.size > 0) return;
  holds.delete(socket);
  socket.resume = hold.resume;
  socket.pause = hold.pause;
  if (hold.isWanted && !socket.destroyed) socket.resume();
}
