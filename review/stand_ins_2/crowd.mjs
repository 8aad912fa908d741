/**
 * A crowd of clients, as a process of its own: each has one connection, and
 * sends its next request when it has its answer. Arguments: the daemon's address
 * and port, the number of clients, and the length of `Attempt-Id`. Every head is
 * within the 16,384 bytes of `max_header_bytes`.
 */

import { connect } from "node:net";

const [ip, port, clients, idLength] = process.argv.slice(2);
const RECONNECT_MS = 200;
const MAX_HEADER_BYTES = 16_384;

let number = 0;

function nextRequest() {
  number += 1;
  const id = `${process.pid}-${number}-`.padEnd(Number(idLength), "x");
  const text = `GET /toll/1 HTTP/1.1\r\nHost: bells.example\r\n` +
    `Attempt-Id: ${id}\r\nDeadline-Ms: 6000\r\n` +
    "Authorization: Token key\r\n\r\n";
  if (text.length > MAX_HEADER_BYTES) throw new Error("over the limit");
  return text;
}

function open() {
  const socket = connect(Number(port), ip);
  let text = "";
  socket.on("connect", () => socket.write(nextRequest()));
  socket.on("data", (bytes) => {
    text += bytes.toString("latin1");
    const end = text.indexOf("\r\n\r\n");
    if (end < 0) return;
    const length = Number(/^content-length: (\d+)/im.exec(text)?.[1] ?? 0);
    if (text.length < end + 4 + length) return;
    text = "";
    socket.write(nextRequest());
  });
  socket.on("error", () => {});
  socket.on("close", () => setTimeout(open, RECONNECT_MS));
}

for (let index = 0; index < Number(clients); index++) open();
