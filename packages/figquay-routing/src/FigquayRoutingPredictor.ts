/** Predicts the time until a runner sends the first token of a request. */
import type { Clock } from 'figquay'
import type { RoutedRequest } from './FigquayRoutingTypes.js'
import type { PrefillEstimator } from './FigquayRoutingReservations.js'
import type { RunnerReport, RunnerTable } from './FigquayRoutingRunnerTable.js'

/** Fraction of a prompt that a runner still has to process when it has the prefix cached. */
const UNCACHED_FRACTION = 0.3
const MAX_TRACKED_PREFIXES = 5_000
/** Time after which a cached prefix appears in the engine's reports, in milliseconds. */
const MAX_REPORT_LAG_MS = 2_000
const INITIAL_SERVICE_MS = 1_500
const SERVICE_SMOOTHING_FACTOR = 0.1
/** Pessimistic, as a daemon that has just started has no observations and should refuse requests rather than serve them late. */
const INITIAL_CORRECTION = 1.6
const CORRECTION_STEP = 0.08
/** Fraction of the requests whose first token arrives no later than predicted. */
const TARGET_QUANTILE = 0.9
const MIN_OBSERVATION_MS = 300
const MIN_CORRECTION = 0.7
const MAX_CORRECTION = 3
/** Engine steps between the end of prompt processing and the first token at the caller. */
const STEPS_TO_FIRST_TOKEN = 2
const MS_PER_SECOND = 1_000

/** Predicts from runner reports, this daemon's own requests and the prefixes that runners have processed. */
export class FirstTokenPredictor implements PrefillEstimator {
  /** Time at which a runner last processed a prefix, by runner and prefix key. */
  private readonly prefixProcessedAtMs = new Map<string, number>()
  private meanServiceMs = INITIAL_SERVICE_MS
  /** Factor on the computed time that keeps the target fraction of the observed times below the prediction. */
  private correctionFactor = INITIAL_CORRECTION

  private constructor (private readonly table: RunnerTable, private readonly clock: Clock) {}

  /**
   * @example
   * const predictor = FirstTokenPredictor.create(table, clock)
   */
  static create (table: RunnerTable, clock: Clock): FirstTokenPredictor {
    return new FirstTokenPredictor(table, clock)
  }

  /**
   * Predicted milliseconds from sending a request to its first token.
   *
   * @param queuedTokens Prompt tokens that are sent to the runner before this request.
   * @example
   * predictor.predictFirstTokenMs(report, request, 0)
   */
  predictFirstTokenMs (report: RunnerReport, request: RoutedRequest, queuedTokens: number): number {
    return this.predictPrefillMs(report, this.table.sumPendingPromptTokens(report) + queuedTokens + this.estimatePrefillTokens(report.runner, request.prefixKey, request.promptTokens))
  }

  /**
   * Predicted milliseconds until a runner has processed this many prompt tokens and sent the first token after them.
   *
   * @example
   * predictor.predictPrefillMs(report, 12_000)
   */
  predictPrefillMs (report: RunnerReport, pendingTokens: number): number {
    const processingMs = pendingTokens * MS_PER_SECOND / report.state.load.prefillTokensPerSecond
    return this.correctionFactor * (processingMs + this.estimateOverheadMs(report))
  }

  /**
   * Most prompt tokens that may be pending on a runner for the first token to arrive within `firstTokenMs`.
   *
   * @example
   * predictor.computeTokenBudget(report, 1_200)
   */
  computeTokenBudget (report: RunnerReport, firstTokenMs: number): number {
    const processingMs = firstTokenMs / this.correctionFactor - this.estimateOverheadMs(report)
    return Math.floor(processingMs * report.state.load.prefillTokensPerSecond / MS_PER_SECOND)
  }

  /** Time to wait for a batch slot, plus the engine steps after the prompt. */
  private estimateOverheadMs (report: RunnerReport): number {
    const { load } = report.state
    const excess = Math.max(0, this.table.countInFlight(report) - load.maxBatch + 1)
    const slotMs = excess * this.meanServiceMs / load.maxBatch
    return slotMs + load.stepMs * STEPS_TO_FIRST_TOKEN
  }

  /**
   * Updates the correction factor from an observed time, so that nine in ten requests are no later than predicted.
   *
   * @example
   * predictor.recordFirstToken(entry.predictedMs, 420)
   */
  recordFirstToken (predictedMs: number, actualMs: number): void {
    // Short times are dominated by rounding and never affect admission.
    if (Math.max(predictedMs, actualMs) < MIN_OBSERVATION_MS) return
    const step = actualMs > predictedMs ? TARGET_QUANTILE : TARGET_QUANTILE - 1
    const next = this.correctionFactor + CORRECTION_STEP * step
    this.correctionFactor = Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, next))
  }

  /** Predicted milliseconds from the first token to the last. */
  predictDecodeMs (report: RunnerReport, request: RoutedRequest): number {
    return request.maxOutputTokens * report.state.load.stepMs
  }

  /** Prompt tokens that a runner would have to process, without those in its cache. */
  estimatePrefillTokens (runner: string, prefixKey: string, promptTokens: number): number {
    const processedAtMs = this.prefixProcessedAtMs.get(`${runner}/${prefixKey}`) ?? Number.NEGATIVE_INFINITY
    // A prefix processed longer ago may have been evicted; then only the engine's report counts.
    const isRecent = this.clock.readMonotonicMs() - processedAtMs < MAX_REPORT_LAG_MS
    const isCached = isRecent || this.isReportedCached(runner, prefixKey)
    return Math.ceil(promptTokens * (isCached ? UNCACHED_FRACTION : 1))
  }

  /** Whether the runner's report lists a prefix as cached, which includes prefixes from requests of other daemons. */
  private isReportedCached (runner: string, prefixKey: string): boolean {
    return this.table.findReport(runner)?.state.cachedPrefixes.includes(prefixKey) ?? false
  }

  /** Records that a runner has processed a prompt with this prefix. */
  recordPrefix (runner: string, prefixKey: string): void {
    const key = `${runner}/${prefixKey}`
    this.prefixProcessedAtMs.delete(key)
    this.prefixProcessedAtMs.set(key, this.clock.readMonotonicMs())
    if (this.prefixProcessedAtMs.size > MAX_TRACKED_PREFIXES) this.prefixProcessedAtMs.delete(this.prefixProcessedAtMs.keys().next().value!)
  }

  /** Records the duration of an exchange with a runner. */
  recordServiceTime (durationMs: number): void {
    this.meanServiceMs += SERVICE_SMOOTHING_FACTOR * (durationMs - this.meanServiceMs)
  }
}
