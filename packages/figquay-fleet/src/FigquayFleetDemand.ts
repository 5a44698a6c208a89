/** Fleet-wide demand: the arrival rate of each model, weighted towards recent seconds, and what queued requests wait for. */
import { setBounded, type Clock } from 'figquay'
import type { Holdings } from './FigquayFleetTypes.js'

/** Time constant of the exponential decay of arrival rates, in milliseconds: demand shifts within seconds. */
const RATE_DECAY_MS = 4_000
/** Time constant of the long-term request rate, in milliseconds: it tells rarely used models from those that nobody uses. */
const LONG_TERM_DECAY_MS = 60_000
/** A need that is not reported again within this time expires, in milliseconds: several hint intervals. */
const NEED_TTL_MS = 700
/**
 * What requests waited for in vain is known for this long after its last report, in milliseconds: a leader that lacks processor
 * time plans once a second, and requests that are refused at once wait for a fraction of that.
 */
const MISSED_NEED_TTL_MS = 2_000
/** Needs of the last moments that are kept: more than a fleet has models and adapters in demand. */
const MAX_MISSED_NEEDS = 5_000
/** Rates are not extrapolated from a shorter observation than this, in milliseconds. */
const MIN_OBSERVATION_MS = 1_000
const MS_PER_SECOND = 1_000
/** Models with a lower arrival rate are dropped from the local history. */
const MIN_REQUESTS_PER_SECOND = 0.005

interface DecayedRate {
  /** Requests per second. */
  requests: number
  /** Prompt tokens per second. */
  tokens: number
  /** Prompts whose first output came, per second. */
  processed: number
  /** Prompt tokens of these that runners had not cached, per second. */
  uncachedTokens: number
  /** Requests per second over the last minute. */
  longTermRequests: number
  /** Monotonic time from which the rate decays, in milliseconds. */
  updatedAtMs: number
}

/** Requests for a model and their prompt tokens; per second where they are a rate. */
export interface Arrivals {
  readonly requests: number
  readonly promptTokens: number
  /** Requests whose first output came; missing from a daemon that doesn't count them. */
  readonly processed?: number
  /** Prompt tokens of these that runners had not cached; missing likewise. */
  readonly uncachedTokens?: number
}

/** Demand per second. */
export interface DemandRate {
  readonly requests: number
  readonly promptTokens: number
  /** Prompt tokens of the arriving requests that runners will not have cached, by those that were processed lately. */
  readonly uncachedTokens: number
  /** Requests per second over the last minute. */
  readonly longTermRequests: number
}

/** A model or adapter that queued requests wait for. */
export interface ModelNeed {
  readonly service: string
  readonly model: string
  readonly adapter: string | undefined
  /** Number of queued requests. */
  readonly waiting: number
}

/**
 * Whether a runner holds the model that requests wait for, and the adapter if they wait for one.
 *
 * @example
 * isNeedMet(holdings, { service: 'assistant', model: 'manual', adapter: 'a3', waiting: 1 })
 */
export function isNeedMet ({ models }: Pick<Holdings, 'models'>, { model, adapter }: ModelNeed): boolean {
  return models.some((held) => held.name === model && (adapter === undefined || held.adapters.includes(adapter)))
}

interface ReportedNeed {
  readonly need: ModelNeed
  readonly receivedAtMs: number
}

function makeNeedKey ({ service, model, adapter }: ModelNeed): string {
  return `${service}\n${model}\n${adapter ?? ''}`
}

/** Tracks arrival rates and unmet needs over all daemons. */
export class FleetDemand {
  private readonly rates = new Map<string, DecayedRate>()
  /** Arrivals at this daemon only. */
  private readonly localRates = new Map<string, DecayedRate>()
  /** By daemon, then by service, model and adapter. */
  private readonly needs = new Map<string, ReadonlyMap<string, ReportedNeed>>()
  /** Time of the last report of each need that is reported no longer, by service, model and adapter. */
  private readonly missedNeeds = new Map<string, ReportedNeed>()
  /** Arrivals at this daemon that were not reported to peers yet. */
  private unsentArrivals = new Map<string, Arrivals>()

  private readonly startedAtMs: number

  private constructor (private readonly clock: Clock) {
    this.startedAtMs = clock.readMonotonicMs()
  }

  /**
   * @example
   * const demand = FleetDemand.create(clock)
   */
  static create (clock: Clock): FleetDemand {
    return new FleetDemand(clock)
  }

  /** Counts a request that arrived at this daemon. */
  noteArrival (model: string, promptTokens: number): void {
    this.addOwnArrivals(model, { requests: 1, promptTokens, processed: 0, uncachedTokens: 0 })
  }

  /** Counts the prompt tokens of a request that a runner has processed: those that it had not cached. */
  noteProcessedPrompt (model: string, uncachedTokens: number): void {
    this.addOwnArrivals(model, { requests: 0, promptTokens: 0, processed: 1, uncachedTokens })
  }

  private addOwnArrivals (model: string, arrivals: Required<Arrivals>): void {
    const known = this.unsentArrivals.get(model)
    this.unsentArrivals.set(model, {
      requests: (known?.requests ?? 0) + arrivals.requests,
      promptTokens: (known?.promptTokens ?? 0) + arrivals.promptTokens,
      processed: (known?.processed ?? 0) + arrivals.processed,
      uncachedTokens: (known?.uncachedTokens ?? 0) + arrivals.uncachedTokens
    })
    this.addArrivals(model, arrivals)
    this.addToRates(this.localRates, model, arrivals)
  }

  /**
   * Decayed count of recent arrivals at this daemon. A new leader, which has received no earlier report, is sent this
   * instead of the arrivals since the last report.
   *
   * @example
   * const history = demand.listDecayedArrivals()
   */
  listDecayedArrivals (): Map<string, Arrivals> {
    const history = new Map<string, Arrivals>()
    for (const model of this.localRates.keys()) {
      const { requests, tokens, processed, uncachedTokens } = this.measureDecayedRate(this.localRates, model)
      const seconds = RATE_DECAY_MS / MS_PER_SECOND
      if (requests < MIN_REQUESTS_PER_SECOND) this.localRates.delete(model)
      else history.set(model, { requests: requests * seconds, promptTokens: tokens * seconds, processed: processed * seconds, uncachedTokens: uncachedTokens * seconds })
    }
    return history
  }

  /** Returns the arrivals at this daemon since the last call, to be reported to peers. */
  takeArrivals (): Map<string, Arrivals> {
    const taken = this.unsentArrivals
    this.unsentArrivals = new Map()
    return taken
  }

  /**
   * Adds arrivals at this daemon or at a peer to the fleet-wide rates.
   *
   * @example
   * demand.addArrivals('manual', { requests: 3, promptTokens: 2_400 })
   */
  addArrivals (model: string, arrivals: Arrivals): void {
    this.addToRates(this.rates, model, arrivals)
  }

  private addToRates (rates: Map<string, DecayedRate>, model: string, arrivals: Arrivals): void {
    const rate = this.measureDecayedRate(rates, model)
    const perSecond = MS_PER_SECOND / RATE_DECAY_MS
    rates.set(model, {
      requests: rate.requests + arrivals.requests * perSecond,
      tokens: rate.tokens + arrivals.promptTokens * perSecond,
      processed: rate.processed + (arrivals.processed ?? arrivals.requests) * perSecond,
      uncachedTokens: rate.uncachedTokens + (arrivals.uncachedTokens ?? arrivals.promptTokens) * perSecond,
      longTermRequests: rate.longTermRequests + arrivals.requests * MS_PER_SECOND / LONG_TERM_DECAY_MS,
      updatedAtMs: this.clock.readMonotonicMs()
    })
  }

  /** Demand for a model per second, corrected for the short observation of a daemon that has just started. */
  measureRate (model: string): DemandRate {
    const rate = this.measureDecayedRate(this.rates, model)
    const observedMs = Math.max(MIN_OBSERVATION_MS, this.clock.readMonotonicMs() - this.startedAtMs)
    const observedFraction = 1 - Math.exp(-observedMs / RATE_DECAY_MS)
    const requests = rate.requests / observedFraction
    // Prompts that wait are not processed yet: what runners process is less than what arrives while they are overloaded.
    const tokensPerRequest = rate.processed > MIN_REQUESTS_PER_SECOND ? rate.uncachedTokens / rate.processed : rate.tokens / Math.max(rate.requests, MIN_REQUESTS_PER_SECOND)
    return {
      requests,
      promptTokens: rate.tokens / observedFraction,
      uncachedTokens: tokensPerRequest * requests,
      longTermRequests: rate.longTermRequests / (1 - Math.exp(-observedMs / LONG_TERM_DECAY_MS))
    }
  }

  private measureDecayedRate (rates: ReadonlyMap<string, DecayedRate>, model: string): DecayedRate {
    const rate = rates.get(model)
    const nowMs = this.clock.readMonotonicMs()
    if (rate === undefined) return { requests: 0, tokens: 0, processed: 0, uncachedTokens: 0, longTermRequests: 0, updatedAtMs: nowMs }
    const elapsedMs = nowMs - rate.updatedAtMs
    const decayFactor = Math.exp(-elapsedMs / RATE_DECAY_MS)
    return {
      requests: rate.requests * decayFactor,
      tokens: rate.tokens * decayFactor,
      processed: rate.processed * decayFactor,
      uncachedTokens: rate.uncachedTokens * decayFactor,
      longTermRequests: rate.longTermRequests * Math.exp(-elapsedMs / LONG_TERM_DECAY_MS),
      updatedAtMs: nowMs
    }
  }

  /**
   * Replaces the needs that a daemon has reported.
   *
   * @example
   * demand.putNeeds('daemon-2', needs)
   */
  putNeeds (daemon: string, needs: readonly ModelNeed[]): void {
    const receivedAtMs = this.clock.readMonotonicMs()
    const reported = new Map(needs.map((need): [string, ReportedNeed] => [makeNeedKey(need), { need, receivedAtMs }]))
    for (const [key, previous] of this.needs.get(daemon) ?? []) if (!reported.has(key)) setBounded(this.missedNeeds, key, previous, MAX_MISSED_NEEDS)
    if (reported.size === 0) this.needs.delete(daemon)
    else this.needs.set(daemon, reported)
  }

  /**
   * Daemons whose queued requests wait for something that a runner holds.
   *
   * @example
   * demand.listWaitingDaemons(holdings)
   */
  listWaitingDaemons (holdings: Pick<Holdings, 'models'>): string[] {
    const oldestMs = this.clock.readMonotonicMs() - NEED_TTL_MS
    return [...this.needs].filter(([, needs]) => [...needs.values()].some(({ need, receivedAtMs }) => receivedAtMs >= oldestMs && isNeedMet(holdings, need))).map(([daemon]) => daemon)
  }

  /** What requests waited for a moment ago and wait for no longer; some of it has been loaded since. */
  listMissedNeeds (): ModelNeed[] {
    const oldestMs = this.clock.readMonotonicMs() - MISSED_NEED_TTL_MS
    for (const [key, { receivedAtMs }] of this.missedNeeds) if (receivedAtMs < oldestMs) this.missedNeeds.delete(key)
    return [...this.missedNeeds.values()].map(({ need }) => ({ ...need, waiting: 1 }))
  }

  /** Unexpired needs, summed over all daemons. */
  listNeeds (): ModelNeed[] {
    const oldestMs = this.clock.readMonotonicMs() - NEED_TTL_MS
    const totals = new Map<string, ModelNeed>()
    for (const [key, { need, receivedAtMs }] of [...this.needs.values()].flatMap((needs) => [...needs])) {
      if (receivedAtMs >= oldestMs) totals.set(key, { ...need, waiting: need.waiting + (totals.get(key)?.waiting ?? 0) })
    }
    return [...totals.values()]
  }
}
