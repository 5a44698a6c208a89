/** Serves completions: queues a request for a runner, streams the response, and resumes it after a failure. */
import { hashText, Refusal, type Clock, type Logger } from 'figquay'
import type { CompletionEvent, EngineClient, CompletionFailure } from 'figquay-upstreams'
import type { CompletionReport, CompletionSink, RoutedRequest } from './FigquayRoutingTypes.js'
import type { CrashAttribution, CrashQuarantine } from './FigquayRoutingCrashQuarantine.js'
import type { Assignment } from './FigquayRoutingAssignments.js'
import type { Dispatcher } from './FigquayRoutingDispatcher.js'
import type { FirstTokenPredictor } from './FigquayRoutingPredictor.js'
import type { RetryBudget } from './FigquayRoutingRetryBudget.js'
import type { RunnerReport, RunnerTable } from './FigquayRoutingRunnerTable.js'
import type { RequestTraces } from './FigquayRoutingTrace.js'

/** Loads an adapter on a runner unless it is ready there; resolves to false when it cannot be loaded. */
export type AdapterLoader = (runner: string, model: string, adapter: string) => Promise<boolean>

/** Dependencies of the completion router. */
export interface CompletionRouterOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly engines: EngineClient
  readonly dispatcher: Dispatcher
  readonly table: RunnerTable
  readonly predictor: FirstTokenPredictor
  readonly retryBudget: RetryBudget
  readonly quarantine: CrashQuarantine
  readonly traces: RequestTraces
  /** Polls a runner at once; true when it answers and has not restarted since its last report. */
  readonly probeRunner: (runner: string) => Promise<boolean>
  /** Records a crash against a request and broadcasts it to all peers. */
  readonly reportCrash: (charge: CrashAttribution) => void
  readonly loadAdapter: AdapterLoader
  /** Acquires the permit that a crash suspect needs to run on a runner; false while another suspect holds it. */
  readonly acquirePermit: (runner: string, requestId: string) => Promise<boolean>
  /** Releases the permit. */
  readonly releasePermit: (runner: string, requestId: string) => void
  /** Scheduling rank passed to the engine; lower ranks go first. */
  readonly readRank: (request: RoutedRequest) => number
  /** Ids of the versions that may serve a model, the current version first. */
  readonly listModelIds: (model: string) => readonly string[]
}

/** State of one request across its attempts. */
interface RequestProgress {
  readonly request: RoutedRequest
  readonly sink: CompletionSink
  readonly signal: AbortSignal
  /** Chunks passed to the caller; the next attempt resumes after them. */
  chunks: number
  retries: number
  /** Attempts that certainly did not run. */
  declinedAttempts: number
  firstTokenMs: number | undefined
  /** Whether the latest chunk carried a finish reason. */
  isFinished: boolean
  /** When the current attempt was sent. */
  sentAtMs: number
  /** Whether any attempt may have reached an upstream. */
  mayHaveRun: boolean
}

type AttemptResult = 'done' | 'cancelled' | 'waiting' | CompletionFailure

const MAX_RETRIES = 4
const MAX_DECLINED_ATTEMPTS = 10
const DECLINED_RETRY_DELAY_MS = 50
const PERMIT_RETRY_DELAY_MS = 100
const FAILED_RETRY_AFTER_MS = 1_000

/** Routes completions to runners and retries failed attempts. */
export class CompletionRouter {
  private constructor (private readonly options: CompletionRouterOptions) {}

  /**
   * @example
   * const router = CompletionRouter.create(options)
   */
  static create (options: CompletionRouterOptions): CompletionRouter {
    return new CompletionRouter(options)
  }

  /**
   * Serves a request. A refusal states whether the request may have run.
   *
   * @example
   * const result = await router.serveRequest(request, sink, signal)
   */
  async serveRequest (request: RoutedRequest, sink: CompletionSink, signal: AbortSignal): Promise<CompletionReport | Refusal> {
    this.options.retryBudget.recordRequest()
    const progress: RequestProgress = { request, sink, signal, chunks: 0, retries: 0, declinedAttempts: 0, firstTokenMs: undefined, isFinished: false, sentAtMs: 0, mayHaveRun: false }
    while (!signal.aborted) {
      const result = await this.runAttempt(progress)
      if (result === 'done') return this.makeReport(progress)
      if (result === 'cancelled') break
      if (result === 'waiting') continue
      if (result instanceof Refusal) return progress.mayHaveRun ? markExecutionUnknown(result) : result
      const refusal = await this.prepareRetry(progress, result)
      if (refusal !== undefined) return refusal
    }
    return Refusal.create('bad_request', 'the caller disconnected', { execution: progress.mayHaveRun ? 'unknown' : 'not-run' })
  }

  private async runAttempt (progress: RequestProgress): Promise<AttemptResult | Refusal> {
    const { request, signal } = progress
    const assignment = await this.options.dispatcher.assignRunner({
      request,
      modelIds: this.options.listModelIds(request.model.name),
      hasStarted: progress.chunks > 0 || progress.mayHaveRun,
      signal
    })
    if (assignment instanceof Refusal) {
      this.options.traces.addEvent(request.requestId, 'refused', `${assignment.code}: ${assignment.message}`)
      return assignment
    }
    return assignment.isSuspect ? await this.runSuspect(progress, assignment) : await this.runNonSuspect(progress, assignment)
  }

  /** Runs a request that was in flight at a crash only while no other such request runs on the runner. */
  private async runSuspect (progress: RequestProgress, assignment: Assignment): Promise<AttemptResult> {
    const { report: { runner } } = assignment
    const { requestId } = progress.request
    if (!await this.options.acquirePermit(runner, requestId)) {
      assignment.release()
      await this.options.clock.waitFor(PERMIT_RETRY_DELAY_MS, progress.signal)
      return 'waiting'
    }
    try {
      return await this.runAssigned(progress, assignment)
    } finally {
      this.options.releasePermit(runner, requestId)
    }
  }

  private async runNonSuspect (progress: RequestProgress, assignment: Assignment): Promise<AttemptResult> {
    const { request: { fingerprint, requestId } } = progress
    try {
      return await this.runAssigned(progress, assignment)
    } finally {
      // If another copy of the request was in flight at a crash meanwhile, this one was recorded as running.
      const isSuspect = this.options.quarantine.isSuspect(fingerprint, this.options.clock.readMonotonicMs())
      if (isSuspect) this.options.releasePermit(assignment.report.runner, requestId)
    }
  }

  private async runAssigned (progress: RequestProgress, assignment: Assignment): Promise<AttemptResult> {
    const { request } = progress
    const startedAtMs = this.options.clock.readMonotonicMs()
    this.options.traces.addEvent(request.requestId, 'sent', `to ${assignment.report.runner}, from chunk ${progress.chunks}`)
    try {
      return await this.runExchange(progress, assignment)
    } finally {
      assignment.release()
      this.options.predictor.recordServiceTime(this.options.clock.readMonotonicMs() - startedAtMs)
    }
  }

  private async runExchange (progress: RequestProgress, assignment: Assignment): Promise<AttemptResult> {
    const { request, signal } = progress
    const { report } = assignment
    if (!await this.ensureAdapter(request, report)) return { sent: 'never', reason: 'refused', message: `adapter ${request.adapter} cannot be loaded on ${report.runner}` }
    if (signal.aborted) return 'cancelled'
    const modelId = this.options.listModelIds(request.model.name).find((id) => report.state.models.some((model) => model.id === id)) ?? request.model.name
    progress.sentAtMs = this.options.clock.readMonotonicMs()
    const events = this.options.engines.streamCompletion(report.url, {
      requestId: request.requestId,
      path: request.path,
      body: request.body,
      model: request.adapter === undefined ? modelId : `${modelId}:${request.adapter}`,
      priority: this.options.readRank(request),
      resumeFrom: progress.chunks
    }, signal)
    for await (const event of events) {
      const result = await this.handleEvent(event, progress, assignment)
      if (result !== undefined) return await this.handleFailure(result, progress, assignment)
    }
    return 'cancelled'
  }

  private async ensureAdapter (request: RoutedRequest, report: RunnerReport): Promise<boolean> {
    if (request.adapter === undefined) return true
    const id = `${request.model.name}:${request.adapter}`
    const isReady = report.state.adapters.some((adapter) => adapter.id === id && adapter.phase === 'ready')
    return isReady || await this.options.loadAdapter(report.runner, request.model.name, request.adapter)
  }

  /** Handles one event and forwards chunks to the caller; returns the result when the attempt has ended. */
  private async handleEvent (event: CompletionEvent, progress: RequestProgress, assignment: Assignment): Promise<AttemptResult | undefined> {
    const { entry, report } = assignment
    if (event.type === 'alive') {
      progress.mayHaveRun = true
      return undefined
    }
    if (event.type === 'failed') return progress.signal.aborted ? 'cancelled' : event.failure
    if (event.type === 'done') return progress.isFinished ? 'done' : { sent: 'maybe', reason: 'truncated', message: 'the stream ended without a finish reason' }
    if (progress.firstTokenMs === undefined) progress.firstTokenMs = this.options.clock.readMonotonicMs() - progress.request.arrivedAtMs
    if (!entry.hasFirstToken) {
      assignment.recordFirstToken()
      if (!entry.isBatch) this.options.predictor.recordFirstToken(entry.predictedMs, this.options.clock.readMonotonicMs() - progress.sentAtMs)
      this.options.predictor.recordPrefix(report.runner, progress.request.prefixKey)
    }
    progress.chunks += 1
    progress.isFinished = hasFinishReason(event.data)
    await progress.sink.writeChunk(event.data)
    return undefined
  }

  /** Probes the runner after a failed exchange; if its process is gone, attributes the crash to the request. */
  private async handleFailure (result: AttemptResult, progress: RequestProgress, { report }: Assignment): Promise<AttemptResult> {
    if (typeof result === 'string' || result.reason === 'invalid') return result
    if (result.sent === 'maybe') progress.mayHaveRun = true
    this.options.traces.addEvent(progress.request.requestId, 'failed', `${report.runner}: ${result.reason}, ${result.message}`)
    if (result.reason === 'silent') return result
    this.options.table.startCooldown(report.runner)
    const isSameProcess = await this.options.probeRunner(report.runner)
    if (result.reason === 'refused') return result
    if (!isSameProcess && result.sent === 'maybe') this.attributeCrash(progress.request, report)
    return result
  }

  private attributeCrash (request: RoutedRequest, report: RunnerReport): void {
    const upstream = `${report.runner}/${report.state.bootId}`
    this.options.logger.warn('upstream crashed with a request in flight', { upstream, request: request.requestId })
    this.options.reportCrash({ fingerprint: request.fingerprint, upstream })
  }

  /** Returns undefined when the request may be retried, else the final refusal. */
  private async prepareRetry (progress: RequestProgress, failure: CompletionFailure): Promise<Refusal | undefined> {
    const execution = progress.mayHaveRun || failure.sent === 'maybe' ? 'unknown' : 'not-run'
    if (failure.reason === 'invalid') return Refusal.create('bad_request', failure.message, { execution: 'not-run' })
    if (!this.consumeRetry(progress, failure)) {
      return Refusal.create('upstream_failed', `${failure.reason}: ${failure.message}`, { execution, retryAfterMs: FAILED_RETRY_AFTER_MS })
    }
    if (failure.sent === 'never') await this.options.clock.waitFor(DECLINED_RETRY_DELAY_MS, progress.signal)
    return undefined
  }

  /** An attempt that did not run puts no load on the upstream, so it does not consume the retry budget. */
  private consumeRetry (progress: RequestProgress, failure: CompletionFailure): boolean {
    if (failure.sent === 'never') {
      progress.declinedAttempts += 1
      return progress.declinedAttempts <= MAX_DECLINED_ATTEMPTS
    }
    progress.retries += 1
    return progress.retries <= MAX_RETRIES && this.options.retryBudget.tryConsumeRetry()
  }

  private makeReport (progress: RequestProgress): CompletionReport {
    const totalMs = this.options.clock.readMonotonicMs() - progress.request.arrivedAtMs
    this.options.quarantine.clearRequest(progress.request.fingerprint)
    this.options.traces.addEvent(progress.request.requestId, 'answered', `${progress.chunks} chunks in ${Math.round(totalMs)} ms`)
    return { firstTokenMs: progress.firstTokenMs ?? totalMs, totalMs, chunks: progress.chunks, retries: progress.retries }
  }
}

/** A refusal after an attempt that may have reached an upstream must not claim `not-run`. */
function markExecutionUnknown (refusal: Refusal): Refusal {
  return Refusal.create(refusal.code, refusal.message, { execution: 'unknown', retryAfterMs: refusal.retryAfterMs })
}

/** Whether any choice of a chunk has a finish reason, which ends the response. */
function hasFinishReason (chunk: Readonly<Record<string, unknown>>): boolean {
  const choices = chunk['choices'] as Array<{ finish_reason?: string | null }> | undefined
  return choices?.some((choice) => choice.finish_reason !== undefined && choice.finish_reason !== null) ?? false
}

const PREFIX_KEY_LENGTH = 16
/** Characters at the start of a prompt that its affinity key covers. */
const PREFIX_LENGTH_CHARS = 512

/**
 * Returns the affinity key of a prompt: a hash of the model and the start of the prompt. Requests with the same
 * key prefer the same runners, which are likely to have that prefix cached.
 *
 * @example
 * makePrefixKey('manual-3', promptText)
 */
export function makePrefixKey (model: string, prompt: string): string {
  return hashText(`${model}/${prompt.slice(0, PREFIX_LENGTH_CHARS)}`).slice(0, PREFIX_KEY_LENGTH)
}
