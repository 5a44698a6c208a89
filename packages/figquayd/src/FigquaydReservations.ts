/** Asks the holders of cells for room on their runners, and tells them when it is no longer needed. */
import type { Clock } from 'figquay'
import type { PeerMesh } from 'figquay-peers'
import { ReservationTable, type PrefillEstimator, type ReservationReply, type ReservationRequest, type RunnerCandidate } from 'figquay-routing'

/** What reservations need. */
export interface ReservationsOptions {
  readonly daemon: string
  readonly clock: Clock
  readonly mesh: PeerMesh
  readonly estimator: PrefillEstimator
  /** Daemon that orders a runner; undefined while nobody does. */
  readonly findHolder: (runner: string) => string | undefined
}

/** Reservations that have ended, by runner. */
export type EndedReservations = Readonly<Record<string, readonly string[]>>

/** A holder that does not answer in this time is passed over, in milliseconds. */
const RESERVE_TIMEOUT_MS = 100
/** What has ended is told together, this long after the first, in milliseconds. */
const END_DELAY_MS = 15
/** Holders asked for one request. */
const MOST_HOLDERS = 2

/** Both sides of reservations: the table of the runners that this daemon orders, and requests to other holders. */
export class Reservations {
  private readonly table: ReservationTable
  /** Runner and request of reservations that have ended, by holder. */
  private readonly ended = new Map<string, Record<string, string[]>>()

  private constructor (private readonly options: ReservationsOptions) {
    this.table = ReservationTable.create(options.estimator)
  }

  /**
   * @example
   * const reservations = Reservations.create({ daemon, clock, mesh, estimator, findHolder })
   */
  static create (options: ReservationsOptions): Reservations {
    return new Reservations(options)
  }

  /**
   * Asks for room; undefined when no holder could be asked.
   *
   * @example
   * const reply = await reservations.reserveRunner({ requestId, prefixKey, promptTokens, options })
   */
  async reserveRunner (request: ReservationRequest): Promise<ReservationReply | undefined> {
    let full: ReservationReply | undefined
    for (const [holder, own] of [...this.groupByHolder(request.options)].slice(0, MOST_HOLDERS)) {
      const reply = await this.askHolder(holder, { ...request, options: own })
      if (reply?.type === 'reserved') return reply
      full ??= reply
    }
    return full
  }

  /**
   * Notes that a reservation is no longer needed; its holder is told soon.
   *
   * @example
   * reservations.endReservation('engine-2', requestId)
   */
  endReservation (runner: string, requestId: string): void {
    const holder = this.options.findHolder(runner)
    if (holder === undefined) return
    const known = this.ended.get(holder)
    const ended = known ?? {}
    ended[runner] = [...ended[runner] ?? [], requestId]
    this.ended.set(holder, ended)
    if (known === undefined) setTimeout(() => this.sendEnded(holder), END_DELAY_MS)
  }

  /** Answers the request of any daemon. */
  takeRequest (request: ReservationRequest): ReservationReply {
    return this.table.reserveCapacity(request, this.options.clock.readMonotonicMs())
  }

  /** Takes what a daemon says of ended reservations. */
  takeEnded (ended: EndedReservations): void {
    for (const [runner, requestIds] of Object.entries(ended)) this.table.releaseReservations(runner, requestIds)
  }

  private groupByHolder (options: readonly RunnerCandidate[]): Map<string, RunnerCandidate[]> {
    const groups = new Map<string, RunnerCandidate[]>()
    for (const option of options) {
      const holder = this.options.findHolder(option.runner)
      if (holder !== undefined) groups.set(holder, [...groups.get(holder) ?? [], option])
    }
    return groups
  }

  private async askHolder (holder: string, request: ReservationRequest): Promise<ReservationReply | undefined> {
    if (holder === this.options.daemon) return this.takeRequest(request)
    const reply = await this.options.mesh.callPeer<ReservationReply>(holder, 'reservation.take', request, RESERVE_TIMEOUT_MS)
    return reply.ok ? reply.value : undefined
  }

  private sendEnded (holder: string): void {
    const ended = this.ended.get(holder) ?? {}
    this.ended.delete(holder)
    if (holder === this.options.daemon) this.takeEnded(ended)
    else this.options.mesh.sendTo(holder, 'reservation.end', ended)
  }
}
