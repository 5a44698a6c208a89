/** Tells peers what this daemon sees, and takes in what they tell. */
import type { Clock, TaskGroup } from 'figquay'
import type { Membership } from 'figquay-membership'
import { HintSender, type HintParts, type Hints, type HintTable, type PeerMesh } from 'figquay-peers'
import type { CustomerRateLimiter, ModelDemand, RunnerTable } from 'figquay-routing'
import type { SharedReports } from './FigquaydSharedReports.js'
import type { DaemonStreams } from './FigquaydStreams.js'

/** What the exchange needs. */
export interface HintExchangeOptions {
  readonly daemon: string
  readonly clock: Clock
  readonly mesh: PeerMesh
  readonly hints: HintTable
  readonly table: RunnerTable
  readonly limits: CustomerRateLimiter
  readonly modelDemand: ModelDemand
  readonly membership: Membership
  readonly streams: DaemonStreams
  readonly reports: SharedReports
  /** Called after each hint of a peer. */
  readonly onHints: () => void
}

const HINT_INTERVAL_MS = 1_000
/** What is sent out of turn is gathered for this long, in milliseconds. */
const CHANGE_DELAY_MS = 20

/** Hints in both directions. */
export class HintExchange {
  private readonly sender = HintSender.create()
  private isPlanned = false

  private constructor (private readonly options: HintExchangeOptions) {}

  /**
   * @example
   * const exchange = HintExchange.create(options)
   */
  static create (options: HintExchangeOptions): HintExchange {
    return new HintExchange(options)
  }

  /**
   * Starts the task that sends hints.
   *
   * @example
   * exchange.start(tasks)
   */
  start (tasks: TaskGroup): void {
    tasks.startLoop('hints', HINT_INTERVAL_MS, async () => this.sendHints())
  }

  /** Sends hints soon, without waiting for their turn. */
  planHints (): void {
    if (this.isPlanned) return
    this.isPlanned = true
    this.options.clock.waitFor(CHANGE_DELAY_MS).then(() => {
      this.isPlanned = false
      this.sendHints()
    })
  }

  /**
   * Takes in what a peer tells.
   *
   * @example
   * exchange.takeHints({ daemon: 'daemon-2', leaving: ['engine-1'] })
   */
  takeHints (parts: Partial<HintParts> & { readonly daemon: string }): void {
    const { hints: table, clock, membership, streams, mesh, reports } = this.options
    const hints = table.putParts(parts, clock.readMonotonicMs())
    for (const vm of hints.leaving) membership.markLeaving(vm, 'peer')
    this.options.onHints()
    streams.catchUp(mesh, hints)
    reports.takeHints(hints)
  }

  private sendHints (): void {
    const { daemon, clock, mesh } = this.options
    this.options.hints.dropExpired(clock.readMonotonicMs())
    const parts = this.sender.selectParts(this.gatherHints(daemon), clock.readMonotonicMs())
    if (parts !== undefined) mesh.sendToAll('hints.put', parts)
  }

  private gatherHints (daemon: string): Hints {
    const { streams, table, limits, modelDemand, reports, membership } = this.options
    return {
      daemon,
      positions: streams.listPositions(),
      ...table.exportInFlight(),
      customerDemand: limits.listDemand(),
      modelDemand: modelDemand.listOwn(),
      cells: reports.listVersions(),
      leaving: membership.listLeaving()
    }
  }
}
