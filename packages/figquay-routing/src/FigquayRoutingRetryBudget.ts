/** Limits retries to a fraction of new requests, so that they cannot amplify an overload. */

const RETRIES_PER_REQUEST = 0.1
const MAX_RETRY_BALANCE = 20
const INITIAL_RETRY_BALANCE = 10

/** Parameters of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries that each new request adds to the balance. */
  readonly perRequest: number
  /** Upper bound of the balance, in retries. */
  readonly maxBalance: number
  /** Balance before the first request, in retries. */
  readonly initialBalance: number
}

const DEFAULT_OPTIONS: RetryBudgetOptions = { perRequest: RETRIES_PER_REQUEST, maxBalance: MAX_RETRY_BALANCE, initialBalance: INITIAL_RETRY_BALANCE }

/** Balance of the retries that may still be made. */
export class RetryBudget {
  private balance: number

  private constructor (private readonly options: RetryBudgetOptions) {
    this.balance = options.initialBalance
  }

  /**
   * @example
   * const budget = RetryBudget.create()
   */
  static create (options: RetryBudgetOptions = DEFAULT_OPTIONS): RetryBudget {
    return new RetryBudget(options)
  }

  /** Records a new request, which adds a fraction of a retry to the balance. */
  recordRequest (): void {
    this.balance = Math.min(this.options.maxBalance, this.balance + this.options.perRequest)
  }

  /** Whether a retry may be made now. */
  get hasRetry (): boolean {
    return this.balance >= 1
  }

  /**
   * Consumes one retry; false when the budget is exhausted.
   *
   * @example
   * if (!budget.tryConsumeRetry()) return refusal
   */
  tryConsumeRetry (): boolean {
    if (!this.hasRetry) return false
    this.balance -= 1
    return true
  }
}
