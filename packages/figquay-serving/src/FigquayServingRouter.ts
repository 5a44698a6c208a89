/** Serves a request from arrival to last byte: selects runners, sends attempts, retries them and resumes broken streams. */
import { Deadline, Refusal, type Clock } from 'figquay'
import { estimateProcessedTokens, makeAdapterKey, type ConfigurationHolder, type FleetDemand, type FleetRunnerTable, type InFlightRequest, type PromptCacheIndex, type Runner } from 'figquay-fleet'
import type { RetryBudget } from 'figquay-routing'
import type { AccessGate } from './FigquayServingAccessGate.js'
import type { AttemptTracker, TrackedAttempt } from './FigquayServingAttemptTracker.js'
import { isSharedKey, type CrashHistory } from './FigquayServingCrashHistory.js'
import { waitUnlessAborted } from './FigquayServingCallerWait.js'
import { chooseMaxIdleMs } from './FigquayServingConnectionReuse.js'
import { observeExchange } from './FigquayServingExchangeEvents.js'
import type { ServingDispatcher } from './FigquayServingDispatcher.js'
import type { ForwardedState, RequestForwarder } from './FigquayServingForwarder.js'
import type { RequestLimiter } from './FigquayServingRequestLimiter.js'
import type { FleetQuotas } from './FigquayServingQuotas.js'
import { decideWhileDraining, RouteDurations, type DrainWindow } from './FigquayServingRouteDurations.js'
import { adjustExecution, canRunAgain, chooseSilenceLimit, makeRequestProgress, type AttemptResult, type RequestProgress } from './FigquayServingRequestProgress.js'
import { ResponseReports } from './FigquayServingResponseReports.js'
import type { RunnerContact } from './FigquayServingRunnerContact.js'
import { RunnerNotices } from './FigquayServingRunnerNotices.js'
import type { StalenessGuard } from './FigquayServingStalenessGuard.js'
import type { StreamOrigins } from './FigquayServingStreamOrigins.js'
import { EMPTY_RESUMPTION, MISPLACED_RESUMPTION, StreamProgress } from './FigquayServingStreamProgress.js'
import { shortenFingerprint, SuspectGate, type IsolationResult, type SuspectGateOptions } from './FigquayServingSuspectGate.js'
import type { ServingTelemetry } from './FigquayServingTelemetry.js'
import type { ResponseSink, ExchangeEvent, RunnerExchangeClient, ServedRequest, ServedResult } from './FigquayServingTypes.js'

/** Dependencies of the router. */
export interface ServingRouterOptions {
  readonly clock: Clock
  readonly configurations: ConfigurationHolder
  readonly accessGate: AccessGate
  readonly table: FleetRunnerTable
  readonly memory: PromptCacheIndex
  readonly demand: FleetDemand
  readonly dispatcher: ServingDispatcher
  readonly exchanges: RunnerExchangeClient
  readonly contact: RunnerContact
  readonly staleness: Pick<StalenessGuard, 'refresh' | 'waitUntilCurrent'>
  /** Undefined if this daemon forwards no requests. */
  readonly forwarder: RequestForwarder | undefined
  /** Returns the retry budget of a service. */
  readonly findRetryBudget: (service: string) => RetryBudget
  readonly attemptTracker: AttemptTracker
  readonly crashHistory: CrashHistory
  /** Tells all daemons that a request with recorded crashes has completed, which clears them. */
  readonly publishAcquittal: (fingerprint: string) => void
  /** Records that a request with these prompt parts has been answered, which clears them. */
  readonly noteSuccessfulParts: (partKeys: readonly string[]) => void
  readonly acquirePermit: SuspectGateOptions['acquirePermit']
  readonly releasePermit: SuspectGateOptions['releasePermit']
  readonly requestLimiter: RequestLimiter
  readonly quotas: Pick<FleetQuotas, 'acquireQuota'>
  readonly noteAdapterUse: (runner: string, key: string) => void
  readonly streamOrigins: Pick<StreamOrigins, 'findOrigin' | 'noteBegin'>
  /** Tells the peers that a runner is draining. */
  readonly announceLeaving: (runner: string, bornMs: number) => void
  /** Tells the peers that a brittle runner has no room. */
  readonly announceBackoff: (runner: string, bornMs: number, durationMs: number) => void
  readonly telemetry: ServingTelemetry
}

const OK = 200
const SERVER_ERROR = 500
/** Attempts of one request that may end without execution before it is refused. */
const MAX_DECLINED_ATTEMPTS = 4
/** Delay before a declined request is sent again, in milliseconds: a runner may decline while a load or unload order holds it up. */
const DECLINED_RETRY_DELAY_MS = 15
/** Fraction of the route's patience after which a stream without a new event is resumed on another runner. */
const STALL_PATIENCE_FRACTION = 0.6
const FAILED_RETRY_AFTER_MS = 500
/** Attempts that reached no runner after which a request is forwarded, although others may still have contact over connections that are open. */
const FORWARDING_UNREACHABLE_ATTEMPTS = 2
/** Longest wait for a runner's liveness before a broken attempt is retried, in milliseconds: a reachable address responds sooner. */
const LIVENESS_WAIT_MS = 200
/** Delay before a suspect asks for a permit again, in milliseconds. */
const ISOLATION_RETRY_DELAY_MS = 50
/** Priority of the least urgent requests at a runner. */
const LOWEST_PRIORITY = 9

/** Routes requests to runners. */
export class ServingRouter {
  private readonly openDeadlines = new Set<Deadline>()
  private readonly suspectGate: SuspectGate
  private readonly notices: RunnerNotices
  private readonly reports: ResponseReports
  private readonly durations = RouteDurations.create()
  private drain: DrainWindow | undefined
  private isStopping = false

  private constructor (private readonly options: ServingRouterOptions) {
    this.suspectGate = SuspectGate.create(options)
    this.notices = RunnerNotices.create(options)
    this.reports = ResponseReports.create(options)
  }

  /**
   * @example
   * const router = ServingRouter.create(options)
   */
  static create (options: ServingRouterOptions): ServingRouter {
    return new ServingRouter(options)
  }

  /**
   * Serves a request; a response or refusal has been written to the sink when it returns.
   *
   * @example
   * const result = await router.serveRequest(request, sink, signal)
   */
  async serveRequest (request: ServedRequest, sink: ResponseSink, signal: AbortSignal): Promise<ServedResult> {
    // A forwarded request was counted by the daemon that got it from its caller.
    const isForwarded = request.forwardedRuns !== undefined
    if (!isForwarded) this.options.findRetryBudget(request.service).recordRequest()
    if (!isForwarded && request.model !== undefined) this.options.demand.noteArrival(request.model, request.promptTokens)
    const deadline = Deadline.create(request.deadlineAtMs - this.options.clock.readMonotonicMs(), signal)
    const progress = makeRequestProgress(request, this.suspectGate.prepareRequest(request), sink, deadline)
    this.openDeadlines.add(deadline)
    const unregisterSubject = this.options.accessGate.registerSubject(progress)
    try {
      const refusal = await this.admitRequest(progress) ?? await this.prepareResumption(progress) ?? await this.runAttempts(progress)
      const result = this.finishRequest(progress, refusal, signal.aborted)
      this.options.telemetry.noteResult(request, result)
      if (result === 'answered' && progress.forwardedStatus === OK) this.durations.noteDuration(request.route.name, this.options.clock.readMonotonicMs() - request.arrivedAtMs)
      return result
    } finally {
      unregisterSubject()
      this.openDeadlines.delete(deadline)
      deadline.dispose()
    }
  }

  /**
   * Refuses requests that are likely to last beyond the end of the drain from now on.
   *
   * @example
   * router.startDraining({ deadlineAtMs: nowMs + 7_000, isChosenUntilMs: nowMs + 2_500 })
   */
  startDraining (drain: DrainWindow): void {
    this.drain = drain
  }

  /**
   * Ends every open request with a final response, as the daemon is about to exit.
   *
   * @example
   * router.failOpenRequests()
   */
  failOpenRequests (): void {
    this.isStopping = true
    for (const deadline of this.openDeadlines) deadline.cancel()
  }

  private finishRequest (progress: RequestProgress, refusal: Refusal | undefined, hasCallerLeft: boolean): ServedResult {
    const { request, sink } = progress
    if (refusal === undefined) return 'answered'
    if (!progress.mayHaveRun) progress.quota?.release()
    if (hasCallerLeft) {
      this.options.telemetry.recordDecision('caller left', request, { fingerprint: shortenFingerprint(request.fingerprint), hasStarted: progress.hasResponseStarted, lastEventId: progress.stream.lastEventId, tried: [...progress.triedRunners] })
      sink.abortResponse()
      return 'caller-left'
    }
    this.options.telemetry.recordDecision('refused', request, { fingerprint: shortenFingerprint(request.fingerprint), code: refusal.code, reason: refusal.message, execution: refusal.execution, retryAfterMs: refusal.retryAfterMs, tried: [...progress.triedRunners] })
    if (progress.hasResponseStarted) {
      sink.abortResponse()
      return 'broken'
    }
    sink.refuseRequest(refusal)
    return 'refused'
  }

  /**
   * Returns the refusal of a request that may not run. It counts against its customer's quota once, whatever the number of
   * attempts; a forwarded one was counted by the daemon that got it from its caller.
   */
  private async admitRequest (progress: RequestProgress): Promise<Refusal | undefined> {
    const refusal = this.options.accessGate.checkAccess(progress)
    if (refusal !== undefined || progress.request.forwardedRuns !== undefined) return refusal
    const quota = await this.options.quotas.acquireQuota(progress.request, progress.signal)
    if (quota instanceof Refusal) return progress.accessRefusal ?? quota
    progress.quota = quota
    return undefined
  }

  /** Finds the software version that may go on with a stream that its caller resumes; returns the refusal if it can't be told. */
  private async prepareResumption (progress: RequestProgress): Promise<Refusal | undefined> {
    const { request } = progress
    const { streamOrigins, telemetry } = this.options
    if (request.resumeAfterEventId === undefined || !request.route.isResumable) return undefined
    const origin = await streamOrigins.findOrigin(request.resumedRequestId, request.service)
    if (origin.type === 'known') {
      progress.stream = StreamProgress.create(request.resumeAfterEventId, origin.softwareVersion)
      telemetry.noteResumption(request, origin.source)
      telemetry.recordDecision('caller resumes a stream', request, { resumes: request.resumedRequestId, callerEventId: request.resumeAfterEventId, softwareVersion: origin.softwareVersion, source: origin.source, originAgeMs: origin.ageMs })
      return undefined
    }
    telemetry.noteResumption(request, origin.reason)
    telemetry.recordDecision('stream can\'t be resumed', request, { resumes: request.resumedRequestId, callerEventId: request.resumeAfterEventId, reason: origin.reason })
    const isTemporary = origin.reason === 'no-peer-replied' || origin.reason === 'not-synced'
    return Refusal.create('no_upstream', `the software version that began the stream is unknown: ${origin.reason}`, isTemporary ? { retryAfterMs: FAILED_RETRY_AFTER_MS } : {})
  }

  /** Returns the refusal that ended the request; undefined if it was answered. */
  private async runAttempts (progress: RequestProgress): Promise<Refusal | undefined> {
    const { signal } = progress
    let occupiedRunners: ReadonlySet<string> = new Set()
    while (!signal.aborted) {
      const refusalBeforeWait = this.refuseWithoutAccess(progress)
      if (refusalBeforeWait !== undefined) return refusalBeforeWait
      const { request } = progress
      if (this.suspectGate.classifyRequest(progress.gated) === 'quarantined') return this.refuseQuarantined(progress)
      const forwarding = await this.forwardRequest(progress)
      if (forwarding !== 'unneeded') return forwarding.refusal
      const choice = await this.options.dispatcher.findRunner(request, new Set([...progress.triedRunners, ...occupiedRunners]), signal, progress.stream.softwareVersion)
      if (signal.aborted) break
      if (choice instanceof Refusal) return adjustExecution(progress, choice)
      // Whatever the request waited for, the choice is made anew by what has been heard meanwhile.
      if (this.options.staleness.refresh()) {
        await this.options.staleness.waitUntilCurrent(signal)
        continue
      }
      const drainRefusal = this.refuseBeyondDrain(progress)
      if (drainRefusal !== undefined) return drainRefusal
      if (!await this.acquireRequestPermit(request, choice)) continue
      const isolation = await this.suspectGate.isolateRequest(progress.gated, choice, signal)
      if (isolation === 'withheld') return adjustExecution(progress, Refusal.create('overloaded', 'a request like it, or with the same content or prompt part, is being tried, as some have crashed runners', { retryAfterMs: FAILED_RETRY_AFTER_MS }))
      if (isolation === 'refused') {
        occupiedRunners = new Set([choice.id])
        await this.options.clock.waitFor(ISOLATION_RETRY_DELAY_MS, signal)
        continue
      }
      const refusalAfterWait = this.refuseWithoutAccess(progress)
      if (refusalAfterWait !== undefined) return refusalAfterWait
      const result = await this.runAttempt(progress, choice, isolation)
      if (result.type === 'done') return undefined
      if (signal.aborted) break
      const refusal = await this.planRetry(progress, choice, result)
      if (refusal !== undefined) return refusal
    }
    return this.makeTimeoutRefusal(progress)
  }

  /**
   * Forwards a request to another daemon while this one reaches no runner: `unneeded` if it is to be sent from here, which is
   * also so if no other daemon can take it.
   */
  private async forwardRequest (progress: RequestProgress): Promise<'unneeded' | { readonly refusal: Refusal | undefined }> {
    const { forwarder, contact, clock } = this.options
    const { request, sink, signal } = progress
    const isNeeded = contact.isLost || progress.unreachableAttempts >= FORWARDING_UNREACHABLE_ATTEMPTS
    if (!isNeeded || forwarder === undefined || request.forwardedRuns !== undefined || progress.hasResponseStarted) return 'unneeded'
    progress.isAttempting = true
    const makeState = (): ForwardedState => ({ fingerprint: request.fingerprint, keyDigest: request.keyDigest, remainingMs: request.deadlineAtMs - clock.readMonotonicMs(), countedRuns: progress.countedRuns })
    const result = await forwarder.forwardRequest(request, makeState, progress.access?.areKeysNeeded === true, sink, signal)
    progress.isAttempting = false
    if (result.type === 'unavailable') return 'unneeded'
    if (result.type === 'refused') return { refusal: adjustExecution(progress, result.refusal) }
    progress.hasResponseStarted = result.type === 'answered' || result.hasResponseStarted
    if (result.type === 'answered') {
      progress.forwardedStatus = result.status
      return { refusal: undefined }
    }
    progress.mayHaveRun = true
    if (signal.aborted) return 'unneeded'
    const mayRepeat = canRunAgain(progress, 1)
    progress.countedRuns += 1
    if (mayRepeat && this.options.findRetryBudget(request.service).tryConsumeRetry()) return await this.forwardRequest(progress)
    return { refusal: Refusal.create('upstream_failed', `the daemon that the request was forwarded to was lost: ${result.message}`, { execution: 'unknown' }) }
  }

  /** Refuses a request whose key was removed since the last decision. */
  private refuseWithoutAccess (progress: RequestProgress): Refusal | undefined {
    const refusal = this.options.accessGate.checkAccess(progress)
    if (refusal === undefined) return undefined
    this.suspectGate.releasePermits(progress.gated)
    return adjustExecution(progress, refusal)
  }

  /** Refuses a request that hasn't been sent and would be cut off at the end of a planned stop. */
  private refuseBeyondDrain ({ request, mayHaveRun, hasResponseStarted }: RequestProgress): Refusal | undefined {
    if (this.drain === undefined || mayHaveRun || hasResponseStarted) return undefined
    const { route, deadlineAtMs } = request
    const typicalMs = this.durations.estimateTypical(route.name)
    const decision = decideWhileDraining({ nowMs: this.options.clock.readMonotonicMs(), deadlineAtMs, mayRepeat: route.repeat === 'idempotent' || route.isResumable, typicalMs }, this.drain)
    if (decision.type === 'serve') return undefined
    const typical = typicalMs === undefined ? 'an unknown time' : `${Math.round(typicalMs)} ms`
    return Refusal.create('draining', `the daemon is shutting down before the request can end: such requests take ${typical}`, { retryAfterMs: decision.retryAfterMs })
  }

  private refuseQuarantined (progress: RequestProgress): Refusal {
    this.options.telemetry.noteQuarantined(progress.request)
    const partKey = this.suspectGate.findQuarantinedPart(progress.gated)
    if (partKey === undefined) return Refusal.create('upstream_failed', 'the request has crashed runners', { execution: 'unknown' })
    return adjustExecution(progress, Refusal.create('upstream_failed', `requests with the same ${partKey} have crashed runners`, { execution: 'not-run' }))
  }

  /** Without a permit, a runner that limits its requests gets none from this daemon until one may be available. */
  private async acquireRequestPermit (request: ServedRequest, runner: Runner): Promise<boolean> {
    const { requestLimiter, table, telemetry } = this.options
    const waitMs = await requestLimiter.acquirePermit(runner)
    if (waitMs === 0) return true
    table.noteBackoff(runner.id, runner.bornMs, waitMs)
    telemetry.recordDecision('request limit of the runner is used up', request, { runner: runner.id, waitMs: Math.round(waitMs) })
    return false
  }

  private makeTimeoutRefusal (progress: RequestProgress): Refusal {
    if (progress.accessRefusal !== undefined) return adjustExecution(progress, progress.accessRefusal)
    if (progress.mayHaveRun) return Refusal.create('outcome_unknown', this.isStopping ? 'the daemon is shutting down' : 'no response in time', { execution: 'unknown' })
    if (this.isStopping) return Refusal.create('draining', 'the daemon is shutting down', { retryAfterMs: 0 })
    return Refusal.create('deadline_unreachable', 'no runner accepted the request in time', { retryAfterMs: FAILED_RETRY_AFTER_MS })
  }

  private async runAttempt (progress: RequestProgress, runner: Runner, isolation: IsolationResult): Promise<AttemptResult> {
    const { request } = progress
    const { table, clock, memory, attemptTracker } = this.options
    progress.triedRunners.add(runner.id)
    progress.isAttempting = true
    const weightsKey = request.adapter === undefined ? request.model ?? '' : makeAdapterKey(request.model!, request.adapter)
    const openRequest = {
      requestId: request.id,
      fingerprint: request.fingerprint,
      model: request.model,
      pendingTokens: Math.max(0, request.promptTokens - memory.countCachedTokens(runner.id, weightsKey, request.parts)),
      sentAtMs: clock.readMonotonicMs(),
      maxPauseMs: request.route.isStream ? request.route.maxPauseMs : 0,
      hasOutput: false
    }
    const release = table.trackRequest(runner.id, openRequest)
    memory.noteParts(runner.id, weightsKey, request.parts)
    if (request.adapter !== undefined) this.options.noteAdapterUse(runner.id, makeAdapterKey(request.model!, request.adapter))
    const attempt = attemptTracker.trackAttempt(runner, progress.gated.chargeKeys, isolation === 'granted')
    const silenceDeadline = Deadline.create(chooseSilenceLimit(progress, clock.readMonotonicMs()), progress.signal, () => this.computeSilenceExtension(progress))
    const couldHaveRunBefore = progress.mayHaveRun
    // Bytes may be sent from here on; reset below if the attempt turns out not to have run.
    progress.mayHaveRun = true
    try {
      const result = await this.runExchange(progress, runner, silenceDeadline, openRequest, attempt)
      await this.settleAttempt(progress, runner, attempt, result)
      if (result.type === 'failed' && result.failure.execution === 'not-run') progress.mayHaveRun = couldHaveRunBefore
      this.noteAttempt(progress, runner, result)
      return result
    } finally {
      progress.isAttempting = false
      silenceDeadline.dispose()
      release()
      // After an error in this daemon, the state of the runner is unknown.
      if (!attemptTracker.hasEnded(attempt)) attemptTracker.noteUnanswered(attempt)
      this.suspectGate.releasePermits(progress.gated)
    }
  }

  /** A runner is known to have survived a request only if it responded or never received it; other attempts stay tracked. */
  private async settleAttempt (progress: RequestProgress, runner: Runner, attempt: TrackedAttempt, result: AttemptResult): Promise<void> {
    const { attemptTracker, crashHistory, publishAcquittal, clock } = this.options
    const { request, signal } = progress
    progress.hasLastRunnerEnded = false
    const { reason, execution } = result.type === 'failed' ? result.failure : { reason: undefined, execution: undefined }
    const isBroken = reason === 'reset' || reason === 'truncated'
    if (isBroken && execution !== 'not-run') {
      const liveness = await Promise.race([attemptTracker.noteConnectionLoss(runner, attempt), clock.waitFor(LIVENESS_WAIT_MS, signal)])
      progress.hasLastRunnerEnded = liveness === 'ended' || liveness === 'left'
    } else if (reason === 'silent') attemptTracker.noteUnanswered(attempt)
    else attemptTracker.untrackAttempt(runner, attempt)
    if (result.type === 'done') this.noteAnsweredParts(progress)
    if (result.type === 'done' && progress.forwardedStatus === OK) crashHistory.noteAnswered(request.fingerprint)
    if (result.type === 'done' && crashHistory.countCrashes(request.fingerprint).inAll > 0) publishAcquittal(request.fingerprint)
  }

  /** Parts that crash their runners do so as the answer begins: one that has lasted for a while clears them, too. */
  private noteAnsweredParts ({ gated, forwardedStatus }: RequestProgress): void {
    if (forwardedStatus === OK) this.options.noteSuccessfulParts(gated.chargeKeys.filter(isSharedKey))
  }

  /** Further time for a silent runner, in milliseconds: a stream that can go on nowhere else is not broken off for a pause of its runner. */
  private computeSilenceExtension (progress: RequestProgress): number {
    const { request, hasResponseStarted } = progress
    const isRetryPossible = canRunAgain(progress, 1) && this.options.findRetryBudget(request.service).hasRetry
    return hasResponseStarted && !isRetryPossible ? request.deadlineAtMs - this.options.clock.readMonotonicMs() : 0
  }

  private async runExchange (progress: RequestProgress, runner: Runner, silenceDeadline: Deadline, openRequest: InFlightRequest, attempt: TrackedAttempt): Promise<AttemptResult> {
    const { request } = progress
    const remainingMs = request.deadlineAtMs - this.options.clock.readMonotonicMs()
    const priority = Math.min(LOWEST_PRIORITY, request.priority)
    const events = this.options.exchanges.runExchange(runner, request, { remainingMs, resumeAfterEventId: progress.stream.lastEventId, priority, areKeysNeeded: progress.access?.areKeysNeeded === true, maxIdleMs: chooseMaxIdleMs(request.route.repeat), isWithdrawn: () => this.isWithdrawn(runner) }, silenceDeadline.signal)
    let namesLimit = false
    let areAnsweredPartsNoted = false
    for await (const event of observeExchange(events, runner, this.options)) {
      if (event.type === 'notice') {
        this.notices.applyNotice(request, runner, event.notice)
        namesLimit = event.notice.requestsPerSecond !== undefined
        continue
      }
      if (event.type === 'head') {
        silenceDeadline.stopTimer()
        if (!namesLimit) this.notices.noteUnlimited(request, runner, openRequest.sentAtMs)
        if (event.load !== undefined) this.options.table.noteReportedLoad(runner.id, event.load)
      }
      if (event.type === 'data') this.options.attemptTracker.noteOutput(attempt)
      // Whole events restart the timer, partial ones don't: a stall is detected while the caller still waits and another runner can resume.
      if (request.route.isResumable && event.type !== 'failed') silenceDeadline.restartTimer(request.route.patienceMs * STALL_PATIENCE_FRACTION)
      if (!areAnsweredPartsNoted && event.type === 'data' && this.options.attemptTracker.hasStableOutput(attempt)) {
        areAnsweredPartsNoted = true
        this.noteAnsweredParts(progress)
      }
      const result = await this.forwardEvent(progress, runner, event, openRequest)
      if (result !== undefined) return result
    }
    return { type: 'failed', failure: { execution: 'unknown', reason: 'silent', message: silenceDeadline.hasExpired ? 'no response in time' : 'the caller disconnected' } }
  }

  /** Whether a runner was lost as a candidate since it was chosen, or this daemon can't tell. */
  private isWithdrawn ({ id, bornMs }: Runner): boolean {
    return !this.options.table.canTakeRequests(id, bornMs) || this.options.staleness.refresh()
  }

  /** Forwards an event to the caller; returns the result once the attempt is over. */
  private async forwardEvent (progress: RequestProgress, runner: Runner, event: Exclude<ExchangeEvent, { type: 'notice' }>, openRequest: InFlightRequest): Promise<AttemptResult | undefined> {
    if (event.type === 'failed') return { type: 'failed', failure: event.failure }
    if (event.type === 'head') return this.forwardHead(progress, event)
    if (event.type === 'data') return await this.forwardData(progress, runner, event, openRequest)
    // An error without a body ends like a stream that has nothing left; the caller can resume if the stream was complete.
    if (!openRequest.hasOutput && progress.stream.hasEvents) return { type: 'failed', failure: EMPTY_RESUMPTION }
    progress.sink.finishResponse()
    return { type: 'done' }
  }

  private forwardHead (progress: RequestProgress, event: Extract<ExchangeEvent, { type: 'head' }>): AttemptResult | undefined {
    const isErrorWithinStream = progress.hasResponseStarted && !progress.stream.canContinueWith(event)
    if (isErrorWithinStream || (event.status >= SERVER_ERROR && canRunAgain(progress, 1))) return { type: 'runner-error', status: event.status }
    if (!progress.hasResponseStarted) progress.sink.startResponse(event.status, event.head)
    progress.stream.noteHead(event)
    progress.forwardedStatus = event.status
    progress.hasResponseStarted = true
    return undefined
  }

  /** Reports the work that the prompt was, by which the leader measures demand. */
  private noteProcessedPrompt ({ id }: Runner, { model, pendingTokens, sentAtMs }: InFlightRequest): void {
    const { demand, table, clock } = this.options
    if (model !== undefined) demand.noteProcessedPrompt(model, estimateProcessedTokens(pendingTokens, clock.readMonotonicMs() - sentAtMs, table.readSlowdown(id)))
  }

  private async forwardData (progress: RequestProgress, runner: Runner, event: Extract<ExchangeEvent, { type: 'data' }>, openRequest: InFlightRequest): Promise<AttemptResult | undefined> {
    if (!openRequest.hasOutput) {
      this.reports.noteFirstByte(progress, openRequest.sentAtMs)
      this.noteProcessedPrompt(runner, openRequest)
      this.reports.noteResumption(progress, event.firstEventId)
      if (!progress.stream.isNext(event)) return { type: 'failed', failure: MISPLACED_RESUMPTION }
    }
    openRequest.hasOutput = true
    if (progress.request.route.isResumable && !progress.stream.hasEvents) this.options.streamOrigins.noteBegin(progress.request, runner)
    if (progress.request.route.isStream) progress.stream.noteEvents(event, runner)
    await this.writeEvents(progress, runner, event.bytes)
    return undefined
  }

  /** Writes bytes to the caller, and measures the pause before them. */
  private async writeEvents (progress: RequestProgress, runner: Runner, bytes: Buffer): Promise<void> {
    const { clock } = this.options
    const nowMs = clock.readMonotonicMs()
    this.reports.notePause(progress, runner, nowMs)
    const waiting = progress.sink.writeBytes(bytes)
    if (waiting === undefined) return
    await waitUnlessAborted(waiting, progress.signal)
    progress.pauses?.noteCallerWait(clock.readMonotonicMs() - nowMs)
  }

  private noteAttempt (progress: RequestProgress, runner: Runner, result: AttemptResult): void {
    const { table, telemetry } = this.options
    const hasFailed = result.type !== 'done' && !progress.signal.aborted
    telemetry.noteAttempt(progress.request.service, result.type === 'failed' ? result.failure.reason : result.type)
    if (result.type === 'failed' && result.failure.execution === 'not-run' && result.failure.reason !== 'unreachable') return
    if (progress.signal.aborted && result.type === 'failed') return
    table.noteResult(runner.id, hasFailed)
  }

  /** Decides on a retry: undefined if another attempt may be made, otherwise the final refusal. */
  private async planRetry (progress: RequestProgress, runner: Runner, result: AttemptResult): Promise<Refusal | undefined> {
    const { request } = progress
    const reason = result.type === 'failed' ? result.failure.reason : 'runner-error'
    const message = result.type === 'failed' ? result.failure.message : 'the runner responded with an error'
    const execution = result.type === 'failed' ? result.failure.execution : 'unknown'
    this.options.telemetry.recordDecision('attempt failed', request, { runner: runner.id, bornMs: runner.bornMs, fingerprint: shortenFingerprint(request.fingerprint), crashes: this.options.crashHistory.countCrashes(request.fingerprint).inAll, reason, execution, detail: message })
    this.noteFailure(progress, runner, reason)
    if (reason === 'withdrawn') return undefined
    if (execution === 'not-run') return await this.planRetryAfterDecline(progress, reason)
    const runsToCount = progress.hasLastRunnerEnded ? 0 : 1
    const mayRepeat = canRunAgain(progress, runsToCount)
    progress.countedRuns += runsToCount
    if (mayRepeat && this.options.findRetryBudget(request.service).tryConsumeRetry()) return undefined
    return Refusal.create('upstream_failed', `${reason}: ${message}`, { execution: 'unknown' })
  }

  private async planRetryAfterDecline (progress: RequestProgress, reason: string): Promise<Refusal | undefined> {
    const { request } = progress
    progress.declinedAttempts += 1
    const needsNoBudget = reason === 'unreachable'
    if (needsNoBudget) progress.unreachableAttempts += 1
    if (progress.declinedAttempts > MAX_DECLINED_ATTEMPTS || !(needsNoBudget || this.options.findRetryBudget(request.service).tryConsumeRetry())) {
      const refusal = Refusal.create('overloaded', `no runner accepted the request: ${reason}`, { retryAfterMs: FAILED_RETRY_AFTER_MS })
      return adjustExecution(progress, refusal)
    }
    await this.options.clock.waitFor(DECLINED_RETRY_DELAY_MS, progress.signal)
    return undefined
  }

  private noteFailure ({ request }: RequestProgress, runner: Runner, reason: string): void {
    const { table } = this.options
    if (reason === 'missing-model') table.dropHolding(runner.id, request.model ?? '', request.adapter)
    if (reason === 'declined') this.notices.noteDecline(request, runner)
    if (reason === 'unreachable') table.startCooldown(runner.id)
    if (reason === 'other-runner') table.markReplaced(runner.id)
  }
}
