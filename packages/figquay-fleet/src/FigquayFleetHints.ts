/** What daemons tell each other again and again: load, demand, needs, and how far each has read. */
import type { Clock } from 'figquay'
import type { ConfigurationHolder } from './FigquayFleetConfiguration.js'
import type { Arrivals, FleetDemand, Need } from './FigquayFleetDemand.js'
import type { FactsState } from './FigquayFleetFacts.js'
import type { FleetLeadership, Holder } from './FigquayFleetLeadership.js'
import { HINT_EXPIRES_MS, type RunnerLoad } from './FigquayFleetPeerLoads.js'
import type { FleetRunnerTable } from './FigquayFleetRunnerTable.js'

/** One message of hints. */
export interface FleetHints {
  readonly from: string
  readonly holder: Holder | undefined
  /** Configuration in force. */
  readonly version: number
  /** How far the list of runners has been read. */
  readonly position: number
  /** Where in it the last change was. */
  readonly changedAt: number
  /** Daemons that are known there. */
  readonly daemonCount: number
  readonly facts: FactsState
  /** Time since the store was last read, by this daemon or where its picture comes from, in milliseconds: what hints alone have told grows younger on each way and isn't told on. */
  readonly storeAgeMs: number
  /** By runner: requests, pending and recent prompt tokens, and requests by model. */
  readonly loads: ReadonlyArray<readonly [runner: string, requests: number, pendingTokens: number, recentTokens: number, models: ReadonlyArray<readonly [string, number]>]>
  /** Arrivals by model since the last message. */
  readonly arrivals: ReadonlyArray<readonly [string, Arrivals]>
  readonly needs: readonly Need[]
  /** Adapters used since the last message, by runner. */
  readonly adapters: ReadonlyArray<readonly [runner: string, key: string]>
}

/**
 * Joins a runner and a model on it.
 *
 * @example
 * makeOpenKey('runner-1', 'manual')
 */
export function makeOpenKey (runner: string, model: string): string {
  return `${runner}\n${model}`
}

/** Requests by model that peers have at runners. */
type ModelLoads = ReadonlyMap<string, number>

/** What the exchange needs. */
export interface HintExchangeOptions {
  readonly self: string
  readonly clock: Clock
  readonly table: FleetRunnerTable
  readonly demand: FleetDemand
  readonly leadership: FleetLeadership
  readonly configurations: ConfigurationHolder
  /** What this daemon's requests wait for. */
  readonly listNeeds: () => readonly Need[]
  readonly noteAdapterUse: (runner: string, key: string) => void
  /** Daemons that have announced themselves, as far as this one knows. */
  readonly countDaemons: () => number
  /** Where this daemon's facts stand. */
  readonly readFacts: () => FactsState
  /** Time since the store was last read, here or where this daemon's picture comes from, in milliseconds. */
  readonly measureStoreAge: () => number
}

/** Makes and takes in hints. */
export class HintExchange {
  private readonly peerModels = new Map<string, { readonly loads: ModelLoads, readonly receivedAtMs: number }>()
  private usedAdapters = new Set<string>()
  private reportedFence: number | undefined

  private constructor (private readonly options: HintExchangeOptions) {}

  /**
   * @example
   * const hints = HintExchange.create(options)
   */
  static create (options: HintExchangeOptions): HintExchange {
    return new HintExchange(options)
  }

  /** Notes that a request of this daemon uses an adapter at a runner. */
  noteAdapterUse (runner: string, key: string): void {
    this.usedAdapters.add(`${runner}\n${key}`)
    this.options.noteAdapterUse(runner, key)
  }

  /**
   * Hints to send now.
   *
   * @example
   * mesh.sendToAll('fleet.hints', exchange.makeHints())
   */
  makeHints (): FleetHints {
    return this.makeMessage(this.options.demand.takeArrivals())
  }

  /**
   * Report for the holder alone; a holder that has not had one before is told of earlier arrivals too.
   *
   * @example
   * mesh.sendTo(holder.daemon, 'fleet.report', exchange.makeReport(holder.fence))
   */
  makeReport (fence: number): FleetHints {
    const { demand } = this.options
    const arrivals = demand.takeArrivals()
    const isKnown = this.reportedFence === fence
    this.reportedFence = fence
    return this.makeMessage(isKnown ? arrivals : demand.listHistory())
  }

  /** Keeps what this daemon itself waits for up to date while there is nobody to tell. */
  refreshOwn (): void {
    const { self, demand, listNeeds } = this.options
    demand.takeArrivals()
    this.usedAdapters = new Set()
    demand.putNeeds(self, listNeeds())
  }

  private makeMessage (arrivals: ReadonlyMap<string, Arrivals>): FleetHints {
    const { self, table, demand, leadership, configurations, listNeeds, countDaemons, readFacts, measureStoreAge } = this.options
    const adapters = [...this.usedAdapters].map((text) => text.split('\n') as [string, string])
    this.usedAdapters = new Set()
    const needs = listNeeds()
    demand.putNeeds(self, needs)
    return {
      from: self,
      holder: leadership.holder,
      version: configurations.version,
      position: table.position,
      changedAt: table.changedAt,
      daemonCount: countDaemons(),
      facts: readFacts(),
      storeAgeMs: Math.round(measureStoreAge()),
      loads: [...table.exportLoads()].map(([runner, load]) => [runner, load.requests, load.pendingTokens, Math.round(load.recentTokens), [...this.countOwnModels(runner)]]),
      arrivals: [...arrivals],
      needs,
      adapters
    }
  }

  /**
   * Takes in the hints of a peer.
   *
   * @example
   * exchange.takeHints(message)
   */
  takeHints (hints: FleetHints): void {
    this.options.table.putPeerLoads(hints.from, new Map(hints.loads.map(([runner, requests, pendingTokens, recentTokens]): [string, RunnerLoad] => [runner, { requests, pendingTokens, recentTokens }])))
    this.takeReport(hints)
  }

  /** Takes in a report; the load of its daemon is heard of by other ways. */
  takeReport (hints: FleetHints): void {
    const { demand, leadership, clock, noteAdapterUse } = this.options
    const models = new Map(hints.loads.flatMap(([runner, , , , counts]) => counts.map(([model, count]): [string, number] => [makeOpenKey(runner, model), count])))
    this.peerModels.set(hints.from, { loads: models, receivedAtMs: clock.readMonotonicMs() })
    for (const [model, arrivals] of hints.arrivals) demand.addArrivals(model, arrivals)
    demand.putNeeds(hints.from, hints.needs)
    for (const [runner, key] of hints.adapters) noteAdapterUse(runner, key)
    if (hints.holder !== undefined) leadership.noteRumour(hints.holder)
  }

  /**
   * Requests under way here and at the peers, by runner and model.
   *
   * @example
   * hints.sumOpen().get(makeOpenKey('runner-1', 'manual'))
   */
  sumOpen (): ReadonlyMap<string, number> {
    const nowMs = this.options.clock.readMonotonicMs()
    const sums = new Map<string, number>()
    const add = (key: string, count: number): void => {
      sums.set(key, (sums.get(key) ?? 0) + count)
    }
    for (const runner of this.options.table.exportLoads().keys()) {
      for (const [model, count] of this.countOwnModels(runner)) add(makeOpenKey(runner, model), count)
    }
    for (const [peer, { loads, receivedAtMs }] of this.peerModels) {
      if (nowMs - receivedAtMs >= HINT_EXPIRES_MS) this.peerModels.delete(peer)
      else for (const [key, count] of loads) add(key, count)
    }
    return sums
  }

  private countOwnModels (runner: string): Map<string, number> {
    const counts = new Map<string, number>()
    for (const { model } of this.options.table.listOpen(runner)) {
      if (model !== undefined) counts.set(model, (counts.get(model) ?? 0) + 1)
    }
    return counts
  }
}
