/**
 * What one daemon may still run of a customer's quota: tokens that the issuer has handed out and, while it reaches no issuer,
 * a share of the rate. No I/O; time is a parameter.
 *
 * It handles these load patterns: requests that arrive faster than tokens are handed out, an issuer that is gone for seconds,
 * a daemon that is cut off or suspended for longer than its lease, and a quota that is lowered or raised.
 */
import { RateMeter } from './FigquayRoutingRateMeter.js'
import { EVEN_FRACTION, LEASE_MS, type QuotaGrant, type QuotaLimit, type QuotaTiming, type QuotaUse } from './FigquayRoutingQuotaTypes.js'

/** How this daemon stands towards the issuer. */
export interface QuotaContact {
  /** Time since it asked the issuer for the last answer that it got, in milliseconds; infinite if it never got one. */
  readonly lostForMs: number
  /** The same by the clock that goes on while a VM is suspended, if that is longer. */
  readonly leaseAgeMs: number
  /** Daemons among which the equal shares are divided; undefined while this daemon doesn't know the others. */
  readonly daemonCount: number | undefined
  readonly timing: QuotaTiming
}

/** Where the tokens of a request came from, so that they can be returned. */
export type QuotaSource = 'lease' | 'share'

/** Multiple of the demand within an exchange that a daemon would like to hold. */
const WANTED_EXCHANGES = 2
/** Tokens are returned if no request has used any for this long, in milliseconds. */
const IDLE_MS = 5_000
/** The largest request is remembered for this long, in milliseconds. */
const LARGEST_COST_MS = 10_000
/** Tokens are returned while the issuer has denied some within this time, in milliseconds: there they may suffice for a request. */
const SCARCE_MS = 2_000
/** Largest balance of the share, as the time in which it refills, in milliseconds. */
const SHARE_BURST_MS = 4_000
const MS_PER_SECOND = 1_000

/** One customer's lease at one daemon. */
export class QuotaLease {
  private held = 0
  private usedTotal = 0
  private share = 0
  private readonly demand: RateMeter
  private largestCost = 0
  private largestCostAtMs = Number.NEGATIVE_INFINITY
  private lastUseAtMs = Number.NEGATIVE_INFINITY
  /** Demand that the issuer was told of last. */
  private reportedDemand = 0
  /** Whether the issuer lacks what has changed here: requests that arrived, tokens used or returned. */
  private hasChanged = false
  private deniedUntilMs = Number.NEGATIVE_INFINITY
  private deniedSinceMs = Number.NEGATIVE_INFINITY
  /** Balance of the share and the time at which it was computed; undefined while the issuer is reached. */
  private balance: { readonly tokens: number, readonly atMs: number } | undefined

  private constructor (private quota: QuotaLimit, nowMs: number) {
    this.demand = RateMeter.create(nowMs)
  }

  /**
   * @example
   * const lease = QuotaLease.create({ ratePerSecond: 100, burst: 100 }, clock.readMonotonicMs())
   */
  static create (quota: QuotaLimit, nowMs: number): QuotaLease {
    return new QuotaLease(quota, nowMs)
  }

  /** Tokens held, and the fraction of the quota that may be used without the issuer, for operators. */
  get status (): { readonly held: number, readonly share: number } {
    return { held: this.held, share: this.share }
  }

  /** Whether the issuer should be told of this lease: it lacks a change, or tokens or demand of before are given up. */
  hasNews (nowMs: number): boolean {
    return this.hasChanged || (nowMs - this.lastUseAtMs > IDLE_MS && (this.held > 0 || this.reportedDemand > 0))
  }

  /** Counts a request that arrives, whether it can run or not. */
  noteArrival (cost: number, nowMs: number): void {
    this.hasChanged = true
    this.demand.countEvents(cost, nowMs)
    this.lastUseAtMs = nowMs
    if (cost < this.largestCost && nowMs - this.largestCostAtMs < LARGEST_COST_MS) return
    this.largestCost = cost
    this.largestCostAtMs = nowMs
  }

  /** Adopts the quota of a new configuration; what is held of the former one is cut in proportion. */
  updateQuota (quota: QuotaLimit): void {
    if (quota.ratePerSecond < this.quota.ratePerSecond) this.held = Math.floor(this.held * quota.ratePerSecond / this.quota.ratePerSecond)
    if (quota.ratePerSecond !== this.quota.ratePerSecond) this.deniedUntilMs = Number.NEGATIVE_INFINITY
    this.quota = quota
  }

  /**
   * Takes the tokens of a request; undefined if there are too few.
   *
   * @example
   * if (lease.tryAcquire(1_200, contact, nowMs) === undefined) await exchange.request()
   */
  tryAcquire (cost: number, contact: QuotaContact, nowMs: number): QuotaSource | undefined {
    if (contact.leaseAgeMs > LEASE_MS) this.held = 0
    if (cost <= this.held) {
      this.held -= cost
      this.usedTotal += cost
      this.hasChanged = true
      return 'lease'
    }
    const tokens = this.refillShare(contact, nowMs)
    if (tokens < Math.max(1, cost)) return undefined
    this.balance = { tokens: tokens - cost, atMs: nowMs }
    return 'share'
  }

  /** Returns the tokens of a request that has not run. */
  releaseTokens (cost: number, source: QuotaSource): void {
    this.hasChanged = true
    if (source === 'lease') {
      this.held += cost
      this.usedTotal -= cost
    } else if (this.balance !== undefined) this.balance = { ...this.balance, tokens: this.balance.tokens + cost }
  }

  private refillShare ({ lostForMs, leaseAgeMs, daemonCount, timing }: QuotaContact, nowMs: number): number {
    if (lostForMs <= timing.lostMs || daemonCount === undefined) {
      this.balance = undefined
      return 0
    }
    const evenShare = EVEN_FRACTION / Math.max(1, daemonCount)
    const ratePerSecond = this.quota.ratePerSecond * (leaseAgeMs > LEASE_MS ? evenShare : Math.max(evenShare, this.share))
    const { tokens, atMs } = this.balance ?? { tokens: 0, atMs: Number.isFinite(lostForMs) ? nowMs - lostForMs + timing.lostMs : nowMs }
    const refilled = tokens + ratePerSecond * (nowMs - atMs) / MS_PER_SECOND
    this.balance = { tokens: Math.min(refilled, Math.max(this.largestCost, ratePerSecond * SHARE_BURST_MS / MS_PER_SECOND)), atMs: nowMs }
    return this.balance.tokens
  }

  /** Time until the share suffices for a request while no issuer is reached, in milliseconds. */
  computeShareWaitMs (cost: number, { daemonCount }: QuotaContact): number {
    const ratePerSecond = this.quota.ratePerSecond * Math.max(this.share, EVEN_FRACTION / Math.max(1, daemonCount ?? Number.POSITIVE_INFINITY))
    return (cost - (this.balance?.tokens ?? 0)) / Math.max(1, ratePerSecond) * MS_PER_SECOND
  }

  /** Time for which the issuer has no tokens for this daemon, in milliseconds; 0 if it may be asked. */
  measureDenialMs (nowMs: number): number {
    return Math.max(0, this.deniedUntilMs - nowMs)
  }

  /** Time since the issuer denied tokens, in milliseconds. */
  measureDenialAgeMs (nowMs: number): number {
    return nowMs - this.deniedSinceMs
  }

  /**
   * Describes the lease for the issuer. Tokens that this daemon doesn't expect to use are given up by that.
   *
   * @param waitingCosts Tokens that each waiting request needs.
   * @example
   * const use = lease.makeUse('desk', [], contact, nowMs)
   */
  makeUse (customer: string, waitingCosts: readonly number[], { timing, leaseAgeMs }: QuotaContact, nowMs: number): QuotaUse {
    const isIdle = nowMs - this.lastUseAtMs > IDLE_MS
    const demand = isIdle ? 0 : this.demand.readRate(nowMs)
    const isScarce = nowMs - this.deniedSinceMs < SCARCE_MS
    const wanted = isIdle || isScarce ? 0 : demand * timing.exchangeMs / MS_PER_SECOND * WANTED_EXCHANGES + this.largestCost
    this.held = leaseAgeMs > LEASE_MS ? 0 : Math.min(this.held, Math.ceil(WANTED_EXCHANGES * wanted))
    const shortage = waitingCosts.reduce((sum, cost) => sum + cost, 0) - this.held
    const isShort = waitingCosts.length > 0 && shortage > 0
    this.hasChanged = false
    this.reportedDemand = demand
    return { customer, held: this.held, usedTotal: this.usedTotal, shortage: isShort ? shortage : 0, leastShortage: isShort ? Math.max(0, Math.min(...waitingCosts) - this.held) : 0, wanted, demand, share: this.share }
  }

  /** The issuer's answer was lost: what it was told may be lost with it. */
  noteUnanswered (): void {
    this.hasChanged = true
  }

  /** Adds what the issuer has granted. */
  applyGrant ({ granted, waitMs, share }: QuotaGrant, nowMs: number): void {
    this.held += granted
    this.share = share
    this.balance = undefined
    if (waitMs <= 0) return
    this.deniedUntilMs = nowMs + waitMs
    this.deniedSinceMs = nowMs
  }
}
