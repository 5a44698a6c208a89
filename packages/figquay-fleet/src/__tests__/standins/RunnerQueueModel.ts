/** Queueing model of a runner: prompts are processed in chunks between the decode steps of running streams. */

/** A stream at a runner. */
export interface ModelStream {
  readonly promptTokens: number
  readonly sharedTokens: number
  /** Prompt part that other streams share. */
  readonly sharedPart: string
  readonly events: number
  readonly noteFirstEvent: (nowMs: number) => void
  readonly noteEnd: (longestPauseMs: number) => void
}

interface RunningStream {
  readonly stream: ModelStream
  tokensLeft: number
  steps: number
  events: number
  lastEventAtMs: number
  longestPauseMs: number
}

const CHUNK_TOKENS = 2_048
const TOKENS_PER_MS = 38
const STEP_MS = 5
const STEPS_PER_EVENT = 6
const MAX_CACHED_PARTS = 10

/** A runner whose work takes `readSlowdown` times as long as usual. */
export class RunnerQueueModel {
  private readonly waiting: RunningStream[] = []
  private readonly decoding = new Set<RunningStream>()
  private readonly cachedParts = new Set<string>()
  private stepEndMs = Number.NEGATIVE_INFINITY
  /** Prompt tokens processed. */
  processedTokens = 0

  constructor (readonly readSlowdown: (nowMs: number) => number, private readonly slots: number) {}

  addStream (stream: ModelStream, nowMs: number): void {
    this.waiting.push({ stream, tokensLeft: stream.promptTokens, steps: 0, events: 0, lastEventAtMs: nowMs, longestPauseMs: 0 })
  }

  /** Runs the steps that end until a time. */
  runUntil (nowMs: number): void {
    if (this.stepEndMs < nowMs && this.waiting.length + this.decoding.size === 0) this.stepEndMs = nowMs
    while (this.stepEndMs < nowMs && this.waiting.length + this.decoding.size > 0) this.runStep()
  }

  private runStep (): void {
    const [first] = this.decoding.size < this.slots ? this.waiting : []
    if (first !== undefined && first.tokensLeft === first.stream.promptTokens && this.cachedParts.has(first.stream.sharedPart)) first.tokensLeft -= first.stream.sharedTokens
    const chunk = Math.min(CHUNK_TOKENS, first?.tokensLeft ?? 0)
    this.stepEndMs += this.readSlowdown(this.stepEndMs) * (chunk / TOKENS_PER_MS + (this.decoding.size > 0 || chunk === 0 ? STEP_MS : 0))
    for (const running of this.decoding) this.decode(running)
    if (first === undefined) return
    this.processedTokens += chunk
    first.tokensLeft -= chunk
    if (first.tokensLeft > 0) return
    this.waiting.shift()
    this.decoding.add(first)
    this.cachedParts.delete(first.stream.sharedPart)
    this.cachedParts.add(first.stream.sharedPart)
    if (this.cachedParts.size > MAX_CACHED_PARTS) this.cachedParts.delete(this.cachedParts.values().next().value!)
  }

  private decode (running: RunningStream): void {
    running.steps += 1
    if (running.steps % STEPS_PER_EVENT > 0) return
    if (running.events === 0) running.stream.noteFirstEvent(this.stepEndMs)
    else running.longestPauseMs = Math.max(running.longestPauseMs, this.stepEndMs - running.lastEventAtMs)
    running.lastEventAtMs = this.stepEndMs
    running.events += 1
    if (running.events < running.stream.events) return
    this.decoding.delete(running)
    running.stream.noteEnd(running.longestPauseMs)
  }
}
