/** The memory ledger of one runner: what the engine confirms, and every order that may still take effect. */
import type { EngineState, OrderAction } from 'figquay-upstreams'

/** An order that has not been settled. */
export interface OpenOrder {
  readonly orderId: string
  readonly action: OrderAction
  readonly subject: string
  readonly bytes: number
  /** Monotonic time after which a report shows all that the order did; undefined while that is open. */
  readonly answeredAtMs: number | undefined
}

/** Copy of a model on a runner, as planning may count it. */
export interface CountedCopy {
  readonly id: string
  readonly bytes: number
  /** `ready` and `loading` are copies; `leaving` takes memory and is none. */
  readonly phase: 'ready' | 'loading' | 'leaving'
}

/** Part of a runner's memory. */
export type MemoryArea = 'models' | 'adapters'

const AREA_OF_ACTION: Readonly<Record<OrderAction, MemoryArea | undefined>> = {
  'install-fence': undefined,
  'load-model': 'models',
  'unload-model': 'models',
  'load-adapter': 'adapters',
  'unload-adapter': 'adapters'
}

/** What a runner holds and may come to hold; immutable. */
export class RunnerLedger {
  private constructor (private readonly state: EngineState, private readonly orders: readonly OpenOrder[]) {}

  /**
   * @example
   * const ledger = RunnerLedger.create(state, openOrders)
   */
  static create (state: EngineState, orders: readonly OpenOrder[]): RunnerLedger {
    return new RunnerLedger(state, orders)
  }

  /** Subjects that take memory or may come to take it. */
  listCopies (area: MemoryArea): CountedCopy[] {
    const confirmed = area === 'models' ? this.state.models : this.state.adapters
    const copies = new Map<string, CountedCopy>()
    for (const entry of confirmed) {
      copies.set(entry.id, { id: entry.id, bytes: entry.bytes, phase: entry.phase === 'unloading' ? 'leaving' : entry.phase })
    }
    for (const order of this.orders) {
      if (AREA_OF_ACTION[order.action] === area) this.countOrder(copies, order)
    }
    return [...copies.values()]
  }

  /** Bytes that are taken, or would be if every open order took effect. */
  sumBytes (area: MemoryArea): number {
    return this.listCopies(area).reduce((sum, copy) => sum + copy.bytes, 0)
  }

  /** Whether an order on a subject is open. */
  hasOpenOrder (subject: string): boolean {
    return this.orders.some((order) => order.subject === subject)
  }

  /** Loads that have been ordered or are under way. */
  countLoading (area: MemoryArea): number {
    return this.listCopies(area).filter((copy) => copy.phase === 'loading').length
  }

  /** A load counts as memory taken from its intent on; an unload as a copy lost, with its memory still taken. */
  private countOrder (copies: Map<string, CountedCopy>, order: OpenOrder): void {
    const known = copies.get(order.subject)
    const isLoad = order.action === 'load-model' || order.action === 'load-adapter'
    if (isLoad && known === undefined) copies.set(order.subject, { id: order.subject, bytes: order.bytes, phase: 'loading' })
    if (!isLoad && known !== undefined) copies.set(order.subject, { ...known, phase: 'leaving' })
    // An unload may be followed by a load that is still on its way, and the other way round: count both as taken.
    if (!isLoad && known === undefined) copies.set(order.subject, { id: order.subject, bytes: 0, phase: 'leaving' })
  }
}
