/** The fold of leases and order intents: who may order which runners, and what may still take effect. */
import { Fold, type LogRecord } from 'figquay-log'
import type { OrderAction } from 'figquay-upstreams'

/** Takes a lease on a cell: counts if nobody was ahead of it. */
export interface LeaseData {
  readonly type: 'lease'
  readonly cell: string
  readonly holder: string
  /** Offset of the lease that it replaces; -1 when there was none. */
  readonly previous: number
  /** Offset of the latest renewal that the taker has seen. */
  readonly seenRenewal: number
}

/** Renews leases. */
export interface RenewData {
  readonly type: 'renew'
  readonly holder: string
  /** Lease offsets by cell. */
  readonly leases: Readonly<Record<string, number>>
}

/** Gives leases back. */
export interface ReleaseData {
  readonly type: 'release'
  readonly holder: string
  readonly leases: Readonly<Record<string, number>>
}

/** Announces orders to engines that do not check fencing numbers. */
export interface IntentData {
  readonly type: 'intent'
  readonly cell: string
  /** Offset of the lease under which the order is sent. */
  readonly lease: number
  readonly holder: string
  readonly orderId: string
  readonly runner: string
  readonly action: OrderAction
  readonly subject: string
  readonly bytes: number
}

/** States that orders can no longer take effect. */
export interface SettleData {
  readonly type: 'settle'
  readonly orderIds: readonly string[]
}

/** A lease in force; its offset is the fencing number. */
export interface Lease {
  readonly offset: number
  /** Empty when the lease was given back. */
  readonly holder: string
  readonly renewal: number
}

type PlacementData = LeaseData | RenewData | ReleaseData | IntentData | SettleData

/** Folds leases and intents. */
export class PlacementFold extends Fold {
  private leases: ReadonlyMap<string, Lease> = new Map()
  private intents: ReadonlyMap<string, IntentData> = new Map()

  /**
   * @example
   * const fold = PlacementFold.create()
   */
  static create (): PlacementFold {
    return new PlacementFold()
  }

  /** Lease on a cell. */
  findLease (cell: string): Lease | undefined {
    return this.leases.get(cell)
  }

  /** Orders that may still take effect on a runner. */
  listIntents (runner: string): IntentData[] {
    return [...this.intents.values()].filter((intent) => intent.runner === runner)
  }

  /** Orders of one holder that have not been settled. */
  countIntentsByHolder (holder: string): number {
    return [...this.intents.values()].filter((intent) => intent.holder === holder).length
  }

  /** An announced order that has not been settled. */
  findIntent (orderId: string): IntentData | undefined {
    return this.intents.get(orderId)
  }

  override applyRecord (record: LogRecord): void {
    const data = record.data as PlacementData
    switch (data?.type) {
      case 'lease': return this.applyLease(data, record.offset)
      case 'renew': return this.applyRenew(data, record.offset)
      case 'release': return this.applyRelease(data, record.offset)
      case 'intent': return this.applyIntent(data)
      case 'settle': return this.applySettle(data)
    }
  }

  override exportState (): unknown {
    return { leases: [...this.leases], intents: [...this.intents] }
  }

  override importState (state: unknown): void {
    const { leases, intents } = state as { leases: Array<[string, Lease]>, intents: Array<[string, IntentData]> }
    this.leases = new Map(leases)
    this.intents = new Map(intents)
  }

  /** A renewal that came first wins over the taker that had not seen it. */
  private applyLease (data: LeaseData, offset: number): void {
    const current = this.leases.get(data.cell)
    if ((current?.offset ?? -1) !== data.previous || (current?.renewal ?? -1) !== data.seenRenewal) return
    this.putLease(data.cell, { offset, holder: data.holder, renewal: offset })
  }

  private applyRenew (data: RenewData, offset: number): void {
    for (const [cell, lease] of Object.entries(data.leases)) {
      const current = this.leases.get(cell)
      if (current?.offset === lease && current.holder === data.holder) this.putLease(cell, { ...current, renewal: offset })
    }
  }

  private applyRelease (data: ReleaseData, offset: number): void {
    for (const [cell, lease] of Object.entries(data.leases)) {
      const current = this.leases.get(cell)
      if (current?.offset === lease && current.holder === data.holder) this.putLease(cell, { ...current, holder: '', renewal: offset })
    }
  }

  /** An intent counts only under the lease that is in force at its own offset. */
  private applyIntent (data: IntentData): void {
    const current = this.leases.get(data.cell)
    if (current?.offset !== data.lease || current.holder !== data.holder) return
    this.intents = new Map(this.intents).set(data.orderId, data)
  }

  private applySettle (data: SettleData): void {
    const settled = new Set(data.orderIds)
    this.intents = new Map([...this.intents].filter(([orderId]) => !settled.has(orderId)))
  }

  private putLease (cell: string, lease: Lease): void {
    this.leases = new Map(this.leases).set(cell, lease)
  }
}
