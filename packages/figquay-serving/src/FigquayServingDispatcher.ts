/** Selects a runner for each request; a request whose model or adapter is being loaded waits for it. */
import { Refusal, type Clock } from 'figquay'
import { chooseRunner, makeAdapterKey, type ConfigurationHolder, type FleetRunnerTable, type ModelNeed, type RunnerTableChange, type PromptCacheIndex, type Runner, type ReusableState, type RunnerView } from 'figquay-fleet'
import { chooseCapacityRetryMs, decideMissingModel, estimateLoadMs, hasCapacity } from './FigquayServingWaiting.js'
import { chooseMaxIdleMs } from './FigquayServingConnectionReuse.js'
import type { RunnerExchangeClient, ServedRequest } from './FigquayServingTypes.js'
import { nameVersion } from './FigquayServingVersionHistory.js'

/** Dependencies of the dispatcher. */
export interface ServingDispatcherOptions {
  readonly clock: Clock
  readonly zone: string
  readonly configurations: ConfigurationHolder
  readonly table: FleetRunnerTable
  readonly memory: PromptCacheIndex
  readonly exchanges: RunnerExchangeClient
  /** Whether a runner is chosen only if no other healthy one has capacity. */
  readonly isAvoided: (runner: Runner) => boolean
  /** Returns the number of daemons that send requests to the runners. */
  readonly countDaemons: () => number
  /** Called when a request waits for a model or adapter that the peers have not been told of. */
  readonly announceNeeds: () => void
}

/** A request that waits until a runner can serve it. */
interface Waiter {
  readonly request: ServedRequest
  wake: () => void
}

/** Longest interval between two checks of a waiting request, in milliseconds. */
const RECHECK_INTERVAL_MS = 250
/** Estimated time to load an adapter whose model is loaded, in milliseconds. */
const ADAPTER_LOAD_MS = 150
/** Retry-after of a service without runners, in milliseconds: the usual restart time of a runner. */
const NO_RUNNER_RETRY_AFTER_MS = 800
/** Largest random part added to a retry-after, as a fraction of it, so that callers do not retry in step. */
const RETRY_JITTER_FRACTION = 0.5

/** Selects runners for requests. */
export class ServingDispatcher {
  /** Waiting requests by service, as a change of a runner concerns a single service. */
  private readonly waiters = new Map<string, Set<Waiter>>()
  /** Keys of the needs last announced to the peers. */
  private announcedNeeds: ReadonlySet<string> = new Set()
  private waitDeadlineAtMs = Number.POSITIVE_INFINITY

  private constructor (private readonly options: ServingDispatcherOptions) {
    options.table.registerListener((change) => this.notifyWaiters(change))
  }

  /**
   * @example
   * const dispatcher = ServingDispatcher.create(options)
   */
  static create (options: ServingDispatcherOptions): ServingDispatcher {
    return new ServingDispatcher(options)
  }

  /**
   * Sets the time at which the daemon stops: a request whose model would be loaded only later is refused at once, as
   * another daemon may still serve it.
   *
   * @example
   * dispatcher.setWaitDeadline(clock.readMonotonicMs() + 7_000)
   */
  setWaitDeadline (deadlineAtMs: number): void {
    this.waitDeadlineAtMs = deadlineAtMs
    for (const waiter of [...this.waiters.values()].flatMap((waiters) => [...waiters])) waiter.wake()
  }

  /** Models and adapters that requests wait for, for the announcement that is being sent to the peers. */
  listNeeds (): ModelNeed[] {
    const needs = new Map<string, ModelNeed>()
    for (const { request } of [...this.waiters.values()].flatMap((waiters) => [...waiters])) {
      const need = this.makeNeed(request)
      if (need === undefined) continue
      const key = makeNeedKey(need)
      needs.set(key, { ...need, waiting: 1 + (needs.get(key)?.waiting ?? 0) })
    }
    this.announcedNeeds = new Set(needs.keys())
    return [...needs.values()]
  }

  /** The model or adapter that a request waits for; undefined if it names no model. */
  private makeNeed ({ service, model, adapter }: ServedRequest): ModelNeed | undefined {
    if (model === undefined) return undefined
    const isModelMissing = !this.options.table.hasRunnerWithModel(service, model)
    return { service, model, adapter: isModelMissing ? undefined : adapter, waiting: 1 }
  }

  /**
   * Selects a runner for a request; waits for one if it can be ready in time, and otherwise returns a refusal at once.
   *
   * @param triedRunners Runners to which the request has been sent, or which cannot take it now.
   * @param softwareVersion Only version that may go on with the request, which has begun a stream; undefined if any may.
   * @example
   * const choice = await dispatcher.findRunner(request, new Set(), signal)
   */
  async findRunner (request: ServedRequest, triedRunners: ReadonlySet<string>, signal: AbortSignal, softwareVersion?: string): Promise<Runner | Refusal> {
    while (true) {
      const candidates = this.listCandidates(request).filter(({ runner }) => softwareVersion === undefined || nameVersion(runner) === softwareVersion)
      if (candidates.length === 0 && softwareVersion !== undefined && !this.mayBeLoadedOn(softwareVersion, request)) return Refusal.create('no_upstream', 'no runner of the software version that began the stream can go on with it')
      const candidatesWithCapacity = candidates.filter((view) => hasCapacity(view, this.options.countDaemons()))
      const chosen = this.chooseCandidate(candidatesWithCapacity, request, triedRunners)
      if (chosen !== undefined) return chosen.runner
      const refusal = candidates.length > 0 ? this.refuseAtCapacity(candidates) : this.refuseUnlessReadyInTime(request)
      if (refusal !== undefined) return refusal
      await this.waitForChange(request, signal)
      if (signal.aborted) return Refusal.create('bad_request', 'the caller disconnected')
    }
  }

  /** Avoided runners are left for the requests that no other runner can take. */
  private chooseCandidate (candidates: readonly RunnerView[], request: ServedRequest, triedRunners: ReadonlySet<string>): RunnerView | undefined {
    const { zone, isAvoided } = this.options
    const preferred = candidates.filter((view) => view.isHealthy && !triedRunners.has(view.runner.id) && !isAvoided(view.runner))
    const objectiveMs = request.arrivedAtMs + request.route.objectiveMs - this.options.clock.readMonotonicMs()
    return chooseRunner(preferred.length > 0 ? preferred : candidates, { ...request, zone, triedRunners, objectiveMs, maxPauseMs: request.route.maxPauseMs }, (runner) => this.measureAffinity(runner, request))
  }

  private measureAffinity (runner: Runner, request: ServedRequest): ReusableState {
    const { memory, exchanges } = this.options
    const weightsKey = request.adapter === undefined ? request.model ?? '' : makeAdapterKey(request.model!, request.adapter)
    return {
      cachedTokens: memory.countCachedTokens(runner.id, weightsKey, request.parts),
      isConnected: exchanges.hasReusableConnection(runner, chooseMaxIdleMs(request.route.repeat))
    }
  }

  private listCandidates (request: ServedRequest): RunnerView[] {
    if (request.model === undefined) return this.options.table.listCandidates(request.service)
    return this.options.table.listRunnersWithModel(request.service, request.model, request.adapter)
  }

  /** Whether a runner of a software version may get the model or adapter of a request: others that hold the model leave no need for a load. */
  private mayBeLoadedOn (softwareVersion: string, { service, model, adapter }: ServedRequest): boolean {
    const { table } = this.options
    if (model === undefined) return false
    const isModelLoaded = table.hasRunnerWithModel(service, model)
    if (isModelLoaded && adapter === undefined) return false
    const runners = isModelLoaded ? table.listRunnersWithModel(service, model, undefined) : table.listCandidates(service)
    return runners.some(({ runner }) => nameVersion(runner) === softwareVersion)
  }

  private refuseAtCapacity (candidates: readonly RunnerView[]): Refusal {
    const message = candidates.every((view) => view.backoffMs > 0) ? 'all runners refuse requests for now' : 'no runner has capacity'
    return Refusal.create('overloaded', message, { retryAfterMs: addRetryJitter(chooseCapacityRetryMs(candidates)) })
  }

  /** Returns a refusal unless the missing model or adapter can be loaded in time; undefined if the request waits for it. */
  private refuseUnlessReadyInTime (request: ServedRequest): Refusal | undefined {
    const { configurations, table, clock } = this.options
    const nowMs = clock.readMonotonicMs()
    const remainingMs = Math.min(request.deadlineAtMs, request.arrivedAtMs + request.route.patienceMs) - nowMs
    const spec = request.model === undefined ? undefined : configurations.findService(request.service)?.engine?.models.get(request.model)
    const runners = table.listCandidates(request.service).map((view) => view.runner)
    if (spec === undefined || runners.length === 0) {
      return Refusal.create('no_upstream', 'no runner serves the requested service or model', { retryAfterMs: addRetryJitter(NO_RUNNER_RETRY_AFTER_MS) })
    }
    const readyInMs = table.hasRunnerWithModel(request.service, spec.name) ? ADAPTER_LOAD_MS : estimateLoadMs(spec, runners)
    if (this.waitDeadlineAtMs - nowMs < readyInMs) return Refusal.create('draining', 'the daemon shuts down before the model is loaded', { retryAfterMs: 0 })
    const decision = decideMissingModel(remainingMs, readyInMs)
    if (decision.type === 'wait') return undefined
    // The load is still announced, as the caller is told to retry once it is done.
    this.announceRefusedNeed(request)
    return Refusal.create('model_unavailable', `model ${spec.name} is not loaded on any runner`, { retryAfterMs: addRetryJitter(decision.retryAfterMs) })
  }

  private announceRefusedNeed (request: ServedRequest): void {
    const waiter: Waiter = { request, wake: () => {} }
    const stopWaiting = this.registerWaiter(waiter)
    // Kept until the next hints have been sent, so that the leader learns of the need.
    this.options.clock.waitFor(RECHECK_INTERVAL_MS).then(stopWaiting)
  }

  private async waitForChange (request: ServedRequest, signal: AbortSignal): Promise<void> {
    const recheckTimer = new AbortController()
    const wake = (): void => recheckTimer.abort()
    signal.addEventListener('abort', wake, { once: true })
    const stopWaiting = this.registerWaiter({ request, wake })
    await this.options.clock.waitFor(RECHECK_INTERVAL_MS, recheckTimer.signal)
    stopWaiting()
    signal.removeEventListener('abort', wake)
  }

  /** Adds a waiting request and announces its need at once if the peers do not know it; returns the undo function. */
  private registerWaiter (waiter: Waiter): () => void {
    const { service } = waiter.request
    const waiters = this.waiters.get(service) ?? new Set<Waiter>()
    this.waiters.set(service, waiters)
    waiters.add(waiter)
    const need = this.makeNeed(waiter.request)
    if (need !== undefined && !this.announcedNeeds.has(makeNeedKey(need))) this.options.announceNeeds()
    return () => {
      waiters.delete(waiter)
    }
  }

  /** Wakes the requests that a changed runner may serve; those that lost a runner recheck within the interval. */
  private notifyWaiters ({ service, runner }: RunnerTableChange): void {
    if (runner === undefined || runner.isLeaving) return
    const heldModels = new Set(runner.holdings?.models.map(({ name }) => name))
    for (const waiter of [...this.waiters.get(service) ?? []]) {
      const { model } = waiter.request
      if (model === undefined || heldModels.has(model)) waiter.wake()
    }
  }
}

function makeNeedKey ({ service, model, adapter }: ModelNeed): string {
  return `${service}\n${model}\n${adapter ?? ''}`
}

/**
 * Adds jitter to a retry-after, in milliseconds.
 *
 * @example
 * addRetryJitter(400) // between 400 and 600
 */
export function addRetryJitter (ms: number): number {
  return ms * (1 + RETRY_JITTER_FRACTION * Math.random())
}
