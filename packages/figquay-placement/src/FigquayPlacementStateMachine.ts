/** State machine of leases and order intents: which daemon may send orders to which runners, and which orders may still take effect. */
import { StateMachine, type LogRecord } from 'figquay-log'
import type { OrderAction } from 'figquay-upstreams'

/** Acquires the lease on a cell. Takes effect only if no other lease or renewal of the cell came before it in the log. */
export interface LeaseData {
  readonly type: 'lease'
  readonly cell: string
  readonly holder: string
  /** Offset of the lease that this one replaces; -1 for the first lease. */
  readonly previous: number
  /** Offset of the latest renewal that the new holder has seen; -1 for none. */
  readonly seenRenewal: number
}

/** Renews leases of one holder. */
export interface RenewData {
  readonly type: 'renew'
  readonly holder: string
  /** Lease offsets by cell. */
  readonly leases: Readonly<Record<string, number>>
}

/** Releases leases of one holder. */
export interface ReleaseData {
  readonly type: 'release'
  readonly holder: string
  /** Lease offsets by cell. */
  readonly leases: Readonly<Record<string, number>>
}

/** Records an order before it is sent to an engine that does not check fencing tokens. */
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

/** Marks orders that can no longer take effect. */
export interface SettleData {
  readonly type: 'settle'
  readonly orderIds: readonly string[]
}

/** The current lease on a cell. Fencing tokens are derived from its offset. */
export interface Lease {
  readonly offset: number
  /** Empty when the lease was released. */
  readonly holder: string
  /** Offset of the latest record that acquired, renewed or released the lease. */
  readonly renewal: number
}

type PlacementRecordData = LeaseData | RenewData | ReleaseData | IntentData | SettleData

/** State of leases and intents, derived from the log. */
export class PlacementStateMachine extends StateMachine {
  private leases: ReadonlyMap<string, Lease> = new Map()
  private intents: ReadonlyMap<string, IntentData> = new Map()

  /**
   * @example
   * const stateMachine = PlacementStateMachine.create()
   */
  static create (): PlacementStateMachine {
    return new PlacementStateMachine()
  }

  /** Finds the current lease on a cell. */
  findLease (cell: string): Lease | undefined {
    return this.leases.get(cell)
  }

  /** Lists the unsettled intents for a runner. */
  listIntents (runner: string): IntentData[] {
    return [...this.intents.values()].filter((intent) => intent.runner === runner)
  }

  /** Counts the unsettled intents of one holder. */
  countIntentsByHolder (holder: string): number {
    return [...this.intents.values()].filter((intent) => intent.holder === holder).length
  }

  /** Finds an unsettled intent. */
  findIntent (orderId: string): IntentData | undefined {
    return this.intents.get(orderId)
  }

  override applyRecord (record: LogRecord): void {
    const data = record.data as PlacementRecordData
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

  /** Compare-and-set: a renewal that is earlier in the log than the takeover defeats it. */
  private applyLease (data: LeaseData, offset: number): void {
    const current = this.leases.get(data.cell)
    if ((current?.offset ?? -1) !== data.previous || (current?.renewal ?? -1) !== data.seenRenewal) return
    this.setLease(data.cell, { offset, holder: data.holder, renewal: offset })
  }

  private applyRenew (data: RenewData, offset: number): void {
    for (const [cell, leaseOffset] of Object.entries(data.leases)) {
      const current = this.leases.get(cell)
      if (current?.offset === leaseOffset && current.holder === data.holder) this.setLease(cell, { ...current, renewal: offset })
    }
  }

  private applyRelease (data: ReleaseData, offset: number): void {
    for (const [cell, leaseOffset] of Object.entries(data.leases)) {
      const current = this.leases.get(cell)
      if (current?.offset === leaseOffset && current.holder === data.holder) this.setLease(cell, { ...current, holder: '', renewal: offset })
    }
  }

  /** An intent is accepted only if its lease is the current one at the intent's offset. */
  private applyIntent (data: IntentData): void {
    const current = this.leases.get(data.cell)
    if (current?.offset !== data.lease || current.holder !== data.holder) return
    this.intents = new Map(this.intents).set(data.orderId, data)
  }

  private applySettle (data: SettleData): void {
    const settledIds = new Set(data.orderIds)
    this.intents = new Map([...this.intents].filter(([orderId]) => !settledIds.has(orderId)))
  }

  private setLease (cell: string, lease: Lease): void {
    this.leases = new Map(this.leases).set(cell, lease)
  }
}
