import test from "ava";
import { parseTokens } from "./incoming_request.ts";
import { parsePrompt } from "./prompt_header.ts";

test("token counts are read", (t) => {
  t.like(parseTokens("1460,80"), { promptTokens: 1_460, total: 1_540 });
  t.like(parseTokens("1460.0, 80"), { total: 1_540 });
  t.is(parsePrompt("a:800, b:410.0")[1]?.tokens, 410);
});

// A negative count would refill its team's bucket, a huge one empty it for good,
// and an infinite one can't be told to peers.
for (
  const count of [
    "-1000000",
    "1e308",
    "1e400",
    "Infinity",
    "9".repeat(400),
    "0x10",
    "",
    "x",
  ]
) {
  test(`"${count.slice(0, 12)}" is no count of tokens`, (t) => {
    t.is(parseTokens(`${count},80`), undefined);
    t.is(parseTokens(`80,${count}`), undefined);
    t.is(parsePrompt(`a:${count}`)[0]?.tokens, 0);
  });
}
