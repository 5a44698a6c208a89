/** Hints: soft state that daemons send each other periodically, such as load, demand, needs and read positions. */
import type { Clock } from 'figquay'
import type { ConfigurationHolder } from './FigquayFleetConfiguration.js'
import type { Arrivals, FleetDemand, ModelNeed } from './FigquayFleetDemand.js'
import type { FactsState } from './FigquayFleetFacts.js'
import type { FleetLeadership, Leader } from './FigquayFleetLeadership.js'
import { encodePosition, readOffset } from './FigquayFleetLogPosition.js'
import { HINT_TTL_MS, type RunnerLoad } from './FigquayFleetPeerLoads.js'
import type { SpeedRow } from './FigquayFleetRunnerSpeeds.js'
import type { FleetRunnerTable } from './FigquayFleetRunnerTable.js'

/** A message with hints. */
export interface FleetHints {
  readonly from: string
  /** The leader, as far as the sender knows. */
  readonly holder: Leader | undefined
  /** Version of the active configuration. */
  readonly version: number
  /** Newest version of the configuration that the sender knows to exist. */
  readonly newestVersion: number
  /** Era of the offsets below; missing from a daemon that knows no eras. */
  readonly era?: number
  /** Offset up to which the list of runners has been read. */
  readonly position: number
  /** Offset of the last change in that list, heartbeats excluded. */
  readonly changedAt: number
  /** Number of daemons that the sender knows of. */
  readonly daemonCount: number
  readonly facts: FactsState
  /**
   * Time since the store was last read, by the sender or the daemon that its state comes from, in milliseconds. An age
   * that is known from hints alone is not passed on, as it would decrease with each hop.
   */
  readonly storeAgeMs: number
  /** Identifies that read; missing from a daemon that doesn't name reads. */
  readonly storeRead?: string
  /** Load by runner: requests, pending and recent prompt tokens, and requests by model. */
  readonly loads: ReadonlyArray<readonly [runner: string, requests: number, pendingTokens: number, recentTokens: number, models: ReadonlyArray<readonly [string, number]>]>
  /** Speeds of runners that have changed since the last hints; missing if there are none. */
  readonly speeds?: readonly SpeedRow[] | undefined
  /** Request arrivals by model since the last message. */
  readonly arrivals: ReadonlyArray<readonly [string, Arrivals]>
  readonly needs: readonly ModelNeed[]
  /** Adapters used since the last message, by runner. */
  readonly adapters: ReadonlyArray<readonly [runner: string, key: string]>
  /** Processor cores of the sender's VM; missing if unknown, and from a daemon that doesn't tell. */
  readonly processorCores?: number | undefined
}

/**
 * Joins a runner and a model to a key.
 *
 * @example
 * makeRunnerModelKey('runner-1', 'manual')
 */
export function makeRunnerModelKey (runner: string, model: string): string {
  return `${runner}\n${model}`
}

/** Stands for all peers, which get the same hints. */
const HINT_RECEIVERS = 'all peers'

/** Requests in progress by the keys of `makeRunnerModelKey`. */
type RequestCounts = ReadonlyMap<string, number>

/** Options of the exchange. */
export interface HintExchangeOptions {
  readonly self: string
  readonly clock: Clock
  readonly table: FleetRunnerTable
  readonly demand: FleetDemand
  readonly leadership: FleetLeadership
  readonly configurations: ConfigurationHolder
  /** Models and adapters that this daemon's requests wait for. */
  readonly listNeeds: () => readonly ModelNeed[]
  readonly recordAdapterUse: (runner: string, key: string) => void
  /** Processor cores of this VM; unknown if undefined. */
  readonly processorCores?: number | undefined
  /** Number of announced daemons that this one knows of. */
  readonly countDaemons: () => number
  /** Newest version of the configuration that this daemon knows to exist. */
  readonly findNewestVersion: () => number
  /** Summary of this daemon's facts. */
  readonly readFactsState: () => FactsState
  /** The last read of the store by this daemon or the one that its state comes from. */
  readonly reportStoreRead: () => Pick<FleetHints, 'storeAgeMs' | 'storeRead'>
}

/** Creates the hints of this daemon and applies those of its peers. */
export class HintExchange {
  /** Requests in progress by peer, as last reported. */
  private readonly peerRequests = new Map<string, { readonly requestCounts: RequestCounts, readonly receivedAtMs: number }>()
  /** Runner and adapter key of each adapter used since the last message. */
  private usedAdapters = new Set<string>()
  /** Fencing token of the leader that the last report was made for. */
  private lastReportFencingToken: number | undefined

  private constructor (private readonly options: HintExchangeOptions) {}

  /**
   * @example
   * const hints = HintExchange.create(options)
   */
  static create (options: HintExchangeOptions): HintExchange {
    return new HintExchange(options)
  }

  /** Records that a request of this daemon uses an adapter on a runner. */
  recordAdapterUse (runner: string, key: string): void {
    this.usedAdapters.add(`${runner}\n${key}`)
    this.options.recordAdapterUse(runner, key)
  }

  /**
   * Makes the hints to send to all peers now.
   *
   * @example
   * mesh.notifyNeighbours('fleet.hints', exchange.makeHints())
   */
  makeHints (): FleetHints {
    const speeds = this.options.table.takeSpeeds(HINT_RECEIVERS, (branch) => branch === undefined)
    return { ...this.makeMessage(this.options.demand.takeArrivals()), speeds }
  }

  /**
   * Makes a report for the leader alone. The first report to a leader includes earlier arrivals.
   *
   * @example
   * mesh.notifyPeer(leader.daemon, 'fleet.report', exchange.makeReport(leader.fence))
   */
  makeReport (fencingToken: number): FleetHints {
    const { demand } = this.options
    const arrivals = demand.takeArrivals()
    const hasReported = this.lastReportFencingToken === fencingToken
    this.lastReportFencingToken = fencingToken
    return this.makeMessage(hasReported ? arrivals : demand.listDecayedArrivals())
  }

  /** Updates this daemon's own needs, and drops what it would report, while no other daemon is the leader. */
  updateOwnNeeds (): void {
    const { self, demand, listNeeds } = this.options
    demand.takeArrivals()
    this.usedAdapters = new Set()
    demand.putNeeds(self, listNeeds())
  }

  private makeMessage (arrivals: ReadonlyMap<string, Arrivals>): FleetHints {
    const { self, table, demand, leadership, configurations, listNeeds, countDaemons, findNewestVersion, readFactsState, reportStoreRead } = this.options
    const adapters = [...this.usedAdapters].map((entry) => entry.split('\n') as [string, string])
    this.usedAdapters = new Set()
    const needs = listNeeds()
    demand.putNeeds(self, needs)
    return {
      from: self,
      holder: leadership.leader,
      version: configurations.version,
      newestVersion: findNewestVersion(),
      ...encodePosition(table.position),
      changedAt: readOffset(table.lastChangePosition),
      daemonCount: countDaemons(),
      facts: readFactsState(),
      ...reportStoreRead(),
      loads: [...table.exportLoads()].map(([runner, load]) => [runner, load.requests, load.pendingTokens, Math.round(load.recentTokens), [...this.countOwnRequests(runner)]]),
      arrivals: [...arrivals],
      needs,
      adapters,
      processorCores: this.options.processorCores
    }
  }

  /**
   * Applies the hints of a peer.
   *
   * @example
   * exchange.applyHints(message)
   */
  applyHints (hints: FleetHints): void {
    this.options.table.putPeerLoads(hints.from, new Map(hints.loads.map(([runner, requests, pendingTokens, recentTokens]): [string, RunnerLoad] => [runner, { requests, pendingTokens, recentTokens }])))
    this.options.table.putPeerSpeeds(hints.from, hints.speeds)
    this.applyReport(hints)
  }

  /** Applies a report. It doesn't set the peer's load on the runners, which arrives through the relay. */
  applyReport (hints: FleetHints): void {
    const { demand, leadership, clock, recordAdapterUse } = this.options
    const requestCounts = new Map(hints.loads.flatMap(([runner, , , , counts]) => counts.map(([model, count]): [string, number] => [makeRunnerModelKey(runner, model), count])))
    this.peerRequests.set(hints.from, { requestCounts, receivedAtMs: clock.readMonotonicMs() })
    for (const [model, arrivals] of hints.arrivals) demand.addArrivals(model, arrivals)
    demand.putNeeds(hints.from, hints.needs)
    for (const [runner, key] of hints.adapters) recordAdapterUse(runner, key)
    if (hints.holder !== undefined) leadership.applyPeerLeader(hints.holder)
    if (typeof hints.processorCores === 'number') leadership.notePeerProcessor(hints.from, hints.processorCores)
  }

  /**
   * Sums the requests in progress of this daemon and its peers, by runner and model.
   *
   * @example
   * exchange.sumOpenRequests().get(makeRunnerModelKey('runner-1', 'manual'))
   */
  sumOpenRequests (): ReadonlyMap<string, number> {
    const nowMs = this.options.clock.readMonotonicMs()
    const totals = new Map<string, number>()
    const add = (key: string, count: number): void => {
      totals.set(key, (totals.get(key) ?? 0) + count)
    }
    for (const runner of this.options.table.exportLoads().keys()) {
      for (const [model, count] of this.countOwnRequests(runner)) add(makeRunnerModelKey(runner, model), count)
    }
    for (const [peer, { requestCounts, receivedAtMs }] of this.peerRequests) {
      if (nowMs - receivedAtMs >= HINT_TTL_MS) this.peerRequests.delete(peer)
      else for (const [key, count] of requestCounts) add(key, count)
    }
    return totals
  }

  private countOwnRequests (runner: string): Map<string, number> {
    const counts = new Map<string, number>()
    for (const { model } of this.options.table.listInFlight(runner)) {
      if (model !== undefined) counts.set(model, (counts.get(model) ?? 0) + 1)
    }
    return counts
  }
}
