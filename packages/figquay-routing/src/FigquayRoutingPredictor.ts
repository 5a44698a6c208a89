/** Predicts when a runner would give the first token of a request. */
import type { Clock } from 'figquay'
import type { RoutedRequest } from './FigquayRoutingTypes.js'
import type { PromptEstimator } from './FigquayRoutingReservations.js'
import type { RunnerReport, RunnerTable } from './FigquayRoutingRunnerTable.js'

/** Part of a prompt that a runner still has to process when it has seen its beginning before. */
const UNCACHED_PART = 0.3
const REMEMBERED_PREFIXES = 5_000
/** A prefix that was cached is in the engine's reports after this time, in milliseconds. */
const REPORT_LAG_MS = 2_000
const FIRST_SERVICE_MS = 1_500
const SERVICE_WEIGHT = 0.1
/** A daemon that has just started has learnt nothing, and should rather refuse than be late. */
const FIRST_CORRECTION = 1.6
const CORRECTION_STEP = 0.08
/** Part of the requests whose first token comes no later than predicted. */
const COVERED_PART = 0.9
const SHORTEST_LESSON_MS = 300
const LOWEST_CORRECTION = 0.7
const HIGHEST_CORRECTION = 3
/** Steps between the end of the prompt and the first token at the caller. */
const STEPS_TO_FIRST_TOKEN = 2
const MS_PER_SECOND = 1_000

/** Predictions from reports, own requests and prefixes seen. */
export class FirstTokenPredictor implements PromptEstimator {
  /** When a runner last processed a prefix. */
  private readonly prefixes = new Map<string, number>()
  private meanServiceMs = FIRST_SERVICE_MS
  /** Factor on the formula under which most of what was seen stays. */
  private correction = FIRST_CORRECTION

  private constructor (private readonly table: RunnerTable, private readonly clock: Clock) {}

  /**
   * @example
   * const predictor = FirstTokenPredictor.create(table, clock)
   */
  static create (table: RunnerTable, clock: Clock): FirstTokenPredictor {
    return new FirstTokenPredictor(table, clock)
  }

  /**
   * Milliseconds from sending a request to its first token.
   *
   * @param queuedTokens Prompt tokens that will go to the runner before this request.
   * @example
   * predictor.predictFirstTokenMs(report, request, 0)
   */
  predictFirstTokenMs (report: RunnerReport, request: RoutedRequest, queuedTokens: number): number {
    return this.predictPendingMs(report, this.table.sumPendingPromptTokens(report) + queuedTokens + this.estimatePrompt(report.runner, request.prefixKey, request.promptTokens))
  }

  /**
   * Milliseconds until a runner has processed so many prompt tokens and given the token after them.
   *
   * @example
   * predictor.predictPendingMs(report, 12_000)
   */
  predictPendingMs (report: RunnerReport, pendingTokens: number): number {
    const processingMs = pendingTokens * MS_PER_SECOND / report.state.load.prefillTokensPerSecond
    return this.correction * (processingMs + this.estimateOverheadMs(report))
  }

  /**
   * Prompt tokens that may be pending on a runner for the first token to come within a time.
   *
   * @example
   * predictor.countTokensWithin(report, 1_200)
   */
  countTokensWithin (report: RunnerReport, firstTokenMs: number): number {
    const processingMs = firstTokenMs / this.correction - this.estimateOverheadMs(report)
    return Math.floor(processingMs * report.state.load.prefillTokensPerSecond / MS_PER_SECOND)
  }

  /** Waiting for a place in the batch, and the steps that follow the prompt. */
  private estimateOverheadMs (report: RunnerReport): number {
    const { load } = report.state
    const excess = Math.max(0, this.table.countActive(report) - load.maxBatch + 1)
    const slotMs = excess * this.meanServiceMs / load.maxBatch
    return slotMs + load.stepMs * STEPS_TO_FIRST_TOKEN
  }

  /**
   * Learns from what a prediction came to: the factor that nine in ten stay under.
   *
   * @example
   * predictor.noteFirstToken(entry.predictedMs, 420)
   */
  noteFirstToken (predictedMs: number, actualMs: number): void {
    // Short waits are mostly rounding, and never decide anything.
    if (Math.max(predictedMs, actualMs) < SHORTEST_LESSON_MS) return
    const step = actualMs > predictedMs ? COVERED_PART : COVERED_PART - 1
    const next = this.correction + CORRECTION_STEP * step
    this.correction = Math.min(HIGHEST_CORRECTION, Math.max(LOWEST_CORRECTION, next))
  }

  /** Milliseconds from the first token to the last. */
  predictDecodeMs (report: RunnerReport, request: RoutedRequest): number {
    return request.maxOutputTokens * report.state.load.stepMs
  }

  /** Prompt tokens that a runner would have to process. */
  estimatePrompt (runner: string, prefixKey: string, promptTokens: number): number {
    const processedAtMs = this.prefixes.get(`${runner}/${prefixKey}`) ?? Number.NEGATIVE_INFINITY
    // What was processed longer ago may have been evicted: then only the engine's word counts.
    const isRecent = this.clock.readMonotonicMs() - processedAtMs < REPORT_LAG_MS
    const cached = isRecent || this.isReportedCached(runner, prefixKey)
    return Math.ceil(promptTokens * (cached ? UNCACHED_PART : 1))
  }

  /** Requests of other daemons fill the cache too: the engine's own events tell. */
  private isReportedCached (runner: string, prefixKey: string): boolean {
    return this.table.findReport(runner)?.state.cachedPrefixes.includes(prefixKey) ?? false
  }

  /** Notes that a runner has processed a prompt. */
  notePrefix (runner: string, prefixKey: string): void {
    const key = `${runner}/${prefixKey}`
    this.prefixes.delete(key)
    this.prefixes.set(key, this.clock.readMonotonicMs())
    if (this.prefixes.size > REMEMBERED_PREFIXES) this.prefixes.delete(this.prefixes.keys().next().value!)
  }

  /** Notes how long an exchange took. */
  noteService (durationMs: number): void {
    this.meanServiceMs += SERVICE_WEIGHT * (durationMs - this.meanServiceMs)
  }
}
