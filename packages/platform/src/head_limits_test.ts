import test from "ava";
import { startTestDaemon, type TestDaemon } from "./testing_daemon.ts";

const MAX_HEADER_BYTES = 16_384;
/** Room for a few long heads and for many short ones. */
const MESSAGE_BYTES = 300_000;
const LIMITS = {
  limits: { max_header_bytes: MAX_HEADER_BYTES },
  messageBytes: MESSAGE_BYTES,
};

/** A request whose header lines have the given length in all. */
function head(
  id: string,
  fieldBytes: number,
  { target = "/book/1", fields: own = "Content-Length: 0" } = {},
): string {
  const fields = `Host: bells.example\r\nAttempt-Id: ${id}\r\n` +
    `Authorization: Token good\r\nDeadline-Ms: 3000\r\n${own}\r\n` +
    "X-Filler: ";
  const filler = "z".repeat(Math.max(1, fieldBytes - fields.length - 2));
  return `POST ${target} HTTP/1.1\r\n${fields}${filler}\r\n\r\n`;
}

/** A request without a body that is the last of its connection. */
const LAST = { fields: "Content-Length: 0\r\nConnection: close" };

async function ask(
  { open }: TestDaemon,
  text: string,
): Promise<string> {
  const { socket, closed } = open();
  socket.write(text);
  return await closed;
}

// Guards against heads of 64 KiB, which the parser accepts.
test("a head over the limit is refused, one at the limit is served", async (t) => {
  const daemon = await startTestDaemon(t, LIMITS);
  const long = await ask(daemon, head("long", MAX_HEADER_BYTES + 1, LAST));
  t.regex(long, /^HTTP\/1\.1 431 /);
  const whole = head("whole", MAX_HEADER_BYTES, LAST);
  t.regex(await ask(daemon, whole), /^HTTP\/1\.1 200 /);
  const target = `/book/${"1".repeat(MAX_HEADER_BYTES)}`;
  const longTarget = head("target", 200, { ...LAST, target });
  t.regex(await ask(daemon, longTarget), /^HTTP\/1\.1 431 /);
  t.deepEqual(daemon.ran, ["whole"]);
});

// Guards against 32 long heads that wait on each connection.
test("a connection whose requests wait with more than there is memory for is closed", async (t) => {
  const daemon = await startTestDaemon(t, LIMITS);
  const { socket, closed } = daemon.open();
  const heads = Array.from(
    { length: 8 },
    (_, index) => head(`held${index}`, MAX_HEADER_BYTES),
  );
  socket.write(heads.join(""));
  t.is(await closed, "");
  const next = head("next", 200, LAST);
  t.regex(await ask(daemon, next), /^HTTP\/1\.1 200 /);
});

// Guards against clients that take all memory and leave none for ordinary ones.
test("a small request is served while large ones hold their memory", async (t) => {
  const daemon = await startTestDaemon(t, LIMITS);
  const held = Array.from({ length: 60 }, (_, index) => {
    const { socket, closed } = daemon.open();
    const fields = "Content-Length: 5";
    socket.write(head(`held${index}`, 2_000, { fields }));
    return closed;
  });
  // The first refusal shows that large requests have no memory left.
  t.regex(await Promise.any(held), /^HTTP\/1\.1 503 [^]*Retry-After: 0\.5/);
  const small = head("small", 200, LAST);
  t.regex(await ask(daemon, small), /^HTTP\/1\.1 200 /);
});
