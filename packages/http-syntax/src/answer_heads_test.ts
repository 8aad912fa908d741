import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import fc from "fast-check";
import test from "ava";
import { findFieldFault, findHeadFault } from "./mod.ts";

const HEAD = { statusCode: 200, statusMessage: "OK", rawHeaders: ["a", "b"] };

test("a sound head has no fault", (t) => {
  t.is(findHeadFault(HEAD), undefined);
  t.is(
    findHeadFault({ ...HEAD, statusCode: 599, statusMessage: "" }),
    undefined,
  );
  t.is(findHeadFault({ ...HEAD, statusMessage: "\t\xe4 ok" }), undefined);
});

test("status codes that are not final are faults", (t) => {
  for (const statusCode of [0, 99, 100, 199, 600, 999]) {
    t.is(
      findHeadFault({ ...HEAD, statusCode }),
      "a status code out of range",
    );
  }
});

test("names and values of fields are checked", (t) => {
  t.is(findFieldFault([]), undefined);
  t.is(findFieldFault(["a", "", "b", "\xff\t~"]), undefined);
  t.is(
    findFieldFault(["a", "", "b c", "d"]),
    "a field name that is not a token",
  );
  t.is(findFieldFault(["a", "\x7f"]), "a field value with control characters");
});

// Guards against a head that passes the check and that writeHead refuses.
test("writeHead accepts each head that has no fault", (t) => {
  const text = fc.string({
    unit: fc.integer({ min: 0, max: 255 }).map((code) =>
      String.fromCharCode(code)
    ),
    maxLength: 3,
  });
  const head = fc.record({
    statusCode: fc.integer({ min: 0, max: 999 }),
    statusMessage: text,
    rawHeaders: fc.tuple(text, text),
  });
  fc.assert(
    fc.property(head, (read) => {
      if (findHeadFault(read) !== undefined) return;
      const response = new ServerResponse(new IncomingMessage(new Socket()));
      response.writeHead(read.statusCode, read.statusMessage, read.rawHeaders);
    }),
    { seed: 1, numRuns: 5_000 },
  );
  t.pass();
});
