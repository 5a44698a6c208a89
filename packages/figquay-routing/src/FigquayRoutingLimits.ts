/** Limits of a customer, held over all daemons together: each spends its share. */
import { Refusal, type Clock } from 'figquay'
import type { Contract } from 'figquay-contracts'
import type { HintTable } from 'figquay-peers'
import { RateTable } from './FigquayRoutingRateMeter.js'

/** What the limits need. */
export interface LimitsOptions {
  readonly clock: Clock
  readonly hints: HintTable
  /** Daemons that may serve callers, this one included. */
  readonly countDaemons: () => number
}

/** Part of a limit that is split evenly, so that a daemon that was idle can start at once. */
const EVEN_PART = 0.2
/** A bucket holds this much of its rate, in milliseconds. */
const BURST_MS = 800
const SHORTEST_RETRY_MS = 100

/** A token bucket whose rate may change. */
class TokenBucket {
  private level: number
  private filledAtMs: number

  constructor (capacity: number, nowMs: number) {
    this.level = capacity
    this.filledAtMs = nowMs
  }

  /** Fills up at `rate` per second; returns the milliseconds to wait for `cost`, 0 when it may be taken. */
  measureWait (cost: number, rate: number, capacity: number, nowMs: number): number {
    this.level = Math.min(capacity, this.level + (nowMs - this.filledAtMs) * rate / 1_000)
    this.filledAtMs = nowMs
    // A cost above the capacity is let through by a full bucket, which then goes into debt.
    const needed = Math.min(cost, capacity)
    return this.level >= needed ? 0 : (needed - this.level) * 1_000 / rate
  }

  take (cost: number): void {
    this.level -= cost
  }
}

interface CustomerBuckets {
  readonly requests: TokenBucket
  readonly tokens: TokenBucket
}

/** Request and token limits of every customer. */
export class CustomerRateLimiter {
  private readonly buckets = new Map<string, CustomerBuckets>()
  private readonly demand = RateTable.create()

  private constructor (private readonly options: LimitsOptions) {}

  /**
   * @example
   * const limits = CustomerLimits.create({ clock, hints, countDaemons })
   */
  static create (options: LimitsOptions): CustomerRateLimiter {
    return new CustomerRateLimiter(options)
  }

  /** Requests per second of each customer at this daemon, admitted or not. */
  listDemand (): Record<string, number> {
    return this.demand.listRates(this.options.clock.readMonotonicMs())
  }

  /**
   * Spends one request and its estimated tokens, or says when to come back.
   *
   * @example
   * const refusal = limits.spendRequest(contract, 1_200)
   */
  acquireQuota (contract: Contract, tokens: number): Refusal | undefined {
    const now = this.options.clock.readMonotonicMs()
    this.demand.countEvents(contract.customer, 1, now)
    const share = this.readShare(contract.customer, now)
    const requestRate = contract.limits.requestsPerSecond * share
    const tokenRate = contract.limits.tokensPerSecond * share
    const buckets = this.findBuckets(contract.customer, requestRate, tokenRate, now)
    const requestWait = buckets.requests.measureWait(1, requestRate, Math.max(1, requestRate * BURST_MS / 1_000), now)
    const tokenWait = buckets.tokens.measureWait(tokens, tokenRate, Math.max(1, tokenRate * BURST_MS / 1_000), now)
    const wait = Math.max(requestWait, tokenWait)
    if (wait > 0) {
      return Refusal.create('rate_limited', `the limit of ${contract.customer} is spent`, { retryAfterMs: Math.max(SHORTEST_RETRY_MS, Math.ceil(wait)) })
    }
    buckets.requests.take(1)
    buckets.tokens.take(tokens)
    return undefined
  }

  /**
   * Corrects the estimate once the answer is whole.
   *
   * @example
   * limits.settleTokens(contract, 1_200, 860)
   */
  reconcileTokens (contract: Contract, estimated: number, actual: number): void {
    this.buckets.get(contract.customer)?.tokens.take(actual - estimated)
  }

  /** This daemon's part of the limit; the parts of all daemons sum to 1 when their hints agree. */
  private readShare (customer: string, nowMs: number): number {
    const daemons = Math.max(1, this.options.countDaemons())
    const peers = this.options.hints.listFresh(nowMs)
    // Not everybody is heard: only the even part is safe.
    if (peers.length < daemons - 1) return 1 / daemons
    const own = this.demand.readRate(customer, nowMs)
    const total = peers.reduce((sum, hints) => sum + (hints.customerDemand[customer] ?? 0), own)
    const proportional = total === 0 ? 1 / daemons : own / total
    return EVEN_PART / daemons + (1 - EVEN_PART) * proportional
  }

  private findBuckets (customer: string, requestRate: number, tokenRate: number, nowMs: number): CustomerBuckets {
    let buckets = this.buckets.get(customer)
    if (buckets === undefined) {
      buckets = {
        requests: new TokenBucket(Math.max(1, requestRate * BURST_MS / 1_000), nowMs),
        tokens: new TokenBucket(tokenRate * BURST_MS / 1_000, nowMs)
      }
      this.buckets.set(customer, buckets)
    }
    return buckets
  }
}
