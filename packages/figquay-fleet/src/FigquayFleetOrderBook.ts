/**
 * Gives orders to runners, one at a time to each, and finds out what came of them.
 *
 * An order names the count of accepted orders on which its sender's picture of the runner rests. The runner carries it
 * out only while that count holds, so an order that arrives late, or was planned on an outdated picture, changes nothing,
 * and orders that are each within the runner's memory can't exceed it together.
 */
import { describeError, type Clock, type Logger } from 'figquay'
import type { FleetLeadership } from './FigquayFleetLeadership.js'
import type { FleetOrderReply, RunnerOrderClient } from './FigquayFleetPlatform.js'
import type { FleetRunnerTable } from './FigquayFleetRunnerTable.js'
import { checkOrder } from './FigquayFleetOrderCheck.js'
import type { EnginePool, Holdings } from './FigquayFleetTypes.js'

/** What the book needs. */
export interface OrderBookOptions {
  readonly self: string
  readonly client: RunnerOrderClient
  readonly table: FleetRunnerTable
  readonly leadership: FleetLeadership
  readonly clock: Clock
  readonly logger: Logger
  /** Tells the peers what a runner holds now. */
  readonly announceHoldings: (runnerId: string, bornMs: number, holdings: Holdings) => void
  /** Tells the peers that a runner leaves. */
  readonly announceLeaving: (runnerId: string, bornMs: number) => void
}

/** What an order is about. */
export interface OrderRequest {
  readonly runner: string
  readonly action: 'load' | 'unload'
  readonly model: string
  readonly adapter: string | undefined
  readonly pool: EnginePool
  readonly reason: string
}

/** How an order went: carried out, accepted and under way, or of no or unknown effect. */
export type OrderResult = 'done' | 'accepted' | 'failed'

/** A runner's report of itself lags by some hundred milliseconds. */
const REPORT_LAG_MS = 150
/** Orders to one runner that have an unknown or unexpected outcome are this far apart, in milliseconds. */
const RETRY_PAUSE_MS = 300
/** A runner that stays silent is asked again after this time at the latest, in milliseconds. */
const LONGEST_PAUSE_MS = 5_000
/** An order may take this many times as long as expected while many are carried out. */
const SLOWEST_ORDER_FACTOR = 4
/** An adapter arrives within this time, in milliseconds, unless many are on their way at once. */
const ADAPTER_ARRIVAL_MS = 20

interface RunnerAccount {
  isOpen: boolean
  /** Orders that the runner has accepted, as of its last report and what it has accepted since. */
  sequence: number
  /** What the runner holds after so many orders. Announcements, which lag, don't come in here. */
  holdings: Holdings | undefined
  /** Start of the runner that this is about. */
  bornMs: number
  /** Until then the runner's state is read anew before the next order. */
  notBeforeMs: number
  needsReading: boolean
  /** Readings in a row that the runner didn't answer. */
  silences: number
}

/** Orders of the holder. */
export class OrderBook {
  private readonly accounts = new Map<string, RunnerAccount>()

  private constructor (private readonly options: OrderBookOptions) {}

  /**
   * @example
   * const book = OrderBook.create(options)
   */
  static create (options: OrderBookOptions): OrderBook {
    return new OrderBook(options)
  }

  /** Whether a runner may be given an order now. */
  isReady (runnerId: string): boolean {
    const account = this.accounts.get(runnerId)
    return account === undefined || (!account.isOpen && this.options.clock.readMonotonicMs() >= account.notBeforeMs)
  }

  /** Whether a runner has not answered the last questions: nothing should wait for it. */
  isSilent (runnerId: string): boolean {
    return (this.accounts.get(runnerId)?.silences ?? 0) > 0
  }

  /** Forgets what is known of the runners' readiness: another holder has given orders meanwhile. */
  clear (): void {
    for (const account of this.accounts.values()) account.needsReading = true
  }

  /**
   * Gives an order if the runner has room for it.
   *
   * @example
   * await book.sendOrder({ runner, action: 'load', model: 'manual', adapter: undefined, reason })
   */
  async sendOrder (request: OrderRequest): Promise<OrderResult> {
    const account = this.findAccount(request.runner)
    if (!this.isReady(request.runner)) return 'failed'
    account.isOpen = true
    try {
      return await this.deliverOrder(account, request)
    } catch (error) {
      this.options.logger.error('order failed', { runner: request.runner, error: describeError(error) })
      return 'failed'
    } finally {
      account.isOpen = false
    }
  }

  /**
   * Reads what a runner holds and tells everyone.
   *
   * @example
   * await book.readRunner('runner-1')
   */
  async readRunner (runnerId: string): Promise<Holdings | undefined> {
    const runner = this.options.table.findRunner(runnerId)
    if (runner === undefined) return undefined
    const state = await this.options.client.readState(runner)
    const account = this.findAccount(runnerId)
    account.silences = state.ok ? 0 : account.silences + 1
    if (!state.ok) {
      this.options.logger.debug('runner did not tell its state', { runner: runnerId, error: state.error.message })
      return undefined
    }
    if (state.value.isLeaving && this.options.table.markLeaving(runnerId, state.value.bornMs)) this.options.announceLeaving(runnerId, state.value.bornMs)
    // A report lags: one from before the last accepted order says nothing new.
    if (account.bornMs === state.value.bornMs && state.value.sequence < account.sequence) return undefined
    Object.assign(account, { sequence: state.value.sequence, holdings: state.value.holdings, bornMs: state.value.bornMs })
    this.publishHoldings(runnerId, state.value.bornMs, state.value.holdings)
    return state.value.holdings
  }

  private findAccount (runnerId: string): RunnerAccount {
    const account = this.accounts.get(runnerId) ?? { isOpen: false, sequence: 0, holdings: undefined, bornMs: 0, notBeforeMs: 0, needsReading: true, silences: 0 }
    this.accounts.set(runnerId, account)
    return account
  }

  private publishHoldings (runnerId: string, bornMs: number, holdings: Holdings): void {
    this.options.table.putHoldings(runnerId, bornMs, holdings)
    this.options.announceHoldings(runnerId, bornMs, holdings)
  }

  private async deliverOrder (account: RunnerAccount, request: OrderRequest): Promise<OrderResult> {
    const { client, table, leadership, logger, self, clock } = this.options
    const isOutdated = account.needsReading || account.bornMs !== table.findRunner(request.runner)?.bornMs
    if (isOutdated && await this.readRunner(request.runner) === undefined) {
      account.notBeforeMs = clock.readMonotonicMs() + Math.min(LONGEST_PAUSE_MS, RETRY_PAUSE_MS * 2 ** account.silences)
      return 'failed'
    }
    account.needsReading = false
    const runner = table.findRunner(request.runner)
    const fence = leadership.ownFence
    if (runner === undefined || account.holdings === undefined || fence === undefined || runner.isLeaving) return 'failed'
    const objection = checkOrder(account.holdings, request, request.pool)
    if (objection !== undefined) {
      // The plan rests on another picture of the runner than its own: the next one shall not.
      logger.debug('order not sent', { runner: runner.id, model: request.model, adapter: request.adapter, objection })
      this.markOutdated(account)
      return 'failed'
    }
    const expectedSequence = account.sequence
    const { action, model, adapter, reason } = request
    const reply = await client.sendOrder(runner, { action, model, adapter, expectedSequence, holder: self, fence })
    logger.info('order', { runner: runner.id, action, model, adapter, reason, sequence: expectedSequence, fence, outcome: reply.ok ? reply.value : `unknown: ${reply.error.message}` })
    if (!reply.ok) {
      this.markOutdated(account)
      return 'failed'
    }
    return await this.takeReply(account, request, reply.value, account.holdings)
  }

  private async takeReply (account: RunnerAccount, request: OrderRequest, reply: FleetOrderReply, before: Holdings): Promise<OrderResult> {
    if (reply === 'accepted') return await this.noteAccepted(account, request, before)
    // An adapter that nobody uses is unloaded before the answer; else the picture was outdated and nothing changes.
    if (reply === 'already-holds' && request.adapter !== undefined && request.action === 'unload') {
      account.sequence += 1
      this.noteHoldings(account, request.runner, withoutAdapter(before, request.model, request.adapter))
      return 'done'
    }
    if (reply === 'already-holds') await this.readRunner(request.runner)
    if (reply === 'stale-fence') this.options.leadership.releaseOffice(`runner ${request.runner} has seen a higher fencing number`)
    if (reply === 'other-runner') this.options.table.restRunner(request.runner)
    this.markOutdated(account)
    return 'failed'
  }

  private noteHoldings (account: RunnerAccount, runnerId: string, holdings: Holdings): void {
    account.holdings = holdings
    this.publishHoldings(runnerId, account.bornMs, holdings)
  }

  private markOutdated (account: RunnerAccount): void {
    account.needsReading = true
    account.notBeforeMs = this.options.clock.readMonotonicMs() + RETRY_PAUSE_MS
  }

  /** Puts down at once what follows from an accepted order; the runner's own reports come later. */
  private async noteAccepted (account: RunnerAccount, request: OrderRequest, before: Holdings): Promise<OrderResult> {
    const { runner, action, model, adapter } = request
    account.sequence += 1
    if (adapter === undefined) {
      const models = action === 'unload' ? before.models.filter((held) => held.name !== model) : before.models
      this.noteHoldings(account, runner, { ...before, models, isBusy: true })
      return 'accepted'
    }
    if (action === 'unload') {
      // Requests still use it: it keeps its place until a report no longer names it.
      this.markOutdated(account)
      return 'accepted'
    }
    await this.options.clock.waitFor(ADAPTER_ARRIVAL_MS)
    const models = before.models.map((held) => held.name === model ? { ...held, adapters: [...held.adapters, adapter] } : held)
    this.noteHoldings(account, runner, { ...before, models })
    return 'done'
  }

  /**
   * Waits until a runner has carried out an order on a model.
   *
   * @param expectedMs Time that the order takes.
   * @param longestMs Time after which it is no longer waited for.
   * @example
   * await book.waitForOrder('runner-1', 1_500)
   */
  async waitForOrder (runnerId: string, expectedMs: number, longestMs = expectedMs * SLOWEST_ORDER_FACTOR + REPORT_LAG_MS * SLOWEST_ORDER_FACTOR): Promise<void> {
    const deadlineMs = this.options.clock.readMonotonicMs() + longestMs
    await this.options.clock.waitFor(expectedMs + REPORT_LAG_MS)
    while (this.options.clock.readMonotonicMs() < deadlineMs && this.options.leadership.ownFence !== undefined) {
      const holdings = await this.readRunner(runnerId)
      if (holdings?.isBusy === false) return
      await this.options.clock.waitFor(RETRY_PAUSE_MS)
    }
  }
}

/** Holdings after an adapter was unloaded. */
function withoutAdapter (before: Holdings, model: string, adapter: string): Holdings {
  const models = before.models.map((held) => held.name === model ? { ...held, adapters: held.adapters.filter((name) => name !== adapter) } : held)
  return { ...before, models }
}
