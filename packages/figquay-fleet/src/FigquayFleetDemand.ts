/** How often each model is asked for, over all daemons, with the newest seconds counting most. */
import type { Clock } from 'figquay'

/** Time after which an arrival counts for about a third, in milliseconds: demand moves within seconds. */
const DECAY_MS = 4_000
/** A model that nobody has waited for in this time is no longer missed, in milliseconds: several hint intervals. */
const NEED_EXPIRES_MS = 700
/** A rate is never worked out from less time than this, in milliseconds. */
const SHORTEST_OBSERVATION_MS = 1_000
const MS_PER_SECOND = 1_000
/** Models that are asked for less often than this, in requests a second, are forgotten. */
const LEAST_RATE = 0.005

interface Rate {
  /** Requests a second. */
  requests: number
  /** Prompt tokens a second. */
  tokens: number
  atMs: number
}

/** Arrivals of a model. */
export interface Arrivals {
  readonly requests: number
  readonly promptTokens: number
}

/** A model or adapter that requests wait for. */
export interface Need {
  readonly service: string
  readonly model: string
  readonly adapter: string | undefined
  /** Requests that wait. */
  readonly waiting: number
}

/** Arrival rates and unmet needs. */
export class FleetDemand {
  private readonly rates = new Map<string, Rate>()
  /** Arrivals at this daemon alone. */
  private readonly ownRates = new Map<string, Rate>()
  private readonly needs = new Map<string, { readonly need: Need, readonly atMs: number }>()
  private arrivals = new Map<string, Arrivals>()

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

  /** Counts a request of this daemon's callers. */
  noteArrival (model: string, promptTokens: number): void {
    const known = this.arrivals.get(model) ?? { requests: 0, promptTokens: 0 }
    this.arrivals.set(model, { requests: known.requests + 1, promptTokens: known.promptTokens + promptTokens })
    this.addArrivals(model, { requests: 1, promptTokens })
    this.addTo(this.ownRates, model, { requests: 1, promptTokens })
  }

  /**
   * Recent arrivals at this daemon, older ones counting less: what a new holder needs instead of the arrivals since the last call.
   *
   * @example
   * const history = demand.listHistory()
   */
  listHistory (): Map<string, Arrivals> {
    const history = new Map<string, Arrivals>()
    for (const model of this.ownRates.keys()) {
      const { requests, promptTokens } = this.measureDecayed(this.ownRates, model)
      if (requests < LEAST_RATE) this.ownRates.delete(model)
      else history.set(model, { requests: requests * DECAY_MS / MS_PER_SECOND, promptTokens: promptTokens * DECAY_MS / MS_PER_SECOND })
    }
    return history
  }

  /** Arrivals here since the last call, for the peers. */
  takeArrivals (): Map<string, Arrivals> {
    const taken = this.arrivals
    this.arrivals = new Map()
    return taken
  }

  /**
   * Counts arrivals, here or at a peer.
   *
   * @example
   * demand.addArrivals('manual', { requests: 3, promptTokens: 2_400 })
   */
  addArrivals (model: string, arrivals: Arrivals): void {
    this.addTo(this.rates, model, arrivals)
  }

  private addTo (rates: Map<string, Rate>, model: string, arrivals: Arrivals): void {
    const { requests, promptTokens } = this.measureDecayed(rates, model)
    rates.set(model, {
      requests: requests + arrivals.requests * MS_PER_SECOND / DECAY_MS,
      tokens: promptTokens + arrivals.promptTokens * MS_PER_SECOND / DECAY_MS,
      atMs: this.clock.readMonotonicMs()
    })
  }

  /** Requests and prompt tokens a second for a model; a daemon that has just started knows of a short time only. */
  measureRate (model: string): Arrivals {
    const { requests, promptTokens } = this.measureDecayed(this.rates, model)
    const observedMs = Math.max(SHORTEST_OBSERVATION_MS, this.clock.readMonotonicMs() - this.startedAtMs)
    const part = 1 - Math.exp(-observedMs / DECAY_MS)
    return { requests: requests / part, promptTokens: promptTokens / part }
  }

  private measureDecayed (rates: ReadonlyMap<string, Rate>, model: string): Arrivals {
    const rate = rates.get(model)
    if (rate === undefined) return { requests: 0, promptTokens: 0 }
    const part = Math.exp((rate.atMs - this.clock.readMonotonicMs()) / DECAY_MS)
    return { requests: rate.requests * part, promptTokens: rate.tokens * part }
  }

  /**
   * Notes what a daemon's requests wait for; it replaces what the daemon said before.
   *
   * @example
   * demand.putNeeds('daemon-2', needs)
   */
  putNeeds (daemon: string, needs: readonly Need[]): void {
    const atMs = this.clock.readMonotonicMs()
    for (const key of [...this.needs.keys()]) {
      if (key.startsWith(`${daemon}\n`)) this.needs.delete(key)
    }
    for (const need of needs) this.needs.set(`${daemon}\n${need.service}\n${need.model}\n${need.adapter ?? ''}`, { need, atMs })
  }

  /**
   * Daemons whose requests wait for a model or for one of its adapters.
   *
   * @example
   * demand.listNeedy('manual')
   */
  listNeedy (model: string): string[] {
    const oldestMs = this.clock.readMonotonicMs() - NEED_EXPIRES_MS
    const daemons = [...this.needs].filter(([, { need, atMs }]) => need.model === model && atMs >= oldestMs).map(([key]) => key.slice(0, key.indexOf('\n')))
    return [...new Set(daemons)]
  }

  /** What requests wait for now, over all daemons. */
  listNeeds (): Need[] {
    const oldestMs = this.clock.readMonotonicMs() - NEED_EXPIRES_MS
    const totals = new Map<string, Need>()
    for (const { need, atMs } of this.needs.values()) {
      if (atMs < oldestMs) continue
      const key = `${need.service}\n${need.model}\n${need.adapter ?? ''}`
      totals.set(key, { ...need, waiting: need.waiting + (totals.get(key)?.waiting ?? 0) })
    }
    return [...totals.values()]
  }
}
