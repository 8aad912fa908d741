import test from "ava";
import { findInvalidHeaderName, isHeaderName } from "./mod.ts";

test("header names are tokens", (t) => {
  for (const name of ["host", "X-Own", "a.b", "!#$%&'*+-.^_`|~09azAZ"]) {
    t.true(isHeaderName(name), name);
  }
  const invalid = ["", " ", "a b", "a ", " a", "a\t", "a\0", "a\x7f", "a:"];
  for (const name of [...invalid, "a\x80", "ä", "a\n", "a(", 'a"', "a/b"]) {
    t.false(isHeaderName(name), JSON.stringify(name));
  }
});

test("names are checked, values are not", (t) => {
  t.is(findInvalidHeaderName([]), undefined);
  t.is(findInvalidHeaderName(["host", "a b", "x-own", ""]), undefined);
  t.is(findInvalidHeaderName(["host", "h", "a b", "c"]), "a b");
  t.is(findInvalidHeaderName(["", "c"]), "");
});
