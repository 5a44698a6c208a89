/**
 * Sends load and unload orders to runners, one at a time per runner, and tracks their outcome.
 *
 * Orders use optimistic concurrency control: each carries the count of accepted orders that its sender last knew of. The
 * runner executes an order only while its own count matches, so an order that arrives late, or was planned on outdated
 * state, has no effect, and orders that each fit into the runner's memory can't exceed it together.
 */
import { describeError, type Clock, type Logger } from 'figquay'
import type { FleetLeadership } from './FigquayFleetLeadership.js'
import type { FleetOrderReply, RunnerOrderClient } from './FigquayFleetPlatform.js'
import type { FleetRunnerTable } from './FigquayFleetRunnerTable.js'
import { checkOrder } from './FigquayFleetOrderCheck.js'
import type { EnginePool, Holdings } from './FigquayFleetTypes.js'

/** Dependencies of the dispatcher. */
export interface OrderDispatcherOptions {
  readonly self: string
  readonly client: RunnerOrderClient
  readonly table: FleetRunnerTable
  readonly leadership: FleetLeadership
  readonly clock: Clock
  readonly logger: Logger
  /** Announces a runner's current holdings to peers. */
  readonly announceHoldings: (runnerId: string, bornMs: number, holdings: Holdings) => void
  /** Announces to peers that a runner is draining. */
  readonly announceLeaving: (runnerId: string, bornMs: number) => void
}

/** An order to send. */
export interface OrderRequest {
  readonly runner: string
  readonly action: 'load' | 'unload'
  readonly model: string
  readonly adapter: string | undefined
  readonly pool: EnginePool
  readonly reason: string
  /** Called when the order is about to be sent: without this call, it certainly has no effect. */
  readonly onSend?: () => void
}

/** Outcome of an order: executed, accepted and in progress, or with no or unknown effect. */
export type OrderResult = 'done' | 'accepted' | 'failed'

/** Time by which a runner's reported state may lag behind, in milliseconds. */
const REPORT_LAG_MS = 150
/** Pause after an order with an unknown or unexpected outcome, and base of the backoff, in milliseconds. */
const RETRY_PAUSE_MS = 300
/** Upper bound of the exponential backoff for a runner that doesn't answer, in milliseconds. */
const MAX_RETRY_PAUSE_MS = 5_000
/** An order may take this many times as long as expected while many are in progress. */
const MAX_DURATION_FACTOR = 4
/**
 * Orders that are checked and sent at once. With more, a small VM handles the responses later than their timeout, and has to
 * read the state of all these runners again.
 */
const MAX_CONCURRENT_ORDERS = 16
/** Those of them that may be for models while adapters are awaited: both are planned at once, and models come first. */
const MAX_CONCURRENT_MODEL_ORDERS = 10
/** An adapter is loaded within this time, in milliseconds, unless many are loaded at once. */
const ADAPTER_LOAD_MS = 20

interface RunnerRecord {
  /** An order to the runner is being checked and sent. */
  isSending: boolean
  /** Orders accepted by the runner: as last reported, plus those accepted since. */
  sequence: number
  /** The runner's holdings after that many orders. Announcements, which lag behind, don't change them. */
  holdings: Holdings | undefined
  /** Start time of the runner that the record describes, in milliseconds. */
  bornMs: number
  /** Monotonic time before which no order is sent, in milliseconds. */
  nextOrderAtMs: number
  /** The runner's state must be read again before the next order. */
  needsRefresh: boolean
  /** Consecutive reads of the state that the runner didn't answer. */
  unansweredReads: number
}

/** Sends the orders of the leader. */
export class OrderDispatcher {
  private readonly records = new Map<string, RunnerRecord>()
  /** Orders that are being checked and sent, and those of them that are for models. */
  private sendingCount = 0
  private sendingModelCount = 0

  private constructor (private readonly options: OrderDispatcherOptions) {}

  /**
   * @example
   * const dispatcher = OrderDispatcher.create(options)
   */
  static create (options: OrderDispatcherOptions): OrderDispatcher {
    return new OrderDispatcher(options)
  }

  /** Whether another order may be sent now; those that are under way have to end first. */
  get hasCapacity (): boolean {
    return this.sendingCount < MAX_CONCURRENT_ORDERS
  }

  /** Orders that are being checked and sent. */
  get underWayCount (): number {
    return this.sendingCount
  }

  /** Steps for models that may be started now, so that orders for adapters aren't held up behind them. */
  get modelStepCapacity (): number {
    return Math.max(0, Math.min(MAX_CONCURRENT_MODEL_ORDERS - this.sendingModelCount, MAX_CONCURRENT_ORDERS - this.sendingCount))
  }

  /** Whether a step of a plan may be started on a runner now. */
  isReady (runnerId: string): boolean {
    return this.hasCapacity && this.canTakeOrder(runnerId)
  }

  private canTakeOrder (runnerId: string): boolean {
    return this.measurePauseMs(runnerId) === 0
  }

  /** Time until a runner may be sent an order, as far as it is known, in milliseconds: an order being sent takes a few milliseconds. */
  measurePauseMs (runnerId: string): number {
    const record = this.records.get(runnerId)
    if (record === undefined) return 0
    return Math.max(record.isSending ? 1 : 0, record.nextOrderAtMs - this.options.clock.readMonotonicMs())
  }

  /** Whether a runner didn't answer the last read of its state: nothing should wait for it. */
  isUnresponsive (runnerId: string): boolean {
    return (this.records.get(runnerId)?.unansweredReads ?? 0) > 0
  }

  /** Requires every runner's state to be read again: another leader may have sent orders meanwhile. */
  invalidateState (): void {
    for (const record of this.records.values()) record.needsRefresh = true
  }

  /**
   * Sends an order if the runner has room for it.
   *
   * @example
   * await dispatcher.sendOrder({ runner, action: 'load', model: 'manual', adapter: undefined, pool, reason })
   */
  async sendOrder (request: OrderRequest): Promise<OrderResult> {
    const record = this.findOrCreateRecord(request.runner)
    // The second order of a step that has begun is sent even without capacity for new steps.
    if (!this.canTakeOrder(request.runner)) return 'failed'
    const isModelOrder = request.adapter === undefined
    record.isSending = true
    this.sendingCount += 1
    if (isModelOrder) this.sendingModelCount += 1
    try {
      return await this.deliverOrder(record, request)
    } catch (error) {
      this.options.logger.error('order failed', { runner: request.runner, error: describeError(error) })
      return 'failed'
    } finally {
      record.isSending = false
      this.sendingCount -= 1
      if (isModelOrder) this.sendingModelCount -= 1
    }
  }

  /**
   * Reads a runner's state and announces its holdings; undefined when it isn't known, doesn't answer, or
   * sends an outdated report.
   *
   * @example
   * await dispatcher.readRunner('runner-1')
   */
  async readRunner (runnerId: string): Promise<Holdings | undefined> {
    const runner = this.options.table.findRunner(runnerId)
    if (runner === undefined) return undefined
    const report = await this.options.client.readState(runner)
    const record = this.findOrCreateRecord(runnerId)
    record.unansweredReads = report.ok ? 0 : record.unansweredReads + 1
    if (!report.ok) {
      this.options.logger.debug('could not read the state of the runner', { runner: runnerId, error: report.error.message })
      return undefined
    }
    if (report.value.isLeaving && this.options.table.markLeaving(runnerId, report.value.bornMs)) this.options.announceLeaving(runnerId, report.value.bornMs)
    // Reports lag behind: one from before the last accepted order is outdated.
    if (record.bornMs === report.value.bornMs && report.value.sequence < record.sequence) return undefined
    Object.assign(record, { sequence: report.value.sequence, holdings: report.value.holdings, bornMs: report.value.bornMs })
    this.publishHoldings(runnerId, report.value.bornMs, report.value.holdings)
    return report.value.holdings
  }

  private findOrCreateRecord (runnerId: string): RunnerRecord {
    const record = this.records.get(runnerId) ?? { isSending: false, sequence: 0, holdings: undefined, bornMs: 0, nextOrderAtMs: 0, needsRefresh: true, unansweredReads: 0 }
    this.records.set(runnerId, record)
    return record
  }

  private publishHoldings (runnerId: string, bornMs: number, holdings: Holdings): void {
    this.options.table.putHoldings(runnerId, bornMs, holdings)
    this.options.announceHoldings(runnerId, bornMs, holdings)
  }

  private async deliverOrder (record: RunnerRecord, request: OrderRequest): Promise<OrderResult> {
    const { client, table, leadership, logger, self, clock } = this.options
    const isStale = record.needsRefresh || record.bornMs !== table.findRunner(request.runner)?.bornMs
    if (isStale && await this.readRunner(request.runner) === undefined) {
      record.nextOrderAtMs = clock.readMonotonicMs() + Math.min(MAX_RETRY_PAUSE_MS, RETRY_PAUSE_MS * 2 ** record.unansweredReads)
      return this.noteUnsent(request, record.unansweredReads > 0 ? 'the runner does not report its state' : 'the report of the runner is outdated')
    }
    record.needsRefresh = false
    const runner = table.findRunner(request.runner)
    const fence = leadership.fencingToken
    if (fence === undefined) return this.noteUnsent(request, 'the leader has to confirm that it still is one')
    if (runner === undefined || record.holdings === undefined || runner.isLeaving) return this.noteUnsent(request, 'the runner leaves or is gone')
    const objection = checkOrder(record.holdings, request, request.pool)
    if (objection !== undefined) {
      // The plan was based on outdated state, which is read again before the next order.
      this.markStale(record)
      return this.noteUnsent(request, objection)
    }
    const expectedSequence = record.sequence
    const { action, model, adapter, reason, onSend } = request
    onSend?.()
    const reply = await client.sendOrder(runner, { action, model, adapter, expectedSequence, holder: self, fence })
    logger.info('order', { runner: runner.id, action, model, adapter, reason, sequence: expectedSequence, fence, outcome: reply.ok ? reply.value : `unknown: ${reply.error.message}` })
    if (!reply.ok) {
      this.markStale(record)
      return 'failed'
    }
    return await this.handleReply(record, request, reply.value, record.holdings)
  }

  private noteUnsent ({ runner, action, model, adapter }: OrderRequest, reason: string): 'failed' {
    this.options.logger.info('order not sent', { runner, action, model, adapter, reason })
    return 'failed'
  }

  private async handleReply (record: RunnerRecord, request: OrderRequest, reply: FleetOrderReply, previous: Holdings): Promise<OrderResult> {
    if (reply === 'accepted') return await this.applyAccepted(record, request, previous)
    // An unused adapter is unloaded before the runner replies. Otherwise the local state was outdated and nothing changes.
    if (reply === 'already-holds' && request.adapter !== undefined && request.action === 'unload') {
      record.sequence += 1
      this.updateHoldings(record, request.runner, removeAdapter(previous, request.model, request.adapter))
      return 'done'
    }
    if (reply === 'already-holds') await this.readRunner(request.runner)
    if (reply === 'stale-fence') this.options.leadership.stepDown(`runner ${request.runner} has seen a higher fencing token`)
    if (reply === 'other-runner') this.options.table.markReplaced(request.runner)
    this.markStale(record)
    return 'failed'
  }

  private updateHoldings (record: RunnerRecord, runnerId: string, holdings: Holdings): void {
    record.holdings = holdings
    this.publishHoldings(runnerId, record.bornMs, holdings)
  }

  private markStale (record: RunnerRecord): void {
    record.needsRefresh = true
    record.nextOrderAtMs = this.options.clock.readMonotonicMs() + RETRY_PAUSE_MS
  }

  /** Applies an accepted order to the local state at once; the runner's own reports follow later. */
  private async applyAccepted (record: RunnerRecord, request: OrderRequest, previous: Holdings): Promise<OrderResult> {
    const { runner, action, model, adapter } = request
    record.sequence += 1
    if (adapter === undefined) {
      const models = action === 'unload' ? previous.models.filter((loaded) => loaded.name !== model) : previous.models
      this.updateHoldings(record, runner, { ...previous, models, isBusy: true })
      return 'accepted'
    }
    if (action === 'unload') {
      // Requests still use the adapter: it keeps its slot until a report no longer names it.
      this.markStale(record)
      return 'accepted'
    }
    await this.options.clock.waitFor(ADAPTER_LOAD_MS)
    const models = previous.models.map((loaded) => loaded.name === model ? { ...loaded, adapters: [...loaded.adapters, adapter] } : loaded)
    this.updateHoldings(record, runner, { ...previous, models })
    return 'done'
  }

  /**
   * Waits until a runner has executed an order on a model, or is gone, leaves or has restarted.
   *
   * @param expectedMs Expected duration of the order.
   * @param timeoutMs Time after which the wait ends regardless.
   * @example
   * await dispatcher.waitForOrder('runner-1', 1_500)
   */
  async waitForOrder (runnerId: string, expectedMs: number, timeoutMs = expectedMs * MAX_DURATION_FACTOR + REPORT_LAG_MS * MAX_DURATION_FACTOR): Promise<void> {
    const deadlineMs = this.options.clock.readMonotonicMs() + timeoutMs
    const bornMs = this.options.table.findRunner(runnerId)?.bornMs
    const isPresent = (): boolean => {
      const runner = this.options.table.findRunner(runnerId)
      return runner !== undefined && !runner.isLeaving && runner.bornMs === bornMs
    }
    await this.options.clock.waitFor(expectedMs + REPORT_LAG_MS)
    while (this.options.clock.readMonotonicMs() < deadlineMs && this.options.leadership.fencingToken !== undefined && isPresent()) {
      const holdings = await this.readRunner(runnerId)
      if (holdings?.isBusy === false) return
      await this.options.clock.waitFor(RETRY_PAUSE_MS)
    }
  }
}

/** Holdings without an adapter. */
function removeAdapter (previous: Holdings, model: string, adapter: string): Holdings {
  const models = previous.models.map((loaded) => loaded.name === model ? { ...loaded, adapters: loaded.adapters.filter((name) => name !== adapter) } : loaded)
  return { ...previous, models }
}
