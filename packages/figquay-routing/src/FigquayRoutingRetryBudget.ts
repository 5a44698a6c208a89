/** Bounds retries to a fraction of fresh traffic, so that they cannot feed an overload. */

const RETRIES_PER_REQUEST = 0.1
const LARGEST_RESERVE = 20
const FIRST_RESERVE = 10

/** Bounds of a budget. */
export interface RetryBudgetOptions {
  /** Retries that each fresh request earns. */
  readonly perRequest: number
  /** Retries that may be saved up. */
  readonly largestReserve: number
  /** Retries that may be made before any request has earned one. */
  readonly firstReserve: number
}

const DEFAULT_OPTIONS: RetryBudgetOptions = { perRequest: RETRIES_PER_REQUEST, largestReserve: LARGEST_RESERVE, firstReserve: FIRST_RESERVE }

/** Retries that may still be made. */
export class RetryBudget {
  private reserve: number

  private constructor (private readonly options: RetryBudgetOptions) {
    this.reserve = options.firstReserve
  }

  /**
   * @example
   * const budget = RetryBudget.create()
   */
  static create (options: RetryBudgetOptions = DEFAULT_OPTIONS): RetryBudget {
    return new RetryBudget(options)
  }

  /** Counts a fresh request, which earns part of a retry. */
  noteRequest (): void {
    this.reserve = Math.min(this.options.largestReserve, this.reserve + this.options.perRequest)
  }

  /**
   * Takes one retry if there is one.
   *
   * @example
   * if (!budget.spendRetry()) return refusal
   */
  spendRetry (): boolean {
    if (this.reserve < 1) return false
    this.reserve -= 1
    return true
  }
}
