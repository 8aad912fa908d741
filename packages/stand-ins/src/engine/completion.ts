/**
 * One completion inside the engine: looks up its prefix, emits its tokens.
 *
 * @module
 */

import { countTokens, TOKENS_PER_BLOCK } from "@endivebend/types";
import type { Sequence } from "./batch_scheduler.ts";
import type { CompletionOutput } from "./completion_output.ts";
import type { CompletionRequest } from "./completion_request.ts";
import { textSeed, tokenText } from "./generated_text.ts";

/** What a completion needs from its engine. */
export interface CompletionHost {
  /** Number of leading blocks that are cached under the salt. */
  usePrefix(blocks: readonly string[], salt: string): number;
  /** Stores the blocks that the prefill computed. */
  storePrefix(blocks: readonly string[], salt: string): void;
  /** Undefined when the model is not loaded. */
  weightsVersionOf(model: string): string | undefined;
  /** True when tokens take no time, so whole answers are made at once. */
  isInstant(): boolean;
  /** Notes a resumed text that this engine would not have generated. */
  noteResumeMismatch(): void;
}

/** A sequence for the scheduler. */
export class Completion implements Sequence {
  readonly requestId: string;
  readonly priority: number;
  readonly promptTokens: number;
  readonly #request: CompletionRequest;
  readonly #output: CompletionOutput;
  readonly #host: CompletionHost;
  #seed = 0;
  #next: number;
  #cachedTokens = 0;
  #isPrefixStored = false;
  #isGivenUp = false;

  constructor(
    request: CompletionRequest,
    options: {
      readonly output: CompletionOutput;
      readonly host: CompletionHost;
    },
  ) {
    this.requestId = request.requestId;
    this.priority = request.priority;
    this.promptTokens = countTokens(request.prompt);
    this.#request = request;
    this.#output = options.output;
    this.#host = options.host;
    this.#next = request.resumeFrom;
  }

  begin(): number {
    const { prompt, model, blockHashes, cacheSalt } = this.#request;
    const weightsVersion = this.#host.weightsVersionOf(model);
    // The weights may have changed while the sequence waited.
    if (weightsVersion === undefined) return this.#giveUp(() => this.abort());
    const wanted = this.#request.weightsVersion;
    if (wanted !== undefined && wanted !== weightsVersion) {
      return this.#giveUp(() => this.#output.refuseWeights(weightsVersion));
    }
    this.#seed = textSeed({ prompt, model, weightsVersion });
    this.#checkResumedText();
    const depth = this.#host.usePrefix(blockHashes, cacheSalt);
    const cached = Math.min(this.promptTokens, depth * TOKENS_PER_BLOCK);
    this.#cachedTokens = cached;
    this.#output.begin(weightsVersion);
    return this.promptTokens + this.#request.resumeFrom - cached;
  }

  isBlocked(): boolean {
    return this.#output.isBlocked();
  }

  emitToken(): boolean {
    if (this.#isGivenUp) return true;
    this.#storePrefix();
    const isWhole = !this.#request.isStreamed && this.#host.isInstant();
    do {
      if (this.#next >= this.#request.maxTokens) return this.#end();
      this.#output.token(this.#next, tokenText(this.#seed, this.#next));
      this.#next++;
    } while (isWhole);
    return this.#next >= this.#request.maxTokens && this.#end();
  }

  abort(): void {
    this.#output.abort();
  }

  /** Ends the sequence without running it; it costs no prefill. */
  #giveUp(end: () => void): number {
    this.#isGivenUp = true;
    end();
    return 0;
  }

  #storePrefix(): void {
    if (this.#isPrefixStored) return;
    this.#isPrefixStored = true;
    const { blockHashes, cacheSalt } = this.#request;
    this.#host.storePrefix(blockHashes, cacheSalt);
  }

  #checkResumedText(): void {
    const { resumeFrom, generatedText } = this.#request;
    let expected = "";
    for (let index = 0; index < resumeFrom; index++) {
      expected += tokenText(this.#seed, index);
    }
    if (expected !== generatedText) this.#host.noteResumeMismatch();
  }

  #end(): true {
    this.#output.end({
      promptTokens: this.promptTokens,
      completionTokens: this.#next,
      cachedTokens: this.#cachedTokens,
    });
    return true;
  }
}
