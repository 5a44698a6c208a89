/** Exchanges hints with peers: soft state such as load, demand and stream positions, sent without delivery guarantees. */
import type { Clock, TaskGroup } from 'figquay'
import type { Membership } from 'figquay-membership'
import { HintThrottle, type HintFields, type Hints, type HintTable, type PeerMesh } from 'figquay-peers'
import type { CustomerRateLimiter, ModelDemand, RunnerTable } from 'figquay-routing'
import type { RunnerReportSync } from './FigquaydRunnerReportSync.js'
import type { DaemonStreams } from './FigquaydStreams.js'

/** Dependencies of the hint exchange. */
export interface HintExchangeOptions {
  readonly daemon: string
  readonly clock: Clock
  readonly mesh: PeerMesh
  readonly hintTable: HintTable
  readonly table: RunnerTable
  readonly rateLimiter: CustomerRateLimiter
  readonly modelDemand: ModelDemand
  readonly membership: Membership
  readonly streams: DaemonStreams
  readonly reportSync: RunnerReportSync
  /** Called for each message with hints from a peer. */
  readonly onHints: () => void
}

const HINT_INTERVAL_MS = 1_000
/** Delay of a send between two intervals, so that several changes go into one message. */
const BATCH_DELAY_MS = 20

/** Sends the hints of this daemon and applies those of its peers. */
export class HintExchange {
  private readonly sender = HintThrottle.create()
  private isScheduled = false

  private constructor (private readonly options: HintExchangeOptions) {}

  /**
   * @example
   * const exchange = HintExchange.create(options)
   */
  static create (options: HintExchangeOptions): HintExchange {
    return new HintExchange(options)
  }

  /**
   * Starts the task that sends hints at a fixed interval.
   *
   * @example
   * exchange.start(tasks)
   */
  start (tasks: TaskGroup): void {
    tasks.startLoop('hints', HINT_INTERVAL_MS, async () => this.sendHints())
  }

  /** Schedules a send before the next interval; calls before it has happened have no effect. */
  scheduleHints (): void {
    if (this.isScheduled) return
    this.isScheduled = true
    this.options.clock.waitFor(BATCH_DELAY_MS).then(() => {
      this.isScheduled = false
      this.sendHints()
    })
  }

  /**
   * Applies the hints of a peer.
   *
   * @example
   * exchange.applyHints({ daemon: 'daemon-2', leaving: ['engine-1'] })
   */
  applyHints (parts: Partial<HintFields> & { readonly daemon: string }): void {
    const { hintTable, clock, membership, streams, mesh, reportSync } = this.options
    const hints = hintTable.mergeFields(parts, clock.readMonotonicMs())
    for (const vm of hints.leaving) membership.markLeaving(vm, 'peer')
    this.options.onHints()
    streams.catchUpFromPeer(mesh, hints)
    reportSync.applyHints(hints)
  }

  private sendHints (): void {
    const { daemon, clock, mesh } = this.options
    this.options.hintTable.dropExpired(clock.readMonotonicMs())
    const parts = this.sender.selectDueFields(this.collectHints(daemon), clock.readMonotonicMs())
    if (parts !== undefined) mesh.notifyNeighbours('hints.put', parts)
  }

  private collectHints (daemon: string): Hints {
    const { streams, table, rateLimiter, modelDemand, reportSync, membership } = this.options
    return {
      daemon,
      positions: streams.listPositions(),
      ...table.exportInFlight(),
      customerDemand: rateLimiter.listRequestRates(),
      modelDemand: modelDemand.listLocalDemand(),
      cells: reportSync.listHeldCellVersions(),
      leaving: membership.listLeaving()
    }
  }
}
