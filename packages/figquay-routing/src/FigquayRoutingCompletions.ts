/** Serves one completion from admission to its last chunk: queue, send, watch, resume. */
import { hashText, Refusal, type Clock, type Logger } from 'figquay'
import type { CompletionEvent, EngineClient, EngineFailure } from 'figquay-upstreams'
import type { CompletionReport, CompletionSink, RoutedRequest } from './FigquayRoutingTypes.js'
import type { CrashCharge, CrashGuard } from './FigquayRoutingCrashGuard.js'
import type { Assignment } from './FigquayRoutingAssignments.js'
import type { Dispatcher } from './FigquayRoutingDispatcher.js'
import type { FirstTokenPredictor } from './FigquayRoutingPredictor.js'
import type { RetryBudget } from './FigquayRoutingRetryBudget.js'
import type { RunnerReport, RunnerTable } from './FigquayRoutingRunnerTable.js'
import type { RequestTraces } from './FigquayRoutingTrace.js'

/** Ensures that an adapter is ready on a runner; false when it cannot be. */
export type AdapterLoader = (runner: string, model: string, adapter: string) => Promise<boolean>

/** What the completion router needs. */
export interface CompletionRouterOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly engines: EngineClient
  readonly dispatcher: Dispatcher
  readonly table: RunnerTable
  readonly predictor: FirstTokenPredictor
  readonly retryBudget: RetryBudget
  readonly crashes: CrashGuard
  readonly traces: RequestTraces
  /** Asks a runner for its state; true when it is the same process as before. */
  readonly probeRunner: (runner: string) => Promise<boolean>
  /** Charges a request with a crash here and at all peers. */
  readonly chargeRequest: (charge: CrashCharge) => void
  readonly loadAdapter: AdapterLoader
  /** Takes the permit that a request needs which was in flight at a crash. */
  readonly takePermit: (runner: string, requestId: string) => Promise<boolean>
  /** Gives the permit back. */
  readonly returnPermit: (runner: string, requestId: string) => void
  /** Rank that the engine is told. */
  readonly readRank: (request: RoutedRequest) => number
  /** Model ids that serve a model, the current version first. */
  readonly listModelIds: (model: string) => readonly string[]
}

/** One request on its way, across its attempts. */
interface Progress {
  readonly request: RoutedRequest
  readonly sink: CompletionSink
  readonly signal: AbortSignal
  chunks: number
  retries: number
  /** Attempts that no runner took. */
  declined: number
  firstTokenMs: number | undefined
  isFinished: boolean
  /** When the current attempt was sent. */
  sentAtMs: number
  /** An attempt whose bytes may have reached an upstream. */
  maySent: boolean
}

type AttemptResult = 'done' | 'cancelled' | 'waiting' | EngineFailure

const MOST_RETRIES = 4
const MOST_DECLINED = 10
const UNREACHED_PAUSE_MS = 50
const PERMIT_PAUSE_MS = 100
const FAILED_RETRY_AFTER_MS = 1_000

/** Routes completions. */
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
   * Serves a request; the refusal says whether it was run.
   *
   * @example
   * const result = await router.serveRequest(request, sink, signal)
   */
  async serveRequest (request: RoutedRequest, sink: CompletionSink, signal: AbortSignal): Promise<CompletionReport | Refusal> {
    this.options.retryBudget.noteRequest()
    const progress: Progress = { request, sink, signal, chunks: 0, retries: 0, declined: 0, firstTokenMs: undefined, isFinished: false, sentAtMs: 0, maySent: false }
    while (!signal.aborted) {
      const result = await this.runAttempt(progress)
      if (result === 'done') return this.makeReport(progress)
      if (result === 'cancelled') break
      if (result === 'waiting') continue
      if (result instanceof Refusal) return progress.maySent ? restateRefusal(result) : result
      const refusal = await this.planRetry(progress, result)
      if (refusal !== undefined) return refusal
    }
    return Refusal.create('bad_request', 'the caller went away', { execution: progress.maySent ? 'unknown' : 'not-run' })
  }

  private async runAttempt (progress: Progress): Promise<AttemptResult | Refusal> {
    const { request, signal } = progress
    const assignment = await this.options.dispatcher.assignRunner({
      request,
      modelIds: this.options.listModelIds(request.model.name),
      hasStarted: progress.chunks > 0 || progress.maySent,
      signal
    })
    if (assignment instanceof Refusal) {
      this.options.traces.addEvent(request.requestId, 'refused', `${assignment.code}: ${assignment.message}`)
      return assignment
    }
    return assignment.isCharged ? await this.runSuspect(progress, assignment) : await this.runUnsuspected(progress, assignment)
  }

  /** A request that was in flight at a crash runs while no other such request does, or waits for its turn. */
  private async runSuspect (progress: Progress, assignment: Assignment): Promise<AttemptResult> {
    const { report: { runner } } = assignment
    const { requestId } = progress.request
    if (!await this.options.takePermit(runner, requestId)) {
      assignment.release()
      await this.options.clock.waitFor(PERMIT_PAUSE_MS, progress.signal)
      return 'waiting'
    }
    try {
      return await this.runAssigned(progress, assignment)
    } finally {
      this.options.returnPermit(runner, requestId)
    }
  }

  private async runUnsuspected (progress: Progress, assignment: Assignment): Promise<AttemptResult> {
    const { request: { fingerprint, requestId } } = progress
    try {
      return await this.runAssigned(progress, assignment)
    } finally {
      // Another copy of the request was charged meanwhile, so this one was noted as running.
      const isCharged = this.options.crashes.isCharged(fingerprint, this.options.clock.readMonotonicMs())
      if (isCharged) this.options.returnPermit(assignment.report.runner, requestId)
    }
  }

  private async runAssigned (progress: Progress, assignment: Assignment): Promise<AttemptResult> {
    const { request } = progress
    const startedAtMs = this.options.clock.readMonotonicMs()
    this.options.traces.addEvent(request.requestId, 'sent', `to ${assignment.report.runner}, from chunk ${progress.chunks}`)
    try {
      return await this.runExchange(progress, assignment)
    } finally {
      assignment.release()
      this.options.predictor.noteService(this.options.clock.readMonotonicMs() - startedAtMs)
    }
  }

  private async runExchange (progress: Progress, assignment: Assignment): Promise<AttemptResult> {
    const { request, signal } = progress
    const { report } = assignment
    if (!await this.prepareAdapter(request, report)) return { sent: 'never', reason: 'refused', message: `adapter ${request.adapter} cannot be loaded on ${report.runner}` }
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
      const result = await this.takeEvent(event, progress, assignment)
      if (result !== undefined) return await this.judgeFailure(result, progress, assignment)
    }
    return 'cancelled'
  }

  private async prepareAdapter (request: RoutedRequest, report: RunnerReport): Promise<boolean> {
    if (request.adapter === undefined) return true
    const id = `${request.model.name}:${request.adapter}`
    const isReady = report.state.adapters.some((adapter) => adapter.id === id && adapter.phase === 'ready')
    return isReady || await this.options.loadAdapter(report.runner, request.model.name, request.adapter)
  }

  /** Passes one event on; returns the result once the exchange is over. */
  private async takeEvent (event: CompletionEvent, progress: Progress, assignment: Assignment): Promise<AttemptResult | undefined> {
    const { entry, report } = assignment
    if (event.type === 'alive') {
      progress.maySent = true
      return undefined
    }
    if (event.type === 'failed') return progress.signal.aborted ? 'cancelled' : event.failure
    if (event.type === 'done') return progress.isFinished ? 'done' : { sent: 'maybe', reason: 'truncated', message: 'the answer ended without a finish reason' }
    if (progress.firstTokenMs === undefined) progress.firstTokenMs = this.options.clock.readMonotonicMs() - progress.request.arrivedAtMs
    if (!entry.hasFirstToken) {
      assignment.noteFirstToken()
      if (!entry.isBatch) this.options.predictor.noteFirstToken(entry.predictedMs, this.options.clock.readMonotonicMs() - progress.sentAtMs)
      this.options.predictor.notePrefix(report.runner, progress.request.prefixKey)
    }
    progress.chunks += 1
    progress.isFinished = hasFinishReason(event.data)
    await progress.sink.writeChunk(event.data)
    return undefined
  }

  /** After a broken exchange the runner is asked whether it is still the same process. */
  private async judgeFailure (result: AttemptResult, progress: Progress, { report }: Assignment): Promise<AttemptResult> {
    if (typeof result === 'string' || result.reason === 'invalid') return result
    if (result.sent === 'maybe') progress.maySent = true
    this.options.traces.addEvent(progress.request.requestId, 'failed', `${report.runner}: ${result.reason}, ${result.message}`)
    if (result.reason === 'silent') return result
    this.options.table.restRunner(report.runner)
    const isSame = await this.options.probeRunner(report.runner)
    if (result.reason === 'refused') return result
    if (!isSame && result.sent === 'maybe') this.chargeCrash(progress.request, report)
    return result
  }

  private chargeCrash (request: RoutedRequest, report: RunnerReport): void {
    const upstream = `${report.runner}/${report.state.bootId}`
    this.options.logger.warn('upstream crashed with a request in flight', { upstream, request: request.requestId })
    this.options.chargeRequest({ fingerprint: request.fingerprint, upstream })
  }

  /** Undefined when another attempt may be made; else the final answer. */
  private async planRetry (progress: Progress, failure: EngineFailure): Promise<Refusal | undefined> {
    const execution = progress.maySent || failure.sent === 'maybe' ? 'unknown' : 'not-run'
    if (failure.reason === 'invalid') return Refusal.create('bad_request', failure.message, { execution: 'not-run' })
    if (!this.spendAttempt(progress, failure)) {
      return Refusal.create('upstream_failed', `${failure.reason}: ${failure.message}`, { execution, retryAfterMs: FAILED_RETRY_AFTER_MS })
    }
    if (failure.sent === 'never') await this.options.clock.waitFor(UNREACHED_PAUSE_MS, progress.signal)
    return undefined
  }

  /** A runner that did not take the request costs nothing, so it does not use up the budget. */
  private spendAttempt (progress: Progress, failure: EngineFailure): boolean {
    if (failure.sent === 'never') {
      progress.declined += 1
      return progress.declined <= MOST_DECLINED
    }
    progress.retries += 1
    return progress.retries <= MOST_RETRIES && this.options.retryBudget.spendRetry()
  }

  private makeReport (progress: Progress): CompletionReport {
    const totalMs = this.options.clock.readMonotonicMs() - progress.request.arrivedAtMs
    this.options.crashes.clearRequest(progress.request.fingerprint)
    this.options.traces.addEvent(progress.request.requestId, 'answered', `${progress.chunks} chunks in ${Math.round(totalMs)} ms`)
    return { firstTokenMs: progress.firstTokenMs ?? totalMs, totalMs, chunks: progress.chunks, retries: progress.retries }
  }
}

/** A refusal after an attempt whose bytes left must not say "not run". */
function restateRefusal (refusal: Refusal): Refusal {
  return Refusal.create(refusal.code, refusal.message, { execution: 'unknown', retryAfterMs: refusal.retryAfterMs })
}

/** Whether a chunk is the last of its answer. */
function hasFinishReason (chunk: Readonly<Record<string, unknown>>): boolean {
  const choices = chunk['choices'] as Array<{ finish_reason?: string | null }> | undefined
  return choices?.some((choice) => choice.finish_reason !== undefined && choice.finish_reason !== null) ?? false
}

const PREFIX_DIGITS = 16
/** Characters of a prompt that decide which runner is likely to have its beginning cached. */
const PREFIX_CHARACTERS = 512

/**
 * Key of the beginning of a prompt.
 *
 * @example
 * makePrefixKey('manual-3', promptText)
 */
export function makePrefixKey (model: string, prompt: string): string {
  return hashText(`${model}/${prompt.slice(0, PREFIX_CHARACTERS)}`).slice(0, PREFIX_DIGITS)
}
