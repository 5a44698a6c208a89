/** Rate limits per customer, which hold over all daemons together: each daemon enforces its share. */
import { Refusal, type Clock } from 'figquay'
import type { Contract } from 'figquay-contracts'
import type { HintTable } from 'figquay-peers'
import { RateTable } from './FigquayRoutingRateMeter.js'
import { TokenBucket } from './FigquayRoutingTokenBucket.js'

/** Dependencies of the rate limiter. */
export interface CustomerRateLimiterOptions {
  readonly clock: Clock
  readonly hints: HintTable
  /** Number of daemons that may serve callers, including this one. */
  readonly countDaemons: () => number
}

/** Fraction of a limit that is split evenly among the daemons, so that an idle daemon can admit requests at once. */
const EVEN_FRACTION = 0.2
/** Capacity of a bucket, as the time in which it refills, in milliseconds. */
const BURST_MS = 800
const MIN_RETRY_AFTER_MS = 100

interface CustomerBuckets {
  readonly requests: TokenBucket
  readonly tokens: TokenBucket
}

/** Enforces the request and token limits of each customer. */
export class CustomerRateLimiter {
  private readonly buckets = new Map<string, CustomerBuckets>()
  private readonly requestRates = RateTable.create()

  private constructor (private readonly options: CustomerRateLimiterOptions) {}

  /**
   * @example
   * const limits = CustomerRateLimiter.create({ clock, hints, countDaemons })
   */
  static create (options: CustomerRateLimiterOptions): CustomerRateLimiter {
    return new CustomerRateLimiter(options)
  }

  /** Requests per second from each customer at this daemon, whether admitted or refused. */
  listRequestRates (): Record<string, number> {
    return this.requestRates.listRates(this.options.clock.readMonotonicMs())
  }

  /**
   * Consumes one request and its estimated tokens from the customer's limits, or returns a refusal with a retry delay.
   *
   * @example
   * const refusal = limits.acquireQuota(contract, 1_200)
   */
  acquireQuota (contract: Contract, tokens: number): Refusal | undefined {
    const now = this.options.clock.readMonotonicMs()
    this.requestRates.countEvents(contract.customer, 1, now)
    const share = this.readShare(contract.customer, now)
    const requestRate = contract.limits.requestsPerSecond * share
    const tokenRate = contract.limits.tokensPerSecond * share
    const buckets = this.getOrCreateBuckets(contract.customer, requestRate, tokenRate, now)
    const requestWaitMs = buckets.requests.computeWaitMs(1, requestRate, Math.max(1, requestRate * BURST_MS / 1_000), now)
    const tokenWaitMs = buckets.tokens.computeWaitMs(tokens, tokenRate, Math.max(1, tokenRate * BURST_MS / 1_000), now)
    const waitMs = Math.max(requestWaitMs, tokenWaitMs)
    if (waitMs > 0) {
      return Refusal.create('rate_limited', `customer ${contract.customer} has exceeded its rate limit`, { retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs)) })
    }
    buckets.requests.consume(1)
    buckets.tokens.consume(tokens)
    return undefined
  }

  /**
   * Corrects the consumed tokens when the response is complete and its actual size is known.
   *
   * @example
   * limits.reconcileTokens(contract, 1_200, 860)
   */
  reconcileTokens (contract: Contract, estimated: number, actual: number): void {
    this.buckets.get(contract.customer)?.tokens.consume(actual - estimated)
  }

  /** This daemon's fraction of the limit; the fractions of all daemons add up to 1 when their hints agree. */
  private readShare (customer: string, nowMs: number): number {
    const daemonCount = Math.max(1, this.options.countDaemons())
    const peers = this.options.hints.listFresh(nowMs)
    // With hints missing from some peers, only an even split keeps the total within the limit.
    if (peers.length < daemonCount - 1) return 1 / daemonCount
    const ownRate = this.requestRates.readRate(customer, nowMs)
    const totalRate = peers.reduce((sum, hints) => sum + (hints.customerDemand[customer] ?? 0), ownRate)
    const proportionalShare = totalRate === 0 ? 1 / daemonCount : ownRate / totalRate
    return EVEN_FRACTION / daemonCount + (1 - EVEN_FRACTION) * proportionalShare
  }

  private getOrCreateBuckets (customer: string, requestRate: number, tokenRate: number, nowMs: number): CustomerBuckets {
    let buckets = this.buckets.get(customer)
    if (buckets === undefined) {
      buckets = {
        requests: TokenBucket.create(Math.max(1, requestRate * BURST_MS / 1_000), nowMs),
        tokens: TokenBucket.create(tokenRate * BURST_MS / 1_000, nowMs)
      }
      this.buckets.set(customer, buckets)
    }
    return buckets
  }
}
