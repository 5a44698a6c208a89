/** Reserves prompt capacity on runners: each reservation is made and released at the daemon that holds the lease on the runner's cell. */
import type { Clock } from 'figquay'
import type { PeerMesh } from 'figquay-peers'
import { ReservationTable, type PrefillEstimator, type ReservationReply, type ReservationRequest, type RunnerCandidate } from 'figquay-routing'

/** Dependencies of the reservation coordinator. */
export interface ReservationCoordinatorOptions {
  readonly daemon: string
  readonly clock: Clock
  readonly mesh: PeerMesh
  readonly estimator: PrefillEstimator
  /** Returns the daemon that holds the lease on a runner's cell; undefined while none does. */
  readonly findHolder: (runner: string) => string | undefined
}

/** Request ids of the released reservations, by runner. */
export type ReleasedReservations = Readonly<Record<string, readonly string[]>>

/** Timeout of a reservation request to a lease holder, after which the next one is tried. */
const RESERVE_TIMEOUT_MS = 100
/** Delay from the first release for a lease holder until all releases for it are sent in one message. */
const RELEASE_BATCH_DELAY_MS = 15
const MAX_HOLDERS_PER_REQUEST = 2

/** Requests reservations from lease holders, and grants those for the cells that this daemon holds the lease on. */
export class ReservationCoordinator {
  private readonly table: ReservationTable
  /** Released reservations that have not been sent yet, by lease holder. */
  private readonly releasedByHolder = new Map<string, Record<string, string[]>>()

  private constructor (private readonly options: ReservationCoordinatorOptions) {
    this.table = ReservationTable.create(options.estimator)
  }

  /**
   * @example
   * const reservations = ReservationCoordinator.create({ daemon, clock, mesh, estimator, findHolder })
   */
  static create (options: ReservationCoordinatorOptions): ReservationCoordinator {
    return new ReservationCoordinator(options)
  }

  /**
   * Reserves capacity on one of the candidate runners, trying their lease holders in order. If none has capacity, the first
   * reply that says so is returned; undefined if none replied.
   *
   * @example
   * const reply = await reservations.reserveCapacity({ requestId, prefixKey, promptTokens, options })
   */
  async reserveCapacity (request: ReservationRequest): Promise<ReservationReply | undefined> {
    let fullReply: ReservationReply | undefined
    for (const [holder, candidates] of [...this.groupByHolder(request.options)].slice(0, MAX_HOLDERS_PER_REQUEST)) {
      const reply = await this.requestReservation(holder, { ...request, options: candidates })
      if (reply?.type === 'reserved') return reply
      fullReply ??= reply
    }
    return fullReply
  }

  /**
   * Releases a reservation; the lease holder is notified after a short delay, together with other releases.
   *
   * @example
   * reservations.releaseReservation('engine-2', requestId)
   */
  releaseReservation (runner: string, requestId: string): void {
    const holder = this.options.findHolder(runner)
    if (holder === undefined) return
    const queued = this.releasedByHolder.get(holder)
    const released = queued ?? {}
    released[runner] = [...released[runner] ?? [], requestId]
    this.releasedByHolder.set(holder, released)
    if (queued === undefined) setTimeout(() => this.sendReleased(holder), RELEASE_BATCH_DELAY_MS)
  }

  /** Handles a reservation request of this daemon or a peer. */
  handleReserve (request: ReservationRequest): ReservationReply {
    return this.table.reserveCapacity(request, this.options.clock.readMonotonicMs())
  }

  /** Handles the release of reservations by this daemon or a peer. */
  handleRelease (released: ReleasedReservations): void {
    for (const [runner, requestIds] of Object.entries(released)) this.table.releaseReservations(runner, requestIds)
  }

  private groupByHolder (candidates: readonly RunnerCandidate[]): Map<string, RunnerCandidate[]> {
    const groups = new Map<string, RunnerCandidate[]>()
    for (const candidate of candidates) {
      const holder = this.options.findHolder(candidate.runner)
      if (holder !== undefined) groups.set(holder, [...groups.get(holder) ?? [], candidate])
    }
    return groups
  }

  private async requestReservation (holder: string, request: ReservationRequest): Promise<ReservationReply | undefined> {
    if (holder === this.options.daemon) return this.handleReserve(request)
    const reply = await this.options.mesh.callPeer<ReservationReply>(holder, 'reservation.take', request, RESERVE_TIMEOUT_MS)
    return reply.ok ? reply.value : undefined
  }

  private sendReleased (holder: string): void {
    const released = this.releasedByHolder.get(holder) ?? {}
    this.releasedByHolder.delete(holder)
    if (holder === this.options.daemon) this.handleRelease(released)
    else this.options.mesh.notifyPeer(holder, 'reservation.end', released)
  }
}
