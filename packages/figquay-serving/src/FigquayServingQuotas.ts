/**
 * Keeps the quotas of customers over all daemons: takes the tokens of each request from what the leader has handed out, asks
 * it for more, and hands out tokens while this daemon is the leader. See `docs/design/quotas.md`.
 */
import { Refusal, type Clock, type Logger, type Outcome, type TaskGroup } from 'figquay'
import type { ConfigurationHolder, Customer, FleetLeadership } from 'figquay-fleet'
import { computeQuotaTiming, encodeQuotaUse, QuotaIssuer, QuotaLease, type QuotaContact, type QuotaGrant, type QuotaLimit, type QuotaRequest, type QuotaSource, type QuotaTolerance } from 'figquay-routing'
import { addRetryJitter } from './FigquayServingDispatcher.js'
import type { ServingTelemetry } from './FigquayServingTelemetry.js'
import type { ServedRequest } from './FigquayServingTypes.js'

/** Answer of a daemon that was asked for tokens. */
export type QuotaReply =
  | { readonly type: 'granted', readonly fence: number, readonly grants: readonly QuotaGrant[] }
  /** It isn't the leader, or can't know whether it still is. */
  | { readonly type: 'unavailable' }

/** Dependencies of the quotas. */
export interface FleetQuotasOptions {
  readonly self: string
  readonly bootId: string
  readonly clock: Clock
  readonly logger: Logger
  readonly configurations: ConfigurationHolder
  readonly leadership: Pick<FleetLeadership, 'leader' | 'isLeader' | 'fencingToken'>
  readonly tolerance: QuotaTolerance
  readonly callPeer: <T>(daemon: string, method: string, params: unknown, timeoutMs: number) => Promise<Outcome<T, string>>
  /** Daemons that may serve callers, this one included; undefined as long as this daemon doesn't know them. */
  readonly listDaemons: () => ReadonlySet<string> | undefined
  readonly telemetry: ServingTelemetry
}

/** Tokens that a request has taken. */
export interface AcquiredQuota {
  /** Returns them, as the request has not run; without effect after the first call. */
  readonly release: () => void
}

/** State of one customer's quota at this daemon, for operators. */
export interface QuotaStatus {
  readonly customer: string
  readonly ratePerSecond: number
  readonly held: number
  readonly share: number
}

/** A request that waits for tokens. */
interface Waiter {
  readonly cost: number
}

/** The leader's release keeps no quotas. */
const UNKNOWN_METHOD = 'Method not found'
const EXCHANGE_METHOD = 'quota.take'
/** Timeout of an exchange with the leader, in milliseconds: an answer that comes later than it would bring tokens that nobody gets. */
const EXCHANGE_TIMEOUT_MS = 1_000
/** Pause after an exchange that failed, in milliseconds. */
const RETRY_PAUSE_MS = 50
/** Longest time for which a request waits for an issuer, in milliseconds, and the same as a fraction of the time that it has left. */
const MAX_ISSUER_WAIT_MS = 1_000
const MAX_ISSUER_WAIT_FRACTION = 0.3
/** Retry-after of a request when no issuer could be reached, in milliseconds: replacing one takes longer than waiting for it did. */
const NO_ISSUER_RETRY_AFTER_MS = 1_000
/** Shortest retry-after beyond a quota, in milliseconds. */
const MIN_RETRY_AFTER_MS = 100
const UNAVAILABLE: QuotaReply = { type: 'unavailable' }

/** Quotas of one daemon's customers. */
export class FleetQuotas {
  private readonly leases = new Map<string, QuotaLease>()
  private readonly waiters = new Map<string, Set<Waiter>>()
  private readonly issuer: QuotaIssuer
  /** Fencing token of the term in which this daemon issues. */
  private issuerFence: number | undefined
  private serial = 0
  private exchange: Promise<boolean> | undefined
  /** Time at which the last exchange that succeeded began. */
  private contact: { readonly atMs: number, readonly wallTimeMs: number } | undefined
  private exchangedAtMs = Number.NEGATIVE_INFINITY
  /** Fencing token of the leader that answered last. */
  private answeredFence: number | undefined
  /** Whether the leader is of a release that keeps no quotas: then nobody does. */
  private isUnsupported = false

  private constructor (private readonly options: FleetQuotasOptions) {
    this.issuer = QuotaIssuer.create(options.tolerance)
    options.configurations.registerListener(() => this.updateLeases())
  }

  /**
   * @example
   * const quotas = FleetQuotas.create(options)
   */
  static create (options: FleetQuotasOptions): FleetQuotas {
    return new FleetQuotas(options)
  }

  /**
   * Starts the exchange with the leader.
   *
   * @example
   * quotas.start(tasks)
   */
  start (tasks: TaskGroup): void {
    tasks.startLoop('quotas', RETRY_PAUSE_MS, async () => {
      if (!this.hasQuotas) return
      const nowMs = this.options.clock.readMonotonicMs()
      if (nowMs - this.exchangedAtMs >= this.makeContact().timing.exchangeMs) await this.exchangeOnce()
    })
  }

  /**
   * Takes the tokens of a request; waits for them if the leader may have some.
   *
   * @returns Undefined if the request's customer has no quota.
   * @example
   * const quota = await quotas.acquireQuota(request, signal)
   * if (quota instanceof Refusal) return quota
   */
  async acquireQuota (request: ServedRequest, signal: AbortSignal): Promise<AcquiredQuota | Refusal | undefined> {
    const { customer } = request
    if (customer?.quota === undefined) return undefined
    const { clock, telemetry } = this.options
    const nowMs = clock.readMonotonicMs()
    const cost = computeCost(request, customer)
    const lease = this.findOrCreateLease(customer.name, customer.quota, nowMs)
    lease.noteArrival(cost, nowMs)
    const source = lease.tryAcquire(cost, this.makeContact(), nowMs) ?? await this.waitForTokens(request, lease, cost, signal)
    if (source instanceof Refusal) {
      telemetry.noteQuota(customer.name, source.code === 'rate_limited' ? 'refused' : 'unconfirmed', cost)
      telemetry.recordDecision('quota refused', request, { customer: customer.name, cost, reason: source.message, retryAfterMs: Math.round(source.retryAfterMs ?? 0), ...this.describeLease(lease) })
      return source
    }
    telemetry.noteQuota(customer.name, source, cost)
    if (source === 'unlimited') return undefined
    let isReleased = false
    return {
      release: () => {
        if (!isReleased) lease.releaseTokens(cost, source)
        isReleased = true
      }
    }
  }

  /** Handles a daemon's request for tokens. */
  handleTake (request: QuotaRequest): QuotaReply {
    const { leadership, clock, configurations, listDaemons } = this.options
    const daemons = listDaemons()
    const fence = leadership.fencingToken
    if (fence === undefined || daemons === undefined || !Array.isArray(request.uses)) return UNAVAILABLE
    const nowMs = clock.readMonotonicMs()
    const timing = computeQuotaTiming(daemons.size)
    if (fence !== this.issuerFence) this.issuer.startTerm(nowMs, timing)
    this.issuerFence = fence
    const grants = this.issuer.handleRequest(request, { daemons, timing, findQuota: (name) => configurations.current?.customers?.get(name)?.quota }, nowMs)
    return grants === undefined ? UNAVAILABLE : { type: 'granted', fence, grants }
  }

  /** The quotas of which this daemon holds a part, for operators. */
  listStatus (): QuotaStatus[] {
    return [...this.leases].map(([customer, lease]) => ({ customer, ratePerSecond: this.findQuota(customer)?.ratePerSecond ?? 0, ...lease.status }))
  }

  private get hasQuotas (): boolean {
    return [...this.options.configurations.current?.customers?.values() ?? []].some(({ quota }) => quota !== undefined)
  }

  private findQuota (customer: string): QuotaLimit | undefined {
    return this.options.configurations.current?.customers?.get(customer)?.quota
  }

  private findOrCreateLease (customer: string, quota: QuotaLimit, nowMs: number): QuotaLease {
    const lease = this.leases.get(customer) ?? QuotaLease.create(quota, nowMs)
    this.leases.set(customer, lease)
    return lease
  }

  private updateLeases (): void {
    for (const [customer, lease] of this.leases) {
      const quota = this.findQuota(customer)
      if (quota === undefined) this.leases.delete(customer)
      else lease.updateQuota(quota)
    }
  }

  private makeContact (): QuotaContact {
    const { clock, listDaemons } = this.options
    const daemonCount = listDaemons()?.size
    const lostForMs = this.contact === undefined ? Number.POSITIVE_INFINITY : clock.readMonotonicMs() - this.contact.atMs
    const wallAgeMs = this.contact === undefined ? Number.POSITIVE_INFINITY : clock.now().getTime() - this.contact.wallTimeMs
    return { lostForMs, leaseAgeMs: Math.max(lostForMs, wallAgeMs), daemonCount, timing: computeQuotaTiming(daemonCount ?? 1) }
  }

  private async waitForTokens (request: ServedRequest, lease: QuotaLease, cost: number, signal: AbortSignal): Promise<QuotaSource | 'unlimited' | Refusal> {
    const { clock } = this.options
    const { name } = request.customer!
    const startedAtMs = clock.readMonotonicMs()
    const giveUpAtMs = startedAtMs + Math.min(MAX_ISSUER_WAIT_MS, (request.deadlineAtMs - startedAtMs) * MAX_ISSUER_WAIT_FRACTION)
    const waiter: Waiter = { cost }
    const waiters = this.waiters.get(name) ?? new Set<Waiter>()
    this.waiters.set(name, waiters)
    waiters.add(waiter)
    try {
      while (!signal.aborted) {
        const denialMs = lease.measureDenialMs(clock.readMonotonicMs())
        if (denialMs > 0) return makeQuotaRefusal(name, denialMs)
        const contact = this.makeContact()
        if (contact.lostForMs > contact.timing.lostMs && Number.isFinite(contact.lostForMs)) return makeQuotaRefusal(name, Math.min(NO_ISSUER_RETRY_AFTER_MS, lease.computeShareWaitMs(cost, contact)))
        // An exchange that is under way was begun without this request.
        const patience = this.options.clock.waitFor(Math.max(0, giveUpAtMs - clock.readMonotonicMs()), signal).then(() => false)
        await Promise.race([this.exchange, patience])
        await Promise.race([this.exchangeOnce(), patience])
        if (this.isUnsupported) return 'unlimited'
        const source = lease.tryAcquire(cost, this.makeContact(), clock.readMonotonicMs())
        if (source !== undefined) return source
        if (lease.measureDenialMs(clock.readMonotonicMs()) > 0) continue
        if (clock.readMonotonicMs() >= giveUpAtMs) break
        await clock.waitFor(RETRY_PAUSE_MS, signal)
      }
      return Refusal.create('overloaded', 'the quota of the customer can\'t be confirmed, as no issuer is reached', { retryAfterMs: addRetryJitter(NO_ISSUER_RETRY_AFTER_MS) })
    } finally {
      waiters.delete(waiter)
    }
  }

  /** Exchanges with the leader once, joining an exchange that is about to begin; returns whether it answered. */
  private async exchangeOnce (): Promise<boolean> {
    this.exchange ??= this.runExchange().finally(() => {
      this.exchange = undefined
    })
    return await this.exchange
  }

  private async runExchange (): Promise<boolean> {
    const { self, clock, leadership, callPeer } = this.options
    const { leader } = leadership
    const request = this.makeRequest()
    const contact = { atMs: clock.readMonotonicMs(), wallTimeMs: clock.now().getTime() }
    this.exchangedAtMs = contact.atMs
    if (leader === undefined || leader.daemon === '') return false
    const outcome = leader.daemon === self ? { ok: true as const, value: this.handleTake(request) } : await callPeer<QuotaReply>(leader.daemon, EXCHANGE_METHOD, request, EXCHANGE_TIMEOUT_MS)
    this.noteSupport(outcome)
    if (!outcome.ok || !isGranted(outcome.value) || outcome.value.fence < (leadership.leader?.fence ?? 0)) {
      for (const [customer] of request.uses) this.leases.get(customer)?.noteUnanswered()
      return false
    }
    if (outcome.value.fence !== this.answeredFence) this.noteNewIssuer(outcome.value.fence)
    this.contact = contact
    const nowMs = clock.readMonotonicMs()
    for (const grant of outcome.value.grants) this.leases.get(grant.customer)?.applyGrant(grant, nowMs)
    return true
  }

  /** A new leader knows nothing of what this daemon holds until it is told. */
  private noteNewIssuer (fence: number): void {
    this.answeredFence = fence
    for (const lease of this.leases.values()) lease.noteUnanswered()
  }

  private makeRequest (): QuotaRequest {
    const { self, bootId, clock } = this.options
    const nowMs = clock.readMonotonicMs()
    const contact = this.makeContact()
    this.serial += 1
    const uses = [...this.leases].filter(([customer, lease]) => lease.hasNews(nowMs) || (this.waiters.get(customer)?.size ?? 0) > 0)
      .map(([customer, lease]) => encodeQuotaUse(lease.makeUse(customer, [...this.waiters.get(customer) ?? []].map(({ cost }) => cost), contact, nowMs)))
    return { from: self, bootId, serial: this.serial, uses }
  }

  /** While the leader is of the release before, requests run as that release has them run. */
  private noteSupport (outcome: Outcome<QuotaReply, string>): void {
    const isUnsupported = !outcome.ok && outcome.error === UNKNOWN_METHOD
    if ((!outcome.ok && !isUnsupported) || isUnsupported === this.isUnsupported) return
    this.isUnsupported = isUnsupported
    this.options.logger.warn(isUnsupported ? 'the leader keeps no quotas; they are not enforced' : 'the leader keeps quotas', { leader: this.options.leadership.leader?.daemon })
  }

  private describeLease (lease: QuotaLease): Record<string, unknown> {
    const { lostForMs } = this.makeContact()
    const { held, share } = lease.status
    const denialAgeMs = lease.measureDenialAgeMs(this.options.clock.readMonotonicMs())
    return { held: Math.round(held), share, issuer: this.options.leadership.leader?.daemon, contactAgeMs: Number.isFinite(lostForMs) ? Math.round(lostForMs) : undefined, denialAgeMs: Number.isFinite(denialAgeMs) ? Math.round(denialAgeMs) : undefined }
  }
}

/** A reply of another release may have another form. */
function isGranted (reply: unknown): reply is Extract<QuotaReply, { type: 'granted' }> {
  const { type, fence, grants } = (reply ?? {}) as Record<string, unknown>
  return type === 'granted' && Number.isFinite(fence) && Array.isArray(grants)
}

function computeCost ({ promptTokens, maxOutputTokens }: ServedRequest, { quota }: Customer): number {
  if (quota?.unit === 'requests') return 1
  const tokens = promptTokens + maxOutputTokens
  return tokens > 0 ? tokens : quota?.defaultTokens ?? 0
}

/** Callers of one customer return spread out. */
function makeQuotaRefusal (customer: string, waitMs: number): Refusal {
  return Refusal.create('rate_limited', `customer ${customer} has used up its quota`, { retryAfterMs: addRetryJitter(Math.max(MIN_RETRY_AFTER_MS, waitMs)) })
}
