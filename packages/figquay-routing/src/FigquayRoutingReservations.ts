/** Reservations of prompt work: the daemon that orders a runner keeps account of what all daemons send to it. */

/** What a request needs on a runner. */
export interface RunnerRoom {
  readonly runner: string
  /** Prompt tokens that the runner would have to process for the request. */
  readonly promptTokens: number
  /** Prompt tokens, those of the request included, that may be pending there for its contract to hold. */
  readonly mostPendingTokens: number
}

/** A runner that would do for a request. */
export interface RunnerOption extends RunnerRoom {
  /** Runners that are not preferred are used only when those that are have no room. */
  readonly isPreferred: boolean
}

/** Asks for room on one of several runners. */
export interface ReservationRequest {
  readonly requestId: string
  readonly options: readonly RunnerOption[]
}

/** Room on a runner, or how much is wanting. */
export type ReservationReply =
  | { readonly type: 'reserved', readonly runner: string, /** Own tokens included. */ readonly pendingTokens: number }
  | { readonly type: 'full', readonly excessTokens: number }

interface Reservation {
  readonly tokens: number
  readonly expiresAtMs: number
}

interface WeighedOption {
  readonly option: RunnerOption
  readonly pendingTokens: number
}

/** A reservation whose daemon is gone lapses after this time, in milliseconds. */
const RESERVATION_LIFE_MS = 10_000

/** Prompt tokens pending on each runner, over all daemons. */
export class ReservationDesk {
  private readonly accounts = new Map<string, Map<string, Reservation>>()

  /**
   * @example
   * const desk = ReservationDesk.create()
   */
  static create (): ReservationDesk {
    return new ReservationDesk()
  }

  /**
   * Reserves room on the preferred runner that is least busy; on another one only when those are full.
   *
   * @example
   * const reply = desk.reserveRunner({ requestId, options }, nowMs)
   */
  reserveRunner ({ requestId, options }: ReservationRequest, nowMs: number): ReservationReply {
    const weighed = options.map((option) => ({ option, pendingTokens: this.sumPending(option.runner, nowMs) + option.promptTokens }))
    const best = findLeastBusy(weighed.filter(({ option }) => option.isPreferred)) ?? findLeastBusy(weighed)
    if (best === undefined) {
      const excess = weighed.map(({ option, pendingTokens }) => pendingTokens - option.mostPendingTokens)
      return { type: 'full', excessTokens: Math.min(...excess) }
    }
    const { runner, promptTokens } = best.option
    this.findAccount(runner).set(requestId, { tokens: promptTokens, expiresAtMs: nowMs + RESERVATION_LIFE_MS })
    return { type: 'reserved', runner, pendingTokens: best.pendingTokens }
  }

  /**
   * Ends reservations whose prompts have been processed or given up.
   *
   * @example
   * desk.endReservations('engine-2', [requestId])
   */
  endReservations (runner: string, requestIds: readonly string[]): void {
    for (const requestId of requestIds) this.accounts.get(runner)?.delete(requestId)
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
