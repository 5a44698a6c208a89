/** Sends orders to runners under a lease, and keeps account of those that may still take effect. */
import { makeId, type Clock, type Logger } from 'figquay'
import type { Pool } from 'figquay-contracts'
import type { FoldedStream, LogAppender } from 'figquay-log'
import type { Membership } from 'figquay-membership'
import type { RunnerReport } from 'figquay-routing'
import type { EngineClient, OrderAction, OrderReply } from 'figquay-upstreams'
import type { IntentData, PlacementFold, SettleData } from './FigquayPlacementFold.js'
import { LEASE_TTL_MS, readDaemonOf, type LeaseManager } from './FigquayPlacementLeaseKeeper.js'
import type { OpenOrder } from './FigquayPlacementLedger.js'

/** What the order book needs. */
export interface OrderBookOptions {
  readonly holder: string
  readonly stream: FoldedStream<PlacementFold>
  readonly appender: LogAppender
  readonly leases: LeaseManager
  readonly membership: Membership
  readonly engines: EngineClient
  readonly clock: Clock
  readonly logger: Logger
}

/** What to order. */
export interface OrderRequest {
  readonly cell: string
  readonly pool: Pool
  readonly report: RunnerReport
  readonly action: OrderAction
  readonly subject: string
  readonly bytes: number
}

/** An order cannot take effect later than this after it was sent, in milliseconds. */
export const ORDER_LIFE_MS = 5_000
const SETTLE_REPEAT_MS = 2_000
/** Orders under one lease. */
const ORDERS_PER_LEASE = 1_000_000

interface RunnerAccount {
  readonly orders: Map<string, OpenOrder>
  /** Lease under which the runner has confirmed a fencing number of ours. */
  fencedLease: number
  /** Engine process that has confirmed it: a new one may have forgotten. */
  fencedBoot: string
  /** The engine must confirm a higher fencing number before its report settles anything. */
  needsFence: boolean
  /** Monotonic time from which reports may be believed, in milliseconds. */
  trustedFromMs: number
  sequence: number
}

/** Orders of one daemon. */
export class OrderDispatcher {
  private readonly accounts = new Map<string, RunnerAccount>()
  private readonly settling = new Set<string>()
  private readonly startedAtMs: number

  private constructor (private readonly options: OrderBookOptions) {
    this.startedAtMs = options.clock.readMonotonicMs()
  }

  /**
   * @example
   * const book = OrderBook.create(options)
   */
  static create (options: OrderBookOptions): OrderDispatcher {
    return new OrderDispatcher(options)
  }

  /** Orders on a runner that may still take effect: own ones, and those of earlier holders. */
  listOpen (runner: string): OpenOrder[] {
    const own = [...this.findAccount(runner).orders.values()]
    const known = new Set(own.map((order) => order.orderId))
    const inherited = this.options.stream.fold.listIntents(runner).filter((intent) => !known.has(intent.orderId))
    return [...own, ...inherited.map((intent) => ({ ...intent, answeredAtMs: undefined }))]
  }

  /**
   * Makes a runner ready for orders under the current lease; false while it is not.
   *
   * An engine that checks is given the new fencing number first: after that no earlier order can act,
   * and its next report is the truth.
   *
   * @example
   * if (!await book.prepareRunner(cell, pool, report)) return
   */
  async prepareRunner (cell: string, pool: Pool, report: RunnerReport): Promise<boolean> {
    const lease = this.options.leases.readLease(cell)
    if (lease === undefined) return false
    const account = this.findAccount(report.runner)
    if (pool.fencing === 'ignored') return true
    const isFenced = account.fencedLease === lease && account.fencedBoot === report.state.bootId && !account.needsFence
    if (isFenced) return report.requestedAtMs > account.trustedFromMs
    return this.installFence(account, report, lease)
  }

  /**
   * Sends one order; `undefined` when it was not sent or its outcome is unknown.
   *
   * @example
   * const reply = await book.sendOrder({ cell, pool, report, action: 'load-model', subject, bytes })
   */
  async sendOrder (request: OrderRequest): Promise<OrderReply | undefined> {
    const lease = this.options.leases.readLease(request.cell)
    if (lease === undefined) return undefined
    const account = this.findAccount(request.report.runner)
    const order: OpenOrder = { orderId: makeId('order'), action: request.action, subject: request.subject, bytes: request.bytes, answeredAtMs: undefined }
    account.orders.set(order.orderId, order)
    if (request.pool.fencing === 'ignored' && !await this.announceOrder(request, order, lease)) {
      this.dropUnsent(account, order)
      return undefined
    }
    return this.deliverOrder(account, request, order, lease)
  }

  private findAccount (runner: string): RunnerAccount {
    let account = this.accounts.get(runner)
    if (account === undefined) {
      account = { orders: new Map(), fencedLease: -1, fencedBoot: '', needsFence: false, trustedFromMs: Number.NEGATIVE_INFINITY, sequence: 0 }
      this.accounts.set(runner, account)
    }
    return account
  }

  private makeFence (account: RunnerAccount, lease: number): number {
    account.sequence += 1
    return lease * ORDERS_PER_LEASE + account.sequence
  }

  private async installFence (account: RunnerAccount, report: RunnerReport, lease: number): Promise<boolean> {
    account.sequence = account.fencedLease === lease ? account.sequence : 0
    const fence = this.makeFence(account, lease)
    const reply = await this.options.engines.sendOrder(report.url, { orderId: makeId('fence'), fence, action: 'install-fence', subject: '', bytes: 0 })
    if (!reply.ok || reply.value !== 'accepted') {
      this.options.logger.warn('runner did not take the fencing number', { runner: report.runner, fence, reason: reply.ok ? reply.value : reply.error.message })
      return false
    }
    account.fencedLease = lease
    account.fencedBoot = report.state.bootId
    account.needsFence = false
    account.trustedFromMs = this.options.clock.readMonotonicMs()
    // Nothing sent before can act any more: a report asked for from now on settles every order.
    for (const [id, order] of account.orders) account.orders.set(id, { ...order, answeredAtMs: account.trustedFromMs })
    return false
  }

  /** Writes the intent to the log and waits until it counts. */
  private async announceOrder (request: OrderRequest, order: OpenOrder, lease: number): Promise<boolean> {
    const data: IntentData = {
      type: 'intent',
      cell: request.cell,
      lease,
      holder: this.options.holder,
      orderId: order.orderId,
      runner: request.report.runner,
      action: request.action,
      subject: request.subject,
      bytes: request.bytes
    }
    const appended = await this.options.appender.appendRecord({ id: order.orderId, data })
    if (!appended.ok) return false
    await this.options.stream.waitUntil(() => this.options.stream.position > appended.value, LEASE_TTL_MS)
    const counts = this.options.stream.fold.findIntent(order.orderId) !== undefined
    return counts && this.options.leases.isValid(request.cell)
  }

  /** An order that was never sent; its intent, if it stands or may still come to stand, is settled in the log. */
  private dropUnsent (account: RunnerAccount, order: OpenOrder): void {
    account.orders.delete(order.orderId)
    this.settleInLog([order.orderId])
  }

  private async deliverOrder (account: RunnerAccount, request: OrderRequest, order: OpenOrder, lease: number): Promise<OrderReply | undefined> {
    const { action, subject, bytes, report } = request
    const fence = this.makeFence(account, lease)
    const reply = await this.options.engines.sendOrder(report.url, { orderId: order.orderId, fence, action, subject, bytes })
    if (!reply.ok && reply.error.sent === 'never') {
      this.dropUnsent(account, order)
      return undefined
    }
    const answeredAtMs = this.options.clock.readMonotonicMs()
    if (request.pool.fencing === 'ignored') {
      // The same order may arrive a second time, so an answer settles nothing before its life is over.
      account.orders.set(order.orderId, { ...order, answeredAtMs: answeredAtMs + ORDER_LIFE_MS })
    } else if (reply.ok) {
      account.orders.set(order.orderId, { ...order, answeredAtMs })
      if (reply.value === 'stale-fence') account.needsFence = true
    } else account.needsFence = true
    return reply.ok ? reply.value : undefined
  }

  /**
   * Settles the orders whose effect a report must show, and, under the lease, those whose sender is gone.
   *
   * @example
   * book.settleOrders(cell, pool, report)
   */
  settleOrders (cell: string, pool: Pool, report: RunnerReport): void {
    const account = this.findAccount(report.runner)
    const settled = [...account.orders.values()].filter((order) => order.answeredAtMs !== undefined && report.requestedAtMs > order.answeredAtMs)
    for (const order of settled) account.orders.delete(order.orderId)
    if (pool.fencing === 'checked') return
    const isHolder = this.options.leases.readLease(cell) !== undefined
    const inherited = this.options.stream.fold.listIntents(report.runner).filter((intent) => !account.orders.has(intent.orderId))
    const dead = inherited.filter((intent) => this.isSenderGone(intent, isHolder))
    this.settleInLog([...settled, ...dead].map((order) => order.orderId))
  }

  /**
   * An order of another holder stays in doubt until its sender has been off the roster for longer than an order
   * lives. A daemon knows that its own earlier process is dead: it has taken over its port.
   */
  private isSenderGone (intent: IntentData, isHolder: boolean): boolean {
    if (intent.holder === this.options.holder) return true
    const sender = readDaemonOf(intent.holder)
    const isEarlierSelf = sender === readDaemonOf(this.options.holder)
    const livedMs = this.options.clock.readMonotonicMs() - this.startedAtMs
    if (isEarlierSelf) return livedMs > ORDER_LIFE_MS
    return isHolder && this.options.membership.readAbsenceMs(sender) > ORDER_LIFE_MS
  }

  private settleInLog (orderIds: readonly string[]): void {
    const fresh = orderIds.filter((orderId) => !this.settling.has(orderId))
    if (fresh.length === 0) return
    for (const orderId of fresh) this.settling.add(orderId)
    const data: SettleData = { type: 'settle', orderIds: fresh }
    this.options.appender.appendRecord({ id: makeId('settle'), data }).then(async () => {
      // Asked for again if the record did not get into the log.
      await this.options.clock.waitFor(SETTLE_REPEAT_MS)
      for (const orderId of fresh) this.settling.delete(orderId)
    })
  }
}
