/** Reservations of prompt work: the daemon that orders a runner keeps account of what all daemons send to it. */

/** A runner that would do for a request. */
export interface RunnerCandidate {
  readonly runner: string
  /** Prompt tokens, those of the request included, that may be pending there for its contract to hold. */
  readonly mostPendingTokens: number
  /** Runners that are not preferred are used only when those that are have no room. */
  readonly isPreferred: boolean
}

/** Asks for room on one of several runners. */
export interface ReservationRequest {
  readonly requestId: string
  readonly prefixKey: string
  readonly promptTokens: number
  readonly options: readonly RunnerCandidate[]
}

/** Room on a runner, or how much is wanting. */
export type ReservationReply =
  | { readonly type: 'reserved', readonly runner: string, /** What the runner has to process of the prompt. */ readonly promptTokens: number, /** That included. */ readonly pendingTokens: number }
  | { readonly type: 'full', readonly excessTokens: number }

/** What the runners have cached. */
export interface PrefillEstimator {
  /** Prompt tokens that a runner would have to process. */
  estimatePrompt (runner: string, prefixKey: string, promptTokens: number): number
  /** Notes that a runner has processed a prompt. */
  notePrefix (runner: string, prefixKey: string): void
}

interface Reservation {
  readonly prefixKey: string
  readonly tokens: number
  readonly expiresAtMs: number
}

interface WeighedOption {
  readonly option: RunnerCandidate
  readonly promptTokens: number
  readonly pendingTokens: number
}

/** A reservation whose daemon is gone lapses after this time, in milliseconds. */
const RESERVATION_LIFE_MS = 10_000

/** Prompt tokens pending on each runner, over all daemons. */
export class ReservationTable {
  private readonly accounts = new Map<string, Map<string, Reservation>>()

  private constructor (private readonly estimator: PrefillEstimator) {}

  /**
   * @example
   * const table = ReservationTable.create(predictor)
   */
  static create (estimator: PrefillEstimator): ReservationTable {
    return new ReservationTable(estimator)
  }

  /**
   * Reserves room on the preferred runner that is least busy; on another one only when those are full.
   *
   * @example
   * const reply = table.reserveRunner({ requestId, prefixKey, promptTokens, options }, nowMs)
   */
  reserveCapacity (request: ReservationRequest, nowMs: number): ReservationReply {
    const weighed = request.options.map((option) => this.weighOption(option, request, nowMs))
    const best = findLeastBusy(weighed.filter(({ option }) => option.isPreferred)) ?? findLeastBusy(weighed)
    if (best === undefined) {
      const excess = weighed.map(({ option, pendingTokens }) => pendingTokens - option.mostPendingTokens)
      return { type: 'full', excessTokens: Math.min(...excess) }
    }
    const { option: { runner }, promptTokens, pendingTokens } = best
    this.findAccount(runner).set(request.requestId, { prefixKey: request.prefixKey, tokens: promptTokens, expiresAtMs: nowMs + RESERVATION_LIFE_MS })
    return { type: 'reserved', runner, promptTokens, pendingTokens }
  }

  /**
   * Ends reservations whose prompts have been processed or given up.
   *
   * @example
   * table.endReservations('engine-2', [requestId])
   */
  releaseReservations (runner: string, requestIds: readonly string[]): void {
    const account = this.findAccount(runner)
    for (const requestId of requestIds) {
      const reservation = account.get(requestId)
      if (reservation !== undefined) this.estimator.notePrefix(runner, reservation.prefixKey)
      account.delete(requestId)
    }
  }

  private weighOption (option: RunnerCandidate, { prefixKey, promptTokens: wholeTokens }: ReservationRequest, nowMs: number): WeighedOption {
    const promptTokens = this.estimator.estimatePrompt(option.runner, prefixKey, wholeTokens)
    return { option, promptTokens, pendingTokens: this.sumPending(option.runner, nowMs) + promptTokens }
  }

  private findAccount (runner: string): Map<string, Reservation> {
    let account = this.accounts.get(runner)
    if (account === undefined) {
      account = new Map()
      this.accounts.set(runner, account)
    }
    return account
  }

  private sumPending (runner: string, nowMs: number): number {
    const account = this.findAccount(runner)
    let sum = 0
    for (const [requestId, reservation] of account) {
      if (reservation.expiresAtMs <= nowMs) account.delete(requestId)
      else sum += reservation.tokens
    }
    return sum
  }
}

/** The option with the least pending work among those with room. */
function findLeastBusy (weighed: readonly WeighedOption[]): WeighedOption | undefined {
  const fitting = weighed.filter(({ option, pendingTokens }) => pendingTokens <= option.mostPendingTokens)
  return fitting.sort((a, b) => a.pendingTokens - b.pendingTokens)[0]
}
