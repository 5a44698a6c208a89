/** Serves one request from its arrival to its last byte: choose, send, watch, send again, resume. */
import { Deadline, Refusal, type Clock } from 'figquay'
import { makeAdapterKey, type ConfigurationHolder, type FleetDemand, type FleetRunnerTable, type OpenRequest, type PromptMemory, type Runner } from 'figquay-fleet'
import type { RetryBudget } from 'figquay-routing'
import type { AttemptWatch, WatchedAttempt } from './FigquayServingAttemptWatch.js'
import type { CrashEvidence } from './FigquayServingCrashEvidence.js'
import { chooseMostIdle } from './FigquayServingReuse.js'
import type { ServingDispatcher } from './FigquayServingDispatcher.js'
import type { PermitReply, SuspectRequest } from './FigquayServingSuspects.js'
import type { ServingTraces } from './FigquayServingTraces.js'
import type { AnswerSink, ExchangeEvent, ExchangeFailure, RunnerExchangeClient, RunnerNotice, ServedRequest, ServedResult } from './FigquayServingTypes.js'

/** What the router needs. */
export interface ServingRouterOptions {
  readonly clock: Clock
  readonly configurations: ConfigurationHolder
  readonly table: FleetRunnerTable
  readonly memory: PromptMemory
  readonly demand: FleetDemand
  readonly dispatcher: ServingDispatcher
  readonly exchanges: RunnerExchangeClient
  /** Retry budget of a service. */
  readonly findBudget: (service: string) => RetryBudget
  readonly watch: AttemptWatch
  readonly evidence: CrashEvidence
  /** Tells everybody that a request which had been charged was answered whole. */
  readonly acquitRequest: (fingerprint: string) => void
  /** Keeps a suspect apart from others. */
  readonly takePermit: (request: SuspectRequest) => Promise<PermitReply>
  readonly returnPermit: (request: SuspectRequest) => void
  readonly noteAdapterUse: (runner: string, key: string) => void
  /** Tells the peers that a runner leaves. */
  readonly announceLeaving: (runner: string, bornMs: number) => void
  readonly traces: ServingTraces
}

/** One request on its way, across its attempts. */
interface Progress {
  readonly request: ServedRequest
  readonly sink: AnswerSink
  readonly signal: AbortSignal
  readonly tried: Set<string>
  /** Attempts that a runner which lives on may have run; one that has ended takes none of those that the route allows. */
  runs: number
  /** The runner of the last attempt has ended under it. */
  hasRunnerEnded: boolean
  /** Attempts that no runner took. */
  declined: number
  hasStarted: boolean
  maySent: boolean
  lastEventId: string | undefined
  /** Since when it has looked for a runner on which it is the only suspect. */
  suspectSinceMs: number | undefined
}

/** How a request stands beside suspects on a runner. */
type Isolation = 'unneeded' | PermitReply | 'given-up'

/** How an attempt went; a failure of the runner's own is an answer that another runner may better. */
type AttemptResult =
  | { readonly type: 'done' }
  | { readonly type: 'failed', readonly failure: ExchangeFailure }
  | { readonly type: 'runner-error', readonly status: number }

const OK = 200
const SERVER_ERROR = 500
/** Runners that may decline one request before it is refused. */
const MOST_DECLINED = 4
/** A runner that holds up an order gets the request again after this time, in milliseconds. */
const DECLINED_PAUSE_MS = 15
/** Multiple of the objective after which an idempotent call is sent elsewhere, its runner being silent. */
const SILENT_OBJECTIVES = 3
/** Shortest time after which a call counts as unanswered, in milliseconds. */
const SHORTEST_SILENCE_MS = 300
/** Part of the callers' patience after which a stream without a new event is continued elsewhere. */
const STALLED_PART = 0.6
const FAILED_RETRY_AFTER_MS = 500
/** A broken attempt is repeated once its runner's fate is known, or after this time, in milliseconds: a live address answers sooner. */
const FATE_WAIT_MS = 200
/** A suspect looks for a runner without others for this long, in milliseconds, and then does without: callers wait. */
const ISOLATION_WAIT_MS = 1_000
/** A suspect tries again after this time, in milliseconds. */
const ISOLATION_PAUSE_MS = 50
/** Characters of a fingerprint in a log line. */
const SHOWN_FINGERPRINT = 12
/** Rank of the least urgent request at a runner. */
const LOWEST_RANK = 9

/** Routes requests. */
export class ServingRouter {
  private readonly openDeadlines = new Set<Deadline>()
  private isEnding = false

  private constructor (private readonly options: ServingRouterOptions) {}

  /**
   * @example
   * const router = ServingRouter.create(options)
   */
  static create (options: ServingRouterOptions): ServingRouter {
    return new ServingRouter(options)
  }

  /**
   * Serves a request; the answer, or a refusal, has gone into the sink when it returns.
   *
   * @example
   * const result = await router.serveRequest(request, sink, signal)
   */
  async serveRequest (request: ServedRequest, sink: AnswerSink, signal: AbortSignal): Promise<ServedResult> {
    this.options.findBudget(request.service).noteRequest()
    if (request.model !== undefined) this.options.demand.noteArrival(request.model, request.promptTokens)
    const deadline = Deadline.create(request.deadlineAtMs - this.options.clock.readMonotonicMs(), signal)
    const progress: Progress = { request, sink, signal: deadline.signal, tried: new Set(), runs: 0, hasRunnerEnded: false, declined: 0, hasStarted: false, maySent: false, lastEventId: undefined, suspectSinceMs: undefined }
    this.openDeadlines.add(deadline)
    try {
      const refusal = await this.runAttempts(progress)
      const result = this.finishRequest(progress, refusal, signal.aborted)
      this.options.traces.noteResult(request, result)
      return result
    } finally {
      this.openDeadlines.delete(deadline)
      deadline.dispose()
    }
  }

  /**
   * Gives every request that is still open its final answer, as the daemon is about to exit.
   *
   * @example
   * router.abandonRequests()
   */
  abandonRequests (): void {
    this.isEnding = true
    for (const deadline of this.openDeadlines) deadline.abandon()
  }

  private finishRequest (progress: Progress, refusal: Refusal | undefined, hasCallerLeft: boolean): ServedResult {
    const { request, sink } = progress
    if (refusal === undefined) return 'answered'
    if (hasCallerLeft) {
      this.options.traces.recordDecision('caller left', request, { fingerprint: shortenFingerprint(request.fingerprint), hasStarted: progress.hasStarted, lastEventId: progress.lastEventId, tried: [...progress.tried] })
      sink.abandonAnswer()
      return 'caller-left'
    }
    this.options.traces.recordDecision('refused', request, { fingerprint: shortenFingerprint(request.fingerprint), code: refusal.code, reason: refusal.message, execution: refusal.execution, retryAfterMs: refusal.retryAfterMs, tried: [...progress.tried] })
    if (progress.hasStarted) {
      sink.abandonAnswer()
      return 'broken'
    }
    sink.refuseRequest(refusal)
    return 'refused'
  }

  /** Undefined when the request was answered. */
  private async runAttempts (progress: Progress): Promise<Refusal | undefined> {
    const { request, signal } = progress
    let occupied: ReadonlySet<string> = new Set()
    while (!signal.aborted) {
      if (this.options.evidence.judgeRequest(request.fingerprint) === 'quarantined') {
        this.options.traces.noteQuarantined(request)
        return Refusal.create('upstream_failed', 'the request has crashed runners', { execution: 'unknown' })
      }
      const choice = await this.options.dispatcher.findRunner(request, new Set([...progress.tried, ...occupied]), signal)
      if (signal.aborted) break
      if (choice instanceof Refusal) return this.restateRefusal(progress, choice)
      const isolation = await this.isolateRequest(progress, choice)
      if (isolation === 'refused') {
        occupied = new Set([choice.id])
        await this.options.clock.waitFor(ISOLATION_PAUSE_MS, signal)
        continue
      }
      const result = await this.runAttempt(progress, choice, isolation)
      if (result.type === 'done') return undefined
      if (signal.aborted) break
      const refusal = await this.planRetry(progress, choice, result)
      if (refusal !== undefined) return refusal
    }
    return this.makeTimeout(progress)
  }

  /** What is known of a request may have changed while it waited for its runner: this comes last before the attempt. */
  private async isolateRequest (progress: Progress, runner: Runner): Promise<Isolation> {
    const { evidence, takePermit, returnPermit, clock, traces } = this.options
    const { request, signal } = progress
    if (evidence.judgeRequest(request.fingerprint) === 'clear') return 'unneeded'
    progress.suspectSinceMs ??= clock.readMonotonicMs()
    const permit = { runner: runner.id, requestId: request.id }
    const reply = await takePermit(permit)
    if (reply !== 'refused' && (signal.aborted || evidence.judgeRequest(request.fingerprint) === 'quarantined')) {
      returnPermit(permit)
      return 'refused'
    }
    const waitedMs = clock.readMonotonicMs() - progress.suspectSinceMs
    const isolation = reply === 'refused' && waitedMs >= ISOLATION_WAIT_MS ? 'given-up' : reply
    if (isolation !== 'refused') traces.recordDecision('sent though a runner has ended under it', request, { runner: runner.id, fingerprint: shortenFingerprint(request.fingerprint), isolation, ...evidence.countCrashes(request.fingerprint) })
    return isolation
  }

  private makeTimeout (progress: Progress): Refusal {
    if (progress.maySent) return Refusal.create('outcome_unknown', this.isEnding ? 'the daemon stops' : 'no answer in time', { execution: 'unknown' })
    if (this.isEnding) return Refusal.create('draining', 'the daemon stops', { retryAfterMs: 0 })
    return Refusal.create('deadline_unreachable', 'no runner took the request in time', { retryAfterMs: FAILED_RETRY_AFTER_MS })
  }

  /** A refusal after an attempt that may have run must not say "not run". */
  private restateRefusal (progress: Progress, refusal: Refusal): Refusal {
    if (!progress.maySent) return refusal
    return Refusal.create('upstream_failed', refusal.message, { execution: 'unknown' })
  }

  private async runAttempt (progress: Progress, runner: Runner, isolation: Isolation): Promise<AttemptResult> {
    const { request } = progress
    const { table, clock, memory, watch } = this.options
    progress.tried.add(runner.id)
    const weights = request.adapter === undefined ? request.model ?? '' : makeAdapterKey(request.model!, request.adapter)
    const open = {
      requestId: request.id,
      fingerprint: request.fingerprint,
      model: request.model,
      pendingTokens: Math.max(0, request.promptTokens - memory.countCached(runner.id, weights, request.parts)),
      sentAtMs: clock.readMonotonicMs(),
      hasAnswered: false
    }
    const release = table.registerOpen(runner.id, open)
    memory.noteParts(runner.id, weights, request.parts)
    if (request.adapter !== undefined) this.options.noteAdapterUse(runner.id, makeAdapterKey(request.model!, request.adapter))
    const attempt = watch.addAttempt(runner, request.fingerprint, isolation === 'granted')
    const limit = Deadline.create(this.chooseSilenceLimit(progress), progress.signal)
    const mayHaveRun = progress.maySent
    // From here on bytes may have left, until the runner or the connection says otherwise.
    progress.maySent = true
    try {
      const result = await this.runExchange(progress, runner, limit, open, attempt)
      await this.settleAttempt(progress, runner, attempt, result)
      if (result.type === 'failed' && result.failure.execution === 'not-run') progress.maySent = mayHaveRun
      this.noteAttempt(progress, runner, result)
      return result
    } finally {
      limit.dispose()
      release()
      // After an error of this daemon's own nothing is known of the runner.
      if (!watch.isSettled(attempt)) watch.noteSilent(attempt)
      if (isolation === 'granted' || isolation === 'unconfirmed') this.options.returnPermit({ runner: runner.id, requestId: request.id })
    }
  }

  /** Only a runner that has answered, or never had the request, is known to have borne it. */
  private async settleAttempt (progress: Progress, runner: Runner, attempt: WatchedAttempt, result: AttemptResult): Promise<void> {
    const { watch, evidence, acquitRequest, clock } = this.options
    const { request, signal } = progress
    progress.hasRunnerEnded = false
    const { reason, execution } = result.type === 'failed' ? result.failure : { reason: undefined, execution: undefined }
    const isBroken = reason === 'reset' || reason === 'truncated'
    if (isBroken && execution !== 'not-run') {
      const fate = await Promise.race([watch.noteBroken(runner, attempt), clock.waitFor(FATE_WAIT_MS, signal)])
      progress.hasRunnerEnded = fate === 'ended' || fate === 'left'
    } else if (reason === 'silent') watch.noteSilent(attempt)
    else watch.dropAttempt(runner, attempt)
    if (result.type === 'done' && evidence.countCrashes(request.fingerprint).inAll > 0) acquitRequest(request.fingerprint)
  }

  /** How long the first byte of an attempt may take: a call that may run twice isn't left with a silent runner. */
  private chooseSilenceLimit ({ request, runs }: Progress): number {
    const remainingMs = request.deadlineAtMs - this.options.clock.readMonotonicMs()
    const canRepeat = request.route.repeat === 'idempotent' && !request.route.isStream && runs + 1 < request.route.maxAttempts
    return canRepeat ? Math.min(remainingMs, Math.max(SHORTEST_SILENCE_MS, request.route.objectiveMs * SILENT_OBJECTIVES)) : remainingMs
  }

  private async runExchange (progress: Progress, runner: Runner, limit: Deadline, open: OpenRequest, attempt: WatchedAttempt): Promise<AttemptResult> {
    const { request } = progress
    const remainingMs = request.deadlineAtMs - this.options.clock.readMonotonicMs()
    const rank = Math.min(LOWEST_RANK, request.route.priority)
    const events = this.options.exchanges.runExchange(runner, request, { remainingMs, resumeAfter: progress.lastEventId, rank, mostIdleMs: chooseMostIdle(request.route.repeat) }, limit.signal)
    for await (const event of events) {
      this.options.table.noteHeard(runner.id)
      if (event.type === 'notice') {
        this.takeNotice(request, runner, event.notice)
        continue
      }
      if (event.type === 'head') limit.stopTimer()
      if (event.type === 'data') this.options.watch.noteOutput(attempt)
      // Progress counts, not bytes: a stall shows while the caller still waits and another runner may go on.
      if (request.route.isResumable && event.type !== 'failed') limit.restartTimer(request.route.patienceMs * STALLED_PART)
      const result = await this.takeEvent(progress, event, open)
      if (result !== undefined) return result
    }
    return { type: 'failed', failure: { execution: 'unknown', reason: 'silent', message: limit.hasExpired ? 'no answer in time' : 'the caller went away' } }
  }

  /** What a runner says of itself holds from now on, for this daemon at least. */
  private takeNotice (request: ServedRequest, runner: Runner, { isLeaving, refusesForMs }: RunnerNotice): void {
    const { table, traces, announceLeaving } = this.options
    if (isLeaving && table.markLeaving(runner.id, runner.bornMs)) {
      traces.recordDecision('runner says that it leaves', request, { runner: runner.id, bornMs: runner.bornMs })
      announceLeaving(runner.id, runner.bornMs)
    }
    if (refusesForMs === undefined) return
    table.noteRefusal(runner.id, runner.bornMs, refusesForMs)
    traces.recordDecision('runner wants nothing for a while', request, { runner: runner.id, refusesForMs })
  }

  /** Passes one event on; returns the result once the attempt is over. */
  private async takeEvent (progress: Progress, event: Exclude<ExchangeEvent, { type: 'notice' }>, open: OpenRequest): Promise<AttemptResult | undefined> {
    if (event.type === 'failed') return { type: 'failed', failure: event.failure }
    if (event.type === 'end') {
      progress.sink.finishAnswer()
      return { type: 'done' }
    }
    if (event.type === 'head') {
      // What follows a stream's first events must be more events, never another runner's error.
      const isUnfit = progress.hasStarted && event.status !== OK
      if (isUnfit || (event.status >= SERVER_ERROR && this.canRunAgain(progress, 1))) return { type: 'runner-error', status: event.status }
      if (!progress.hasStarted) progress.sink.startAnswer(event.status, event.head)
      progress.hasStarted = true
      return undefined
    }
    if (!open.hasAnswered) this.noteFirstByte(progress, open.sentAtMs)
    open.hasAnswered = true
    progress.lastEventId = event.lastEventId ?? progress.lastEventId
    await progress.sink.writeBytes(event.bytes)
    return undefined
  }

  /** A first byte after the objective is worth a line: it tells waiting here from waiting at the runner. */
  private noteFirstByte ({ request, tried }: Progress, sentAtMs: number): void {
    const nowMs = this.options.clock.readMonotonicMs()
    this.options.traces.noteFirstByte(request)
    if (nowMs - request.arrivedAtMs <= request.route.objectiveMs) return
    this.options.traces.recordDecision('late first byte', request, { waitedMs: Math.round(sentAtMs - request.arrivedAtMs), atRunnerMs: Math.round(nowMs - sentAtMs), tried: [...tried] })
  }

  private noteAttempt (progress: Progress, runner: Runner, result: AttemptResult): void {
    const { table, traces } = this.options
    const hasFailed = result.type !== 'done' && !progress.signal.aborted
    traces.noteAttempt(progress.request.service, result.type === 'failed' ? result.failure.reason : result.type)
    if (result.type === 'failed' && result.failure.execution === 'not-run' && result.failure.reason !== 'unreachable') return
    if (progress.signal.aborted && result.type === 'failed') return
    table.noteResult(runner.id, hasFailed)
  }

  /** Whether a request that may have run `more` times beyond the counted ones may run once more. */
  private canRunAgain ({ request, runs, hasStarted }: Progress, more: number): boolean {
    const { route } = request
    const canRepeat = route.isStream ? route.isResumable : route.repeat === 'idempotent' && !hasStarted
    return canRepeat && runs + more < route.maxAttempts
  }

  /** Undefined when another attempt may be made; else the final answer. */
  private async planRetry (progress: Progress, runner: Runner, result: AttemptResult): Promise<Refusal | undefined> {
    const { request } = progress
    const reason = result.type === 'failed' ? result.failure.reason : 'runner-error'
    const message = result.type === 'failed' ? result.failure.message : 'the runner failed'
    const execution = result.type === 'failed' ? result.failure.execution : 'unknown'
    this.options.traces.recordDecision('attempt failed', request, { runner: runner.id, bornMs: runner.bornMs, fingerprint: shortenFingerprint(request.fingerprint), crashes: this.options.evidence.countCrashes(request.fingerprint).inAll, reason, execution, detail: message })
    this.noteFailure(progress, runner, reason)
    if (execution === 'not-run') return await this.planAfterDecline(progress, reason)
    const newRuns = progress.hasRunnerEnded ? 0 : 1
    const mayRun = this.canRunAgain(progress, newRuns)
    progress.runs += newRuns
    if (mayRun && this.options.findBudget(request.service).spendRetry()) return undefined
    return Refusal.create('upstream_failed', `${reason}: ${message}`, { execution: 'unknown' })
  }

  private async planAfterDecline (progress: Progress, reason: string): Promise<Refusal | undefined> {
    const { request } = progress
    progress.declined += 1
    const isFree = reason === 'unreachable'
    if (progress.declined > MOST_DECLINED || !(isFree || this.options.findBudget(request.service).spendRetry())) {
      const refusal = Refusal.create('overloaded', `no runner took the request: ${reason}`, { retryAfterMs: FAILED_RETRY_AFTER_MS })
      return this.restateRefusal(progress, refusal)
    }
    await this.options.clock.waitFor(DECLINED_PAUSE_MS, progress.signal)
    return undefined
  }

  private noteFailure ({ request }: Progress, runner: Runner, reason: string): void {
    const { table } = this.options
    if (reason === 'missing-model') table.dropHolding(runner.id, request.model ?? '', request.adapter)
    if (reason === 'other-runner' || reason === 'unreachable') table.restRunner(runner.id)
  }
}

/** Enough of a fingerprint to tell requests apart in a log. */
export function shortenFingerprint (fingerprint: string): string {
  return fingerprint.slice(0, SHOWN_FINGERPRINT)
}
