/** Continuous batching of one stand-in engine: prompts are processed in chunks between decoding steps. */
import { createHash } from 'node:crypto'
import type { Clock } from 'figquay'

/** Speed of an engine. */
export interface BatchingOptions {
  readonly maxBatch: number
  /** Step of an empty batch, in milliseconds. */
  readonly baseStepMs: number
  /** Added to a step for each sequence, in milliseconds. */
  readonly sequenceStepMs: number
  readonly prefillTokensPerSecond: number
  /** Prompt tokens whose prefixes stay cached. */
  readonly cacheTokens: number
}

/** One completion in progress. */
export interface Sequence {
  readonly id: string
  readonly model: string
  readonly prefixKey: string
  readonly priority: number
  readonly promptTokens: number
  /** Tokens to generate in all. */
  readonly outputTokens: number
  /** Index of the next token. */
  next: number
  leftPromptTokens: number
  readonly emitToken: (index: number, isLast: boolean) => void
}

/** Prompt tokens processed between two steps. */
const PREFILL_CHUNK = 256
const CACHED_PART = 0.7
const CHARACTERS_PER_TOKEN = 4

/**
 * Tokens of a prompt, the way the daemons estimate them.
 *
 * @example
 * countTokens('How do I fit a hinge clamp?')
 */
export function countTokens (prompt: string): number {
  return Math.ceil(prompt.length / CHARACTERS_PER_TOKEN)
}

/** The batch of one engine. */
export class SequenceBatch {
  private waiting: Sequence[] = []
  private readonly running = new Set<Sequence>()
  private readonly cache = new Map<string, number>()
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

  /** Load as an engine reports it. */
  readLoad () {
    const all = [...this.running, ...this.waiting]
    return {
      running: this.running.size,
      waiting: this.waiting.length,
      waitingPromptTokens: Math.ceil(all.reduce((sum, sequence) => sum + sequence.leftPromptTokens, 0)),
      stepMs: Number(this.stepMs.toFixed(2)),
      prefillTokensPerSecond: this.options.prefillTokensPerSecond,
      maxBatch: this.options.maxBatch
    }
  }

  /** Beginnings of prompts that are cached. */
  listCached (): string[] {
    return [...this.cache.keys()]
  }

  /** Whether a model has sequences. */
  isBusy (model: string): boolean {
    return [...this.running, ...this.waiting].some((sequence) => sequence.model === model)
  }

  /** Adds a sequence; the beginning of its prompt may be cached. */
  addSequence (sequence: Sequence): void {
    if (this.cache.has(sequence.prefixKey)) sequence.leftPromptTokens *= 1 - CACHED_PART
    this.waiting.push(sequence)
    this.waiting.sort((a, b) => a.priority - b.priority)
    if (!this.isStepping) this.runSteps()
  }

  /** Takes a sequence out, wherever it is. */
  removeSequence (sequence: Sequence): void {
    this.running.delete(sequence)
    this.waiting = this.waiting.filter((other) => other !== sequence)
  }

  /** Drops everything, as a crash does. */
  clear (): void {
    this.waiting = []
    this.running.clear()
    this.cache.clear()
    this.cachedTokens = 0
  }

  private async runSteps (): Promise<void> {
    this.isStepping = true
    let due = this.clock.readMonotonicMs()
    while (this.running.size + this.waiting.length > 0) {
      this.admitWaiting()
      const prefilled = this.prefillChunk()
      const decoding = [...this.running].filter((sequence) => sequence.leftPromptTokens <= 0)
      this.stepMs = this.options.baseStepMs + this.options.sequenceStepMs * decoding.length
      due += this.stepMs + prefilled * 1_000 / this.options.prefillTokensPerSecond
      const pause = due - this.clock.readMonotonicMs()
      if (pause > 0) await this.clock.waitFor(pause)
      for (const sequence of decoding) this.decodeToken(sequence)
    }
    this.stepMs = this.options.baseStepMs
    this.isStepping = false
  }

  private admitWaiting (): void {
    while (this.running.size < this.options.maxBatch && this.waiting.length > 0) this.running.add(this.waiting.shift()!)
  }

  /** Processes prompt tokens of the sequences that came first; returns how many. */
  private prefillChunk (): number {
    let left = PREFILL_CHUNK
    const prefilling = [...this.running].filter((sequence) => sequence.leftPromptTokens > 0).sort((a, b) => a.priority - b.priority)
    for (const sequence of prefilling) {
      if (left <= 0) break
      const part = Math.min(left, sequence.leftPromptTokens)
      sequence.leftPromptTokens -= part
      left -= part
      if (sequence.leftPromptTokens <= 0) this.cachePrefix(sequence)
    }
    return PREFILL_CHUNK - left
  }

  private cachePrefix (sequence: Sequence): void {
    const known = this.cache.get(sequence.prefixKey) ?? 0
    this.cache.delete(sequence.prefixKey)
    this.cache.set(sequence.prefixKey, sequence.promptTokens)
    this.cachedTokens += sequence.promptTokens - known
    while (this.cachedTokens > this.options.cacheTokens && this.cache.size > 1) {
      const [oldest, tokens] = this.cache.entries().next().value!
      this.cache.delete(oldest)
      this.cachedTokens -= tokens
    }
  }

  private decodeToken (sequence: Sequence): void {
    if (!this.running.has(sequence)) return
    const index = sequence.next
    sequence.next += 1
    const isLast = sequence.next >= sequence.outputTokens
    if (isLast) this.running.delete(sequence)
    sequence.emitToken(index, isLast)
  }
}

const PREFIX_CHARACTERS = 512
const PREFIX_DIGITS = 16

/**
 * Key of the beginning of a prompt.
 *
 * @example
 * hashPrefix('manual-3@v1', prompt)
 */
export function hashPrefix (model: string, prompt: string): string {
  return createHash('sha256').update(`${model}/${prompt.slice(0, PREFIX_CHARACTERS)}`).digest('hex').slice(0, PREFIX_DIGITS)
}
