/** Reservations of prompt tokens: the daemon that holds the lease on a runner tracks the tokens that all daemons send to it. */

/** A candidate runner for a request. */
export interface RunnerCandidate {
  readonly runner: string
  /** Most prompt tokens that may be pending on the runner, including the request's own, for the contract to be met. */
  readonly mostPendingTokens: number
  /** Runners that are not preferred are used only when no preferred one has capacity. */
  readonly isPreferred: boolean
}

/** A request for capacity on one of several runners. */
export interface ReservationRequest {
  readonly requestId: string
  readonly prefixKey: string
  readonly promptTokens: number
  readonly options: readonly RunnerCandidate[]
}

/** The reserved runner, or the fewest tokens by which any candidate would exceed its limit. */
export type ReservationReply =
  | { readonly type: 'reserved', readonly runner: string, /** Prompt tokens that the runner has to process, without those in its cache. */ readonly promptTokens: number, /** Pending tokens on the runner, including these. */ readonly pendingTokens: number }
  | { readonly type: 'full', readonly excessTokens: number }

/** Estimates the prefill work of prompts from the prefixes that runners have cached. */
export interface PrefillEstimator {
  /** Prompt tokens that a runner would have to process, without those in its cache. */
  estimatePrefillTokens (runner: string, prefixKey: string, promptTokens: number): number
  /** Records that a runner has processed a prompt with this prefix. */
  recordPrefix (runner: string, prefixKey: string): void
}

interface Reservation {
  readonly prefixKey: string
  readonly tokens: number
  readonly expiresAtMs: number
}

interface CandidateLoad {
  readonly candidate: RunnerCandidate
  readonly prefillTokens: number
  readonly pendingTokens: number
}

/** Lifetime of a reservation that is not released because its daemon is gone, in milliseconds. */
const RESERVATION_TTL_MS = 10_000

/** Prompt tokens that all daemons have pending on each runner. */
export class ReservationTable {
  private readonly reservationsByRunner = new Map<string, Map<string, Reservation>>()

  private constructor (private readonly estimator: PrefillEstimator) {}

  /**
   * @example
   * const table = ReservationTable.create(predictor)
   */
  static create (estimator: PrefillEstimator): ReservationTable {
    return new ReservationTable(estimator)
  }

  /**
   * Reserves capacity on the least loaded preferred runner, or on the least loaded other one when those are full.
   *
   * @example
   * const reply = table.reserveCapacity({ requestId, prefixKey, promptTokens, options }, nowMs)
   */
  reserveCapacity (request: ReservationRequest, nowMs: number): ReservationReply {
    const measured = request.options.map((candidate) => this.measureCandidate(candidate, request, nowMs))
    const best = findLeastLoaded(measured.filter(({ candidate }) => candidate.isPreferred)) ?? findLeastLoaded(measured)
    if (best === undefined) {
      const excessTokens = measured.map(({ candidate, pendingTokens }) => pendingTokens - candidate.mostPendingTokens)
      return { type: 'full', excessTokens: Math.min(...excessTokens) }
    }
    const { candidate: { runner }, prefillTokens, pendingTokens } = best
    this.getOrCreateReservations(runner).set(request.requestId, { prefixKey: request.prefixKey, tokens: prefillTokens, expiresAtMs: nowMs + RESERVATION_TTL_MS })
    return { type: 'reserved', runner, promptTokens: prefillTokens, pendingTokens }
  }

  /**
   * Releases reservations whose prompts have been processed or abandoned.
   *
   * @example
   * table.releaseReservations('engine-2', [requestId])
   */
  releaseReservations (runner: string, requestIds: readonly string[]): void {
    const reservations = this.getOrCreateReservations(runner)
    for (const requestId of requestIds) {
      const reservation = reservations.get(requestId)
      if (reservation !== undefined) this.estimator.recordPrefix(runner, reservation.prefixKey)
      reservations.delete(requestId)
    }
  }

  private measureCandidate (candidate: RunnerCandidate, { prefixKey, promptTokens }: ReservationRequest, nowMs: number): CandidateLoad {
    const prefillTokens = this.estimator.estimatePrefillTokens(candidate.runner, prefixKey, promptTokens)
    return { candidate, prefillTokens, pendingTokens: this.sumPendingTokens(candidate.runner, nowMs) + prefillTokens }
  }

  private getOrCreateReservations (runner: string): Map<string, Reservation> {
    let reservations = this.reservationsByRunner.get(runner)
    if (reservations === undefined) {
      reservations = new Map()
      this.reservationsByRunner.set(runner, reservations)
    }
    return reservations
  }

  private sumPendingTokens (runner: string, nowMs: number): number {
    const reservations = this.getOrCreateReservations(runner)
    let sum = 0
    for (const [requestId, reservation] of reservations) {
      if (reservation.expiresAtMs <= nowMs) reservations.delete(requestId)
      else sum += reservation.tokens
    }
    return sum
  }
}

/** The candidate with the fewest pending tokens among those with free capacity. */
function findLeastLoaded (measured: readonly CandidateLoad[]): CandidateLoad | undefined {
  const fitting = measured.filter(({ candidate, pendingTokens }) => pendingTokens <= candidate.mostPendingTokens)
  return fitting.sort((a, b) => a.pendingTokens - b.pendingTokens)[0]
}
