/** Bounds retries to a fraction of fresh traffic, so that they cannot feed an overload. */

const RETRIES_PER_REQUEST = 0.1
const LARGEST_RESERVE = 20
const FIRST_RESERVE = 10

/** Retries that may still be made. */
export class RetryBudget {
  private reserve = FIRST_RESERVE

  /**
   * @example
   * const budget = RetryBudget.create()
   */
  static create (): RetryBudget {
    return new RetryBudget()
  }

  /** Counts a fresh request, which earns part of a retry. */
  noteRequest (): void {
    this.reserve = Math.min(LARGEST_RESERVE, this.reserve + RETRIES_PER_REQUEST)
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
