/** Continuous batching of a stand-in engine, with chunked prefill and a prefix cache. */
import { createHash } from 'node:crypto'
import type { Clock } from 'figquay'

/** Speed and limits of an engine. */
export interface BatchingOptions {
  /** Sequences that run concurrently at most. */
  readonly maxBatch: number
  /** Duration of a decoding step with an empty batch, in milliseconds. */
  readonly baseStepMs: number
  /** Added to a step for each decoding sequence, in milliseconds. */
  readonly sequenceStepMs: number
  readonly prefillTokensPerSecond: number
  /** Size of the prefix cache, in prompt tokens. */
  readonly cacheTokens: number
}

/** One completion in progress. */
export interface Sequence {
  readonly id: string
  readonly model: string
  readonly prefixKey: string
  /** Lower values are served first. */
  readonly priority: number
  readonly promptTokens: number
  /** Length of the whole completion, including the tokens before a resume. */
  readonly outputTokens: number
  /** Index of the next token to generate. */
  nextTokenIndex: number
  /** Prompt tokens that are not prefilled yet. */
  remainingPromptTokens: number
  readonly emitToken: (index: number, isLast: boolean) => void
}

/** Prompt tokens prefilled per decoding step, over all sequences. */
const PREFILL_CHUNK_TOKENS = 256
/** Part of the prefill that a prefix cache hit saves. */
const CACHE_HIT_SAVING = 0.7
const CHARACTERS_PER_TOKEN = 4

/**
 * Estimates the number of tokens in a prompt by its length, as the daemons do.
 *
 * @example
 * estimateTokens('How do I fit a hinge clamp?')
 */
export function estimateTokens (prompt: string): number {
  return Math.ceil(prompt.length / CHARACTERS_PER_TOKEN)
}

/** Running and waiting sequences of one engine. */
export class SequenceBatch {
  private waiting: Sequence[] = []
  private readonly running = new Set<Sequence>()
  private readonly prefixCache = new Map<string, number>()
  private cachedTokens = 0
  private isStepping = false
  private stepMs: number

  private constructor (private readonly options: BatchingOptions, private readonly clock: Clock) {
    this.stepMs = options.baseStepMs
  }

  /**
   * @example
   * const batch = SequenceBatch.create(options, clock)
   */
  static create (options: BatchingOptions, clock: Clock): SequenceBatch {
    return new SequenceBatch(options, clock)
  }

  /** Reads the load in the form in which the engine reports it. */
  readLoad () {
    const sequences = [...this.running, ...this.waiting]
    return {
      running: this.running.size,
      waiting: this.waiting.length,
      waitingPromptTokens: Math.ceil(sequences.reduce((sum, sequence) => sum + sequence.remainingPromptTokens, 0)),
      stepMs: Number(this.stepMs.toFixed(2)),
      prefillTokensPerSecond: this.options.prefillTokensPerSecond,
      maxBatch: this.options.maxBatch
    }
  }

  /** Lists the keys of the cached prefixes. */
  listCachedPrefixes (): string[] {
    return [...this.prefixCache.keys()]
  }

  /** Whether a model has running or waiting sequences. */
  isBusy (model: string): boolean {
    return [...this.running, ...this.waiting].some((sequence) => sequence.model === model)
  }

  /** Queues a sequence; a prefix cache hit shortens its prefill. */
  addSequence (sequence: Sequence): void {
    if (this.prefixCache.has(sequence.prefixKey)) sequence.remainingPromptTokens *= 1 - CACHE_HIT_SAVING
    this.waiting.push(sequence)
    this.waiting.sort((a, b) => a.priority - b.priority)
    if (!this.isStepping) this.runSteps()
  }

  /** Removes a running or waiting sequence. */
  removeSequence (sequence: Sequence): void {
    this.running.delete(sequence)
    this.waiting = this.waiting.filter((other) => other !== sequence)
  }

  /** Drops all sequences and the prefix cache, as a crash does. */
  clear (): void {
    this.waiting = []
    this.running.clear()
    this.prefixCache.clear()
    this.cachedTokens = 0
  }

  private async runSteps (): Promise<void> {
    this.isStepping = true
    // Each step is timed from the planned end of the one before, so that late timers do not add up.
    let stepEndMs = this.clock.readMonotonicMs()
    while (this.running.size + this.waiting.length > 0) {
      this.admitWaiting()
      const prefilledTokens = this.prefillChunk()
      const decoding = [...this.running].filter((sequence) => sequence.remainingPromptTokens <= 0)
      this.stepMs = this.options.baseStepMs + this.options.sequenceStepMs * decoding.length
      stepEndMs += this.stepMs + prefilledTokens * 1_000 / this.options.prefillTokensPerSecond
      const delayMs = stepEndMs - this.clock.readMonotonicMs()
      if (delayMs > 0) await this.clock.waitFor(delayMs)
      for (const sequence of decoding) this.decodeToken(sequence)
    }
    this.stepMs = this.options.baseStepMs
    this.isStepping = false
  }

  private admitWaiting (): void {
    while (this.running.size < this.options.maxBatch && this.waiting.length > 0) this.running.add(this.waiting.shift()!)
  }

  /** Prefills up to one chunk of prompt tokens, by priority; returns the number of tokens. */
  private prefillChunk (): number {
    let budgetTokens = PREFILL_CHUNK_TOKENS
    const prefilling = [...this.running].filter((sequence) => sequence.remainingPromptTokens > 0).sort((a, b) => a.priority - b.priority)
    for (const sequence of prefilling) {
      if (budgetTokens <= 0) break
      const processedTokens = Math.min(budgetTokens, sequence.remainingPromptTokens)
      sequence.remainingPromptTokens -= processedTokens
      budgetTokens -= processedTokens
      if (sequence.remainingPromptTokens <= 0) this.cachePrefix(sequence)
    }
    return PREFILL_CHUNK_TOKENS - budgetTokens
  }

  /** Puts a prefix into the cache as the newest, and evicts the oldest ones beyond its size. */
  private cachePrefix (sequence: Sequence): void {
    const previousTokens = this.prefixCache.get(sequence.prefixKey) ?? 0
    this.prefixCache.delete(sequence.prefixKey)
    this.prefixCache.set(sequence.prefixKey, sequence.promptTokens)
    this.cachedTokens += sequence.promptTokens - previousTokens
    while (this.cachedTokens > this.options.cacheTokens && this.prefixCache.size > 1) {
      const [oldest, tokens] = this.prefixCache.entries().next().value!
      this.prefixCache.delete(oldest)
      this.cachedTokens -= tokens
    }
  }

  private decodeToken (sequence: Sequence): void {
    if (!this.running.has(sequence)) return
    const index = sequence.nextTokenIndex
    sequence.nextTokenIndex += 1
    const isLast = sequence.nextTokenIndex >= sequence.outputTokens
    if (isLast) this.running.delete(sequence)
    sequence.emitToken(index, isLast)
  }
}

const PREFIX_CHARACTERS = 512
const PREFIX_KEY_DIGITS = 16

/**
 * Makes the cache key of a prompt's prefix, the same one as the daemons.
 *
 * @example
 * hashPrefix('manual-3', prompt)
 */
export function hashPrefix (model: string, prompt: string): string {
  return createHash('sha256').update(`${model}/${prompt.slice(0, PREFIX_CHARACTERS)}`).digest('hex').slice(0, PREFIX_KEY_DIGITS)
}
