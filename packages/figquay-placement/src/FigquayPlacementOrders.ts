/** Sends orders to runners under a lease and tracks those that may still take effect. */
import { makeId, type Clock, type Logger } from 'figquay'
import type { Pool } from 'figquay-contracts'
import type { StreamReplica, LogAppender } from 'figquay-log'
import type { Membership } from 'figquay-membership'
import type { RunnerReport } from 'figquay-routing'
import type { EngineClient, OrderAction, OrderReply } from 'figquay-upstreams'
import type { IntentData, PlacementStateMachine, SettleData } from './FigquayPlacementStateMachine.js'
import { LEASE_TTL_MS, parseDaemonId, type LeaseManager } from './FigquayPlacementLeaseManager.js'
import type { OpenOrder } from './FigquayPlacementLedger.js'

/** Dependencies of the order dispatcher. */
export interface OrderDispatcherOptions {
  /** `daemon/incarnation`. */
  readonly holder: string
  readonly stream: StreamReplica<PlacementStateMachine>
  readonly appender: LogAppender
  readonly leases: LeaseManager
  readonly membership: Membership
  readonly engines: EngineClient
  readonly clock: Clock
  readonly logger: Logger
}

/** An order to send. */
export interface OrderRequest {
  readonly cell: string
  readonly pool: Pool
  readonly report: RunnerReport
  readonly action: OrderAction
  readonly subject: string
  readonly bytes: number
}

/** An order takes effect within this time after it was sent, or never. */
export const MAX_ORDER_DELAY_MS = 5_000
const SETTLE_RETRY_DELAY_MS = 2_000
/** Spacing of lease offsets in fencing tokens, so that the tokens of a newer lease are always higher. */
const MAX_ORDERS_PER_LEASE = 1_000_000

interface RunnerOrderState {
  readonly orders: Map<string, OpenOrder>
  /** Lease offset under which the engine last confirmed a fencing token of this daemon. */
  fencedLease: number
  /** Boot id of the engine process that confirmed it. A restarted engine may have lost the token. */
  fencedBootId: string
  /** Whether the engine must confirm a higher fencing token before a report can settle the open orders. */
  needsFence: boolean
  /** Only reports requested after this monotonic time, in milliseconds, were made under the latest fencing token. */
  reportsValidAfterMs: number
  /** Number of fencing tokens created under the current lease. */
  sequence: number
}

/** Sends and tracks the orders of one daemon. */
export class OrderDispatcher {
  private readonly orderStates = new Map<string, RunnerOrderState>()
  private readonly pendingSettles = new Set<string>()
  private readonly startedAtMs: number

  private constructor (private readonly options: OrderDispatcherOptions) {
    this.startedAtMs = options.clock.readMonotonicMs()
  }

  /**
   * @example
   * const dispatcher = OrderDispatcher.create(options)
   */
  static create (options: OrderDispatcherOptions): OrderDispatcher {
    return new OrderDispatcher(options)
  }

  /** Lists the orders that may still take effect on a runner: those of this process, and unsettled intents of other holders. */
  listOpenOrders (runner: string): OpenOrder[] {
    const ownOrders = [...this.ensureOrderState(runner).orders.values()]
    const ownIds = new Set(ownOrders.map((order) => order.orderId))
    const inheritedIntents = this.options.stream.stateMachine.listIntents(runner).filter((intent) => !ownIds.has(intent.orderId))
    return [...ownOrders, ...inheritedIntents.map((intent) => ({ ...intent, finalAfterMs: undefined }))]
  }

  /**
   * Prepares a runner for orders under the current lease; returns false until it is ready.
   *
   * An engine that checks fencing tokens gets a new one first. It then rejects all earlier orders, so the next report
   * shows the effect of every order that was accepted.
   *
   * @example
   * if (!await dispatcher.prepareRunner(cell, pool, report)) return
   */
  async prepareRunner (cell: string, pool: Pool, report: RunnerReport): Promise<boolean> {
    const lease = this.options.leases.findHeldLease(cell)
    if (lease === undefined) return false
    const orderState = this.ensureOrderState(report.runner)
    if (pool.fencing === 'ignored') return true
    const isFenced = orderState.fencedLease === lease && orderState.fencedBootId === report.state.bootId && !orderState.needsFence
    if (isFenced) return report.requestedAtMs > orderState.reportsValidAfterMs
    return this.installFence(orderState, report, lease)
  }

  /**
   * Sends one order and returns the engine's reply; `undefined` when the order was not sent or its outcome is unknown.
   *
   * @example
   * const reply = await dispatcher.sendOrder({ cell, pool, report, action: 'load-model', subject, bytes })
   */
  async sendOrder (request: OrderRequest): Promise<OrderReply | undefined> {
    const lease = this.options.leases.findHeldLease(request.cell)
    if (lease === undefined) return undefined
    const orderState = this.ensureOrderState(request.report.runner)
    const order: OpenOrder = { orderId: makeId('order'), action: request.action, subject: request.subject, bytes: request.bytes, finalAfterMs: undefined }
    orderState.orders.set(order.orderId, order)
    if (request.pool.fencing === 'ignored' && !await this.commitIntent(request, order, lease)) {
      this.discardUnsentOrder(orderState, order)
      return undefined
    }
    return this.deliverOrder(orderState, request, order, lease)
  }

  private ensureOrderState (runner: string): RunnerOrderState {
    let orderState = this.orderStates.get(runner)
    if (orderState === undefined) {
      orderState = { orders: new Map(), fencedLease: -1, fencedBootId: '', needsFence: false, reportsValidAfterMs: Number.NEGATIVE_INFINITY, sequence: 0 }
      this.orderStates.set(runner, orderState)
    }
    return orderState
  }

  private makeFencingToken (orderState: RunnerOrderState, lease: number): number {
    orderState.sequence += 1
    return lease * MAX_ORDERS_PER_LEASE + orderState.sequence
  }

  private async installFence (orderState: RunnerOrderState, report: RunnerReport, lease: number): Promise<boolean> {
    orderState.sequence = orderState.fencedLease === lease ? orderState.sequence : 0
    const fence = this.makeFencingToken(orderState, lease)
    const reply = await this.options.engines.sendOrder(report.url, { orderId: makeId('fence'), fence, action: 'install-fence', subject: '', bytes: 0 })
    if (!reply.ok || reply.value !== 'accepted') {
      this.options.logger.warn('could not install a fencing token on the runner', { runner: report.runner, fence, reason: reply.ok ? reply.value : reply.error.message })
      return false
    }
    orderState.fencedLease = lease
    orderState.fencedBootId = report.state.bootId
    orderState.needsFence = false
    orderState.reportsValidAfterMs = this.options.clock.readMonotonicMs()
    // The engine now rejects all earlier orders, so a report requested after this time settles them.
    for (const [id, order] of orderState.orders) orderState.orders.set(id, { ...order, finalAfterMs: orderState.reportsValidAfterMs })
    return false
  }

  /** Appends the intent to the log, waits until it has been applied, and returns whether the order may be sent. */
  private async commitIntent (request: OrderRequest, order: OpenOrder, lease: number): Promise<boolean> {
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
    const isAccepted = this.options.stream.stateMachine.findIntent(order.orderId) !== undefined
    return isAccepted && this.options.leases.isLeaseValid(request.cell)
  }

  /** Discards an order that was never sent, and settles its intent, which may be in the log or still get there. */
  private discardUnsentOrder (orderState: RunnerOrderState, order: OpenOrder): void {
    orderState.orders.delete(order.orderId)
    this.appendSettleRecord([order.orderId])
  }

  private async deliverOrder (orderState: RunnerOrderState, request: OrderRequest, order: OpenOrder, lease: number): Promise<OrderReply | undefined> {
    const { action, subject, bytes, report } = request
    const fence = this.makeFencingToken(orderState, lease)
    const reply = await this.options.engines.sendOrder(report.url, { orderId: order.orderId, fence, action, subject, bytes })
    if (!reply.ok && reply.error.sent === 'never') {
      this.discardUnsentOrder(orderState, order)
      return undefined
    }
    const answeredAtMs = this.options.clock.readMonotonicMs()
    if (request.pool.fencing === 'ignored') {
      // A duplicate of the order may still arrive, so the reply alone doesn't settle it before the maximum delay is over.
      orderState.orders.set(order.orderId, { ...order, finalAfterMs: answeredAtMs + MAX_ORDER_DELAY_MS })
    } else if (reply.ok) {
      orderState.orders.set(order.orderId, { ...order, finalAfterMs: answeredAtMs })
      if (reply.value === 'stale-fence') orderState.needsFence = true
    } else orderState.needsFence = true
    return reply.ok ? reply.value : undefined
  }

  /**
   * Settles the orders whose effect the report already shows and, for engines that ignore fencing tokens, the intents
   * whose sender is gone.
   *
   * @example
   * dispatcher.settleOrders(cell, pool, report)
   */
  settleOrders (cell: string, pool: Pool, report: RunnerReport): void {
    const orderState = this.ensureOrderState(report.runner)
    const settledOrders = [...orderState.orders.values()].filter((order) => order.finalAfterMs !== undefined && report.requestedAtMs > order.finalAfterMs)
    for (const order of settledOrders) orderState.orders.delete(order.orderId)
    if (pool.fencing === 'checked') return
    const isLeaseHolder = this.options.leases.findHeldLease(cell) !== undefined
    const inheritedIntents = this.options.stream.stateMachine.listIntents(report.runner).filter((intent) => !orderState.orders.has(intent.orderId))
    const abandonedIntents = inheritedIntents.filter((intent) => this.isSenderGone(intent, isLeaseHolder))
    this.appendSettleRecord([...settledOrders, ...abandonedIntents].map((order) => order.orderId))
  }

  /**
   * Whether the sender of an intent can no longer send the order. The lease holder settles intents of another daemon
   * only after it has been off the roster for longer than the maximum order delay. The previous process of this daemon
   * is known to be dead, as this process listens on its port; its orders expire that long after the start.
   */
  private isSenderGone (intent: IntentData, isLeaseHolder: boolean): boolean {
    if (intent.holder === this.options.holder) return true
    const sender = parseDaemonId(intent.holder)
    const isPreviousProcess = sender === parseDaemonId(this.options.holder)
    const uptimeMs = this.options.clock.readMonotonicMs() - this.startedAtMs
    if (isPreviousProcess) return uptimeMs > MAX_ORDER_DELAY_MS
    return isLeaseHolder && this.options.membership.readAbsenceMs(sender) > MAX_ORDER_DELAY_MS
  }

  private appendSettleRecord (orderIds: readonly string[]): void {
    const newOrderIds = orderIds.filter((orderId) => !this.pendingSettles.has(orderId))
    if (newOrderIds.length === 0) return
    for (const orderId of newOrderIds) this.pendingSettles.add(orderId)
    const data: SettleData = { type: 'settle', orderIds: newOrderIds }
    this.options.appender.appendRecord({ id: makeId('settle'), data }).then(async () => {
      // Allows another attempt if the record did not reach the log.
      await this.options.clock.waitFor(SETTLE_RETRY_DELAY_MS)
      for (const orderId of newOrderIds) this.pendingSettles.delete(orderId)
    })
  }
}
