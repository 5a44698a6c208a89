/** Memory accounting for one runner: the state reported by its engine, plus every order that may still take effect. */
import type { EngineState, OrderAction } from 'figquay-upstreams'

/** An order that may still take effect, or whose effect no report has shown yet. */
export interface OpenOrder {
  readonly orderId: string
  readonly action: OrderAction
  readonly subject: string
  readonly bytes: number
  /** Monotonic time: a report requested later shows the whole effect of the order. Undefined while that time is unknown. */
  readonly finalAfterMs: number | undefined
}

/** Replica of a model or adapter that occupies memory on a runner, or may come to. */
export interface ReplicaState {
  readonly id: string
  readonly bytes: number
  /** A `leaving` replica is being unloaded: it still occupies memory but no longer counts as a replica. */
  readonly phase: 'ready' | 'loading' | 'leaving'
}

/** Part of a runner's memory that is accounted separately. */
export type MemoryArea = 'models' | 'adapters'

const MEMORY_AREA_BY_ACTION: Readonly<Record<OrderAction, MemoryArea | undefined>> = {
  'install-fence': undefined,
  'load-model': 'models',
  'unload-model': 'models',
  'load-adapter': 'adapters',
  'unload-adapter': 'adapters'
}

/** Replicas on a runner, including those that open orders may add or remove. Immutable. */
export class RunnerLedger {
  private constructor (private readonly state: EngineState, private readonly orders: readonly OpenOrder[]) {}

  /**
   * @example
   * const ledger = RunnerLedger.create(state, openOrders)
   */
  static create (state: EngineState, orders: readonly OpenOrder[]): RunnerLedger {
    return new RunnerLedger(state, orders)
  }

  /** Lists the replicas that occupy memory or may come to. */
  listReplicas (area: MemoryArea): ReplicaState[] {
    const confirmed = area === 'models' ? this.state.models : this.state.adapters
    const replicas = new Map<string, ReplicaState>()
    for (const entry of confirmed) {
      replicas.set(entry.id, { id: entry.id, bytes: entry.bytes, phase: entry.phase === 'unloading' ? 'leaving' : entry.phase })
    }
    for (const order of this.orders) {
      if (MEMORY_AREA_BY_ACTION[order.action] === area) this.applyOpenOrder(replicas, order)
    }
    return [...replicas.values()]
  }

  /** Sums the bytes in use, counting every open load as done and every open unload as not done. */
  sumReservedBytes (area: MemoryArea): number {
    return this.listReplicas(area).reduce((sum, replica) => sum + replica.bytes, 0)
  }

  /** Whether a model or adapter has an open order. */
  hasOpenOrder (subject: string): boolean {
    return this.orders.some((order) => order.subject === subject)
  }

  /** Counts the loads that are ordered or in progress. */
  countPendingLoads (area: MemoryArea): number {
    return this.listReplicas(area).filter((replica) => replica.phase === 'loading').length
  }

  /** Applies the worst case: an open load already occupies memory; an open unload removes the replica but frees no memory yet. */
  private applyOpenOrder (replicas: Map<string, ReplicaState>, order: OpenOrder): void {
    const existing = replicas.get(order.subject)
    const isLoad = order.action === 'load-model' || order.action === 'load-adapter'
    if (isLoad && existing === undefined) replicas.set(order.subject, { id: order.subject, bytes: order.bytes, phase: 'loading' })
    if (!isLoad && existing !== undefined) replicas.set(order.subject, { ...existing, phase: 'leaving' })
    // A load and an unload of one subject may both be in transit and arrive in either order: keep the subject listed.
    if (!isLoad && existing === undefined) replicas.set(order.subject, { id: order.subject, bytes: 0, phase: 'leaving' })
  }
}
