import test from "ava";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { setImmediate } from "node:timers/promises";
import { FRESH_FORM_NAMES, type FreshForm, Link } from "./links.ts";

const HOST = "127.0.0.1";

/** A link to a server that answers each piece with the same bytes. */
async function openLink(): Promise<{ link: Link; port: number }> {
  const link = new Link(HOST, (socket) => {
    socket.on("data", (bytes) => socket.write(bytes));
  });
  return { link, port: await link.open(0) };
}

/** Sends bytes; resolves with the answer, or with how the connection ended. */
function ask(port: number): { socket: Socket; outcome: Promise<string> } {
  const socket = connect(port, HOST);
  socket.write("hello");
  const outcome = new Promise<string>((resolve) => {
    socket.once("data", (bytes) => resolve(String(bytes)));
    socket.once("error", ({ message }) => resolve(message));
  }).finally(() => socket.destroy());
  return { socket, outcome };
}

interface Expected {
  readonly outcome: RegExp;
  readonly isHeld: boolean;
}

/** What comes of a connection, and whether only when the link is mended. */
const EXPECTED: Readonly<Record<FreshForm, Expected>> = {
  refused: { outcome: /ECONNREFUSED/, isHeld: false },
  reset_on_accept: { outcome: /ECONNRESET|EPIPE/, isHeld: false },
  reset_on_bytes: { outcome: /ECONNRESET|EPIPE/, isHeld: false },
  // Refused in the moment in which the listener is handed back.
  unanswered: { outcome: /^hello$|ECONNREFUSED/, isHeld: true },
  silent: { outcome: /^hello$/, isHeld: true },
  one_way: { outcome: /^hello$/, isHeld: true },
};

for (const fresh of FRESH_FORM_NAMES) {
  test(`a link whose new connections meet "${fresh}" serves when it is mended`, async (t) => {
    const { outcome, isHeld } = EXPECTED[fresh];
    const { link, port } = await openLink();
    const cut = { fresh, open: "alive" } as const;
    t.true(link.cut(cut));
    // Sockets connect in the next turn of the event loop.
    await setImmediate();
    let isMended = false;
    const asked = ask(port).outcome.then((text) => ({ text, isMended }));
    if (!isHeld) await asked;
    // The link has taken the first connection by then.
    else if (fresh !== "unanswered") await once(ask(port).socket, "connect");
    isMended = true;
    await link.mend(cut);
    const { text, isMended: wasMended } = await asked;
    t.regex(text, outcome);
    t.is(wasMended, isHeld);
    t.is(await ask(port).outcome, "hello");
    link.close();
  });
}

test("open connections are reset, held or live on as the cut says", async (t) => {
  const outcomes = { reset: /ECONNRESET/, silent: /^hello$/, alive: /^hello$/ };
  for (const [open, expected] of Object.entries(outcomes)) {
    const { link, port } = await openLink();
    const socket = connect(port, HOST);
    socket.write("first");
    await once(socket, "data");
    const cut = { fresh: "refused", open: open as "reset" } as const;
    link.cut(cut);
    const outcome = new Promise<string>((resolve) => {
      socket.once("data", (bytes) => resolve(String(bytes)));
      socket.once("error", ({ message }) => resolve(message));
    });
    socket.write("hello");
    if (open === "alive") t.regex(await outcome, expected);
    await link.mend(cut);
    t.regex(await outcome, expected);
    socket.destroy();
    link.close();
  }
});
