/**
 * Leases the quotas of customers to daemons: one daemon, the issuer, keeps a token bucket for each customer, and hands out its
 * tokens before they are used. No I/O; time is a parameter.
 *
 * It handles these load patterns:
 * - A customer's callers sit at few of many daemons, or move between them: tokens go where requests arrive.
 * - A customer asks for many times its quota at all daemons at once: nothing runs that wasn't handed out.
 * - Daemons are cut off, suspended, restarted, added or replaced. Tokens that they hold count until their lease has ended;
 *   while they aren't heard, the share that they may use without the issuer is set aside.
 * - The issuer is replaced: its successor begins with an empty bucket, and sets aside the shares of daemons that it hasn't heard.
 */
import { computeQuotaCapacity, decodeQuotaUse, EVEN_FRACTION, LEASE_COUNTED_MS, MAX_DEMAND_SHARE, type QuotaGrant, type QuotaLimit, type QuotaRequest, type QuotaTiming, type QuotaTolerance, type QuotaUse } from './FigquayRoutingQuotaTypes.js'

/** What the issuer needs to know of the fleet. */
export interface QuotaFleet {
  /** Daemons that may serve callers, the issuer included. */
  readonly daemons: ReadonlySet<string>
  readonly timing: QuotaTiming
  /** Returns the quota of a customer by the configuration in force; undefined if it has none. */
  readonly findQuota: (customer: string) => QuotaLimit | undefined
}

/** A daemon that has asked this issuer. */
interface Holder {
  readonly bootId: string
  readonly serial: number
  readonly heardAtMs: number
  /** Whether this issuer has answered it; until then it goes on at its share. */
  readonly isAnswered: boolean
}

/** What one daemon holds of a customer's quota. */
interface Lease {
  held: number
  usedTotal: number
  demand: number
  /** Fraction of the quota beyond the equal share that the daemon may use without the issuer. */
  demandShare: number
}

interface Account {
  level: number
  refilledAtMs: number
  readonly leases: Map<string, Lease>
  /** Sums over the leases. */
  held: number
  demand: number
  demandShares: number
}

/** Fraction of the capacity that is left for requests that wait, as against those that are expected. */
const LEVEL_FOR_WAITING = 0.5
/** Largest fraction of the capacity that one request needs: larger ones run once this much is there, and leave the bucket below zero. */
const MAX_NEEDED_FRACTION = 0.9
/** A request for which there are no tokens is told to ask again after this time at least and at most, in milliseconds. */
const MIN_WAIT_MS = 50
const MAX_WAIT_MS = 2_000
/** The same while shares that are set aside leave nothing, as at the start of a term, in milliseconds: by then, most daemons have been heard. */
const NO_REFILL_WAIT_MS = 500
/** Interval between two checks of which daemons are silent, in milliseconds. */
const CONTACT_CHECK_MS = 100
/** Without a request of any daemon for this long, this one was held up, in milliseconds. */
const HELD_UP_MS = 200
const MS_PER_SECOND = 1_000

/** Issues leases while its daemon is the issuer. */
export class QuotaIssuer {
  private readonly accounts = new Map<string, Account>()
  private readonly holders = new Map<string, Holder>()
  private silentDaemons: readonly string[] = []
  private unheardCount = 0
  private termStartedAtMs = 0
  private issuesFromMs = 0
  private contactsCheckedAtMs = Number.NEGATIVE_INFINITY
  /** Time of the last request of any daemon. */
  private requestedAtMs = Number.NEGATIVE_INFINITY

  private constructor (private readonly tolerance: QuotaTolerance) {}

  /**
   * @example
   * const issuer = QuotaIssuer.create({ windowMs: 8_000, fraction: 0.1, slack: 0 })
   */
  static create (tolerance: QuotaTolerance): QuotaIssuer {
    return new QuotaIssuer(tolerance)
  }

  /**
   * Starts a term as the issuer: what the predecessor has handed out is unknown.
   *
   * @example
   * issuer.startTerm(clock.readMonotonicMs(), computeQuotaTiming(80))
   */
  startTerm (nowMs: number, { exchangeMs }: Pick<QuotaTiming, 'exchangeMs'>): void {
    this.issuesFromMs = nowMs + exchangeMs
    this.accounts.clear()
    this.holders.clear()
    this.unheardCount = Number.POSITIVE_INFINITY
    this.termStartedAtMs = nowMs
    this.contactsCheckedAtMs = Number.NEGATIVE_INFINITY
  }

  /**
   * Handles a daemon's request for tokens; undefined if a later one has overtaken it, and as long as the term is so young that
   * most daemons haven't been heard: they go on at their shares.
   *
   * @example
   * const grants = issuer.handleRequest(request, fleet, clock.readMonotonicMs())
   */
  handleRequest (request: QuotaRequest, fleet: QuotaFleet, nowMs: number): QuotaGrant[] | undefined {
    this.adjustHeardTimes(nowMs)
    const known = this.holders.get(request.from)
    const isSameProcess = known?.bootId === request.bootId
    if (isSameProcess && request.serial <= known.serial) return undefined
    // A process that has ended holds nothing.
    if (known !== undefined && !isSameProcess) this.dropLeases(request.from)
    const isWaiting = nowMs < this.issuesFromMs && this.unheardCount > 0
    this.holders.set(request.from, { bootId: request.bootId, serial: request.serial, heardAtMs: nowMs, isAnswered: !isWaiting })
    this.checkContacts(fleet, nowMs, known?.isAnswered !== true)
    if (isWaiting) {
      for (const row of request.uses) this.noteLease(request.from, decodeQuotaUse(row), fleet)
      return undefined
    }
    this.issuesFromMs = Math.min(this.issuesFromMs, nowMs)
    return request.uses.flatMap((row) => {
      const use = decodeQuotaUse(row)
      const quota = use === undefined ? undefined : fleet.findQuota(use.customer)
      return use === undefined || quota === undefined ? [] : [this.handleUse(request.from, use, quota, fleet, nowMs)]
    })
  }

  private handleUse (daemon: string, use: QuotaUse, quota: QuotaLimit, { daemons }: QuotaFleet, nowMs: number): QuotaGrant {
    const account = this.findOrCreateAccount(use.customer, nowMs)
    const capacity = computeQuotaCapacity(quota, this.tolerance)
    const evenShare = EVEN_FRACTION / Math.max(1, daemons.size)
    const rate = quota.ratePerSecond * (1 - this.sumReservedShares(account, evenShare))
    this.refillAccount(account, rate, capacity, nowMs)
    const lease = this.updateLease(account, daemon, use, evenShare)
    account.level = Math.min(account.level, capacity - account.held)
    const granted = chooseGrant(use, account.level, capacity)
    account.level -= granted
    account.held += granted
    lease.held += granted
    return { customer: use.customer, granted, waitMs: granted >= use.shortage ? 0 : computeWaitMs(use, account, rate, quota), share: evenShare + this.updateShare(account, lease) }
  }

  /** Notes what a daemon holds, before anything is handed out. */
  private noteLease (daemon: string, use: QuotaUse | undefined, { daemons, findQuota }: QuotaFleet): void {
    if (use !== undefined && findQuota(use.customer) !== undefined) this.updateLease(this.findOrCreateAccount(use.customer, this.issuesFromMs), daemon, use, EVEN_FRACTION / Math.max(1, daemons.size))
  }

  private findOrCreateAccount (customer: string, nowMs: number): Account {
    const account = this.accounts.get(customer) ?? { level: 0, refilledAtMs: Math.min(nowMs, this.issuesFromMs), leases: new Map(), held: 0, demand: 0, demandShares: 0 }
    this.accounts.set(customer, account)
    return account
  }

  /** What daemons hold counts against the capacity, as they may use all of it at once. */
  private refillAccount (account: Account, rate: number, capacity: number, nowMs: number): void {
    const refilled = account.level + Math.max(0, rate) * (nowMs - account.refilledAtMs) / MS_PER_SECOND
    account.level = Math.min(refilled, capacity - account.held)
    account.refilledAtMs = nowMs
  }

  /** Tokens that the daemon neither holds nor has used were returned, or lost with an answer, and are available again. */
  private updateLease (account: Account, daemon: string, use: QuotaUse, evenShare: number): Lease {
    const known = account.leases.get(daemon)
    const lease = known ?? { held: use.held, usedTotal: use.usedTotal, demand: 0, demandShare: 0 }
    if (known === undefined) {
      account.leases.set(daemon, lease)
      account.held += use.held
      // Granted by the predecessor, and kept until it is replaced below.
      lease.demandShare = Math.min(MAX_DEMAND_SHARE, Math.max(0, use.share - evenShare))
      account.demandShares += lease.demandShare
    } else {
      account.level += Math.max(0, lease.held - (use.usedTotal - lease.usedTotal) - use.held)
      account.held += use.held - lease.held
      lease.held = use.held
      lease.usedTotal = use.usedTotal
    }
    account.demand += use.demand - lease.demand
    lease.demand = use.demand
    return lease
  }

  /** The shares of all daemons add up to no more than the quota at any time, those of silent daemons included. */
  private updateShare (account: Account, lease: Lease): number {
    const others = account.demandShares - lease.demandShare
    const fair = account.demand > 0 ? (1 - EVEN_FRACTION) * lease.demand / account.demand : 0
    lease.demandShare = Math.max(0, Math.min(MAX_DEMAND_SHARE, fair, 1 - EVEN_FRACTION - others))
    account.demandShares = others + lease.demandShare
    return lease.demandShare
  }

  /** Fraction of a quota that daemons out of contact may use. */
  private sumReservedShares (account: Account, evenShare: number): number {
    const silent = this.silentDaemons.reduce((sum, daemon) => sum + evenShare + (account.leases.get(daemon)?.demandShare ?? 0), 0)
    const unheardDemandShare = Math.min(this.unheardCount * MAX_DEMAND_SHARE, Math.max(0, 1 - EVEN_FRACTION - account.demandShares))
    return Math.min(1, silent + (this.areOldLeasesCounted ? unheardDemandShare : 0) + this.unheardCount * evenShare)
  }

  private get areOldLeasesCounted (): boolean {
    return this.contactsCheckedAtMs - this.termStartedAtMs < LEASE_COUNTED_MS
  }

  /** While this daemon is held up, it hears nobody: requests that waited in its sockets meanwhile don't count as late. */
  private adjustHeardTimes (nowMs: number): void {
    const gapMs = nowMs - this.requestedAtMs
    this.requestedAtMs = nowMs
    if (gapMs < HELD_UP_MS || gapMs > LEASE_COUNTED_MS) return
    for (const [daemon, holder] of this.holders) this.holders.set(daemon, { ...holder, heardAtMs: holder.heardAtMs + gapMs })
  }

  /** Determines which daemons are out of contact, and drops the leases that have ended. */
  private checkContacts ({ daemons, timing }: QuotaFleet, nowMs: number, isNew: boolean): void {
    if (!isNew && nowMs - this.contactsCheckedAtMs < CONTACT_CHECK_MS) return
    this.contactsCheckedAtMs = nowMs
    for (const [daemon, { heardAtMs }] of this.holders) {
      if (nowMs - heardAtMs < LEASE_COUNTED_MS) continue
      this.dropLeases(daemon)
      if (!daemons.has(daemon)) this.holders.delete(daemon)
    }
    this.silentDaemons = [...this.holders].filter(([, { heardAtMs, isAnswered }]) => !isAnswered || nowMs - heardAtMs > timing.silentMs).map(([daemon]) => daemon)
    this.unheardCount = [...daemons].filter((daemon) => !this.holders.has(daemon)).length
  }

  private dropLeases (daemon: string): void {
    for (const account of this.accounts.values()) {
      const lease = account.leases.get(daemon)
      if (lease === undefined) continue
      account.leases.delete(daemon)
      account.held -= lease.held
      account.demand -= lease.demand
      account.demandShares -= lease.demandShare
    }
  }
}

/** What waits is granted first; what is expected only while the customer is well below its quota. */
function chooseGrant ({ shortage, leastShortage, held, wanted }: QuotaUse, level: number, capacity: number): number {
  const needed = Math.min(leastShortage, capacity * MAX_NEEDED_FRACTION)
  const forWaiting = shortage > 0 && level >= needed ? Math.max(leastShortage, Math.floor(Math.min(shortage, level))) : 0
  if (forWaiting < shortage) return forWaiting
  const spare = level - forWaiting - capacity * LEVEL_FOR_WAITING
  return forWaiting + Math.max(0, Math.floor(Math.min(wanted - held, spare)))
}

/** Time until this daemon's turn, if all daemons with requests of the customer take turns, in milliseconds. */
function computeWaitMs ({ leastShortage }: QuotaUse, { level, leases }: Account, rate: number, { ratePerSecond }: QuotaLimit): number {
  const competitors = [...leases.values()].filter(({ demand }) => demand > 0).length
  const turnMs = Math.max(1, competitors) * leastShortage / ratePerSecond * MS_PER_SECOND
  const refillMs = rate <= 0 ? NO_REFILL_WAIT_MS : (leastShortage - level) / rate * MS_PER_SECOND
  return Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, turnMs, refillMs))
}
