/** Finds a runner for a request, and lets it wait while one is being made ready. */
import { Refusal, type Clock } from 'figquay'
import { chooseRunner, makeAdapterKey, type ConfigurationHolder, type FleetRunnerTable, type Need, type RunnerTableChange, type PromptMemory, type Runner, type RunnerDealings, type RunnerView } from 'figquay-fleet'
import { chooseFullRetry, decideMissingModel, estimateLoadMs, hasRoom } from './FigquayServingWaiting.js'
import { chooseMostIdle } from './FigquayServingReuse.js'
import type { RunnerExchangeClient, ServedRequest } from './FigquayServingTypes.js'

/** What the dispatcher needs. */
export interface ServingDispatcherOptions {
  readonly clock: Clock
  readonly zone: string
  readonly configurations: ConfigurationHolder
  readonly table: FleetRunnerTable
  readonly memory: PromptMemory
  readonly exchanges: RunnerExchangeClient
  /** Called when something is needed that nobody waited for before. */
  readonly announceNeeds: () => void
}

/** A request that waits for something to change. */
interface Waiter {
  readonly request: ServedRequest
  wake: () => void
}

/** A request that waits looks again after this time at the latest, in milliseconds. */
const LOOK_AGAIN_MS = 250
/** An adapter is ready within this time when its model is there, in milliseconds. */
const ADAPTER_READY_MS = 150
/** A service without any runner may get one within this time, in milliseconds: a runner's usual restart. */
const NO_RUNNER_RETRY_MS = 800
/** Retry times are spread by this part of them, so that the callers don't return together. */
const RETRY_SPREAD = 0.5

/** Runners for requests. */
export class ServingDispatcher {
  /** By service: a change concerns the requests of one service only. */
  private readonly waiters = new Map<string, Set<Waiter>>()
  /** Needs that the peers were told of the last time. */
  private toldNeeds: ReadonlySet<string> = new Set()
  private lastWaitMs = Number.POSITIVE_INFINITY

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
   * Lets no request wait for what can't be there by a time: the daemon stops then, and another may still serve it.
   *
   * @example
   * dispatcher.setLastWait(clock.readMonotonicMs() + 7_000)
   */
  setLastWait (atMs: number): void {
    this.lastWaitMs = atMs
    for (const waiter of [...this.waiters.values()].flatMap((waiters) => [...waiters])) waiter.wake()
  }

  /** What this daemon's requests wait for, to be told to the peers now. */
  listNeeds (): Need[] {
    const needs = new Map<string, Need>()
    for (const { request } of [...this.waiters.values()].flatMap((waiters) => [...waiters])) {
      const need = this.makeNeed(request)
      if (need === undefined) continue
      const key = makeNeedKey(need)
      needs.set(key, { ...need, waiting: 1 + (needs.get(key)?.waiting ?? 0) })
    }
    this.toldNeeds = new Set(needs.keys())
    return [...needs.values()]
  }

  /** What one request waits for; undefined when that is no model. */
  private makeNeed ({ service, model, adapter }: ServedRequest): Need | undefined {
    if (model === undefined) return undefined
    const lacksModel = !this.options.table.hasHolder(service, model)
    return { service, model, adapter: lacksModel ? undefined : adapter, waiting: 1 }
  }

  /**
   * A runner for a request; waits while that helps, and refuses as soon as it doesn't.
   *
   * @param tried Runners that have had the request.
   * @example
   * const choice = await dispatcher.findRunner(request, new Set(), signal)
   */
  async findRunner (request: ServedRequest, tried: ReadonlySet<string>, signal: AbortSignal): Promise<Runner | Refusal> {
    while (true) {
      const candidates = this.listCandidates(request)
      const roomy = candidates.filter(hasRoom)
      const view = chooseRunner(roomy, { ...request, zone: this.options.zone, triedRunners: tried }, (runner) => this.findDealings(runner, request))
      if (view !== undefined) return view.runner
      const refusal = candidates.length > 0 ? this.refuseFull(candidates) : this.judgeMissing(request)
      if (refusal !== undefined) return refusal
      await this.waitForChange(request, signal)
      if (signal.aborted) return Refusal.create('bad_request', 'the caller went away')
    }
  }

  private findDealings (runner: Runner, request: ServedRequest): RunnerDealings {
    const { memory, exchanges } = this.options
    const weights = request.adapter === undefined ? request.model ?? '' : makeAdapterKey(request.model!, request.adapter)
    return {
      cachedTokens: memory.countCached(runner.id, weights, request.parts),
      isConnected: exchanges.hasConnection(runner, chooseMostIdle(request.route.repeat))
    }
  }

  private listCandidates (request: ServedRequest): RunnerView[] {
    if (request.model === undefined) return this.options.table.listCandidates(request.service)
    return this.options.table.listHolders(request.service, request.model, request.adapter)
  }

  private refuseFull (candidates: readonly RunnerView[]): Refusal {
    const message = candidates.every((view) => view.refusesForMs > 0) ? 'every runner wants nothing for a while' : 'no runner has room'
    return Refusal.create('overloaded', message, { retryAfterMs: spreadRetry(chooseFullRetry(candidates)) })
  }

  /** Undefined when the request waits. */
  private judgeMissing (request: ServedRequest): Refusal | undefined {
    const { configurations, table, clock } = this.options
    const nowMs = clock.readMonotonicMs()
    const remainingMs = Math.min(request.deadlineAtMs, request.arrivedAtMs + request.route.patienceMs) - nowMs
    const spec = request.model === undefined ? undefined : configurations.findService(request.service)?.engine?.models.get(request.model)
    const runners = table.listCandidates(request.service).map((view) => view.runner)
    if (spec === undefined || runners.length === 0) {
      return Refusal.create('no_upstream', 'no runner serves this', { retryAfterMs: spreadRetry(NO_RUNNER_RETRY_MS) })
    }
    const readyInMs = table.hasHolder(request.service, spec.name) ? ADAPTER_READY_MS : estimateLoadMs(spec, runners)
    if (this.lastWaitMs - nowMs < readyInMs) return Refusal.create('draining', 'the daemon stops before the model is ready', { retryAfterMs: 0 })
    const decision = decideMissingModel(remainingMs, readyInMs)
    if (decision.type === 'wait') return undefined
    // The load is still wanted: the caller is told to come back for it.
    this.announceOnce(request)
    return Refusal.create('model_unavailable', `model ${spec.name} is on no runner`, { retryAfterMs: spreadRetry(decision.retryAfterMs) })
  }

  private announceOnce (request: ServedRequest): void {
    const waiter: Waiter = { request, wake: () => {} }
    const stopWaiting = this.registerWaiter(waiter)
    // Kept until the next hints have gone out, so that the holder hears of it.
    this.options.clock.waitFor(LOOK_AGAIN_MS).then(stopWaiting)
  }

  private async waitForChange (request: ServedRequest, signal: AbortSignal): Promise<void> {
    const timer = new AbortController()
    const stop = (): void => timer.abort()
    signal.addEventListener('abort', stop, { once: true })
    const stopWaiting = this.registerWaiter({ request, wake: stop })
    await this.options.clock.waitFor(LOOK_AGAIN_MS, timer.signal)
    stopWaiting()
    signal.removeEventListener('abort', stop)
  }

  /** Adds a request that waits, and tells at once of a need that the peers don't know. */
  private registerWaiter (waiter: Waiter): () => void {
    const { service } = waiter.request
    const waiters = this.waiters.get(service) ?? new Set<Waiter>()
    this.waiters.set(service, waiters)
    waiters.add(waiter)
    const need = this.makeNeed(waiter.request)
    if (need !== undefined && !this.toldNeeds.has(makeNeedKey(need))) this.options.announceNeeds()
    return () => {
      waiters.delete(waiter)
    }
  }

  /** Wakes the requests that a changed runner may serve; those that lost one look again soon by themselves. */
  private notifyWaiters ({ service, runner }: RunnerTableChange): void {
    if (runner === undefined || runner.isLeaving) return
    const held = new Set(runner.holdings?.models.map(({ name }) => name))
    for (const waiter of [...this.waiters.get(service) ?? []]) {
      const { model } = waiter.request
      if (model === undefined || held.has(model)) waiter.wake()
    }
  }
}

function makeNeedKey ({ service, model, adapter }: Need): string {
  return `${service}\n${model}\n${adapter ?? ''}`
}

/** A retry time with a random part. */
export function spreadRetry (ms: number): number {
  return ms * (1 + RETRY_SPREAD * Math.random())
}
