/** Tracks which VMs exist and which are leaving: the roster, plus what VMs and peers report before the roster does. */
import type { Clock, Logger, TaskGroup } from 'figquay'
import type { Roster, Vm, VmKind } from './FigquayRoster.js'

/** Dependencies of the membership view. */
export interface MembershipOptions {
  readonly roster: Roster
  readonly clock: Clock
  readonly logger: Logger
}

/** Who reported that a VM is leaving: the VM itself or a peer. */
export type LeavingSource = 'vm' | 'peer'

interface LeavingMark {
  readonly markedAtMs: number
  readonly source: LeavingSource
}

const REFRESH_INTERVAL_MS = 700
/** A mark that a VM is leaving expires after this time, even if the roster still lists the VM as live. */
const LEAVING_MARK_TTL_MS = 10_000

/** View of the VMs. Each refresh replaces the list of VMs as a whole. */
export class Membership {
  private version = -1
  private vms: ReadonlyMap<string, Vm> = new Map()
  private readonly leavingMarks = new Map<string, LeavingMark>()
  private readonly absentSinceMs = new Map<string, number>()
  private readonly leavingSinceMs = new Map<string, number>()
  private readonly listeners = new Set<() => void>()

  private constructor (private readonly options: MembershipOptions) {}

  /**
   * @example
   * const membership = Membership.create({ roster, clock, logger })
   */
  static create (options: MembershipOptions): Membership {
    return new Membership(options)
  }

  /**
   * Starts the task that refreshes the view from the roster.
   *
   * @example
   * membership.start(tasks)
   */
  start (tasks: TaskGroup): void {
    tasks.startLoop('roster', REFRESH_INTERVAL_MS, () => this.refresh())
  }

  /**
   * Registers a listener that is called after each change; returns a function that removes it.
   *
   * @example
   * const unregister = membership.registerListener(() => reconnect())
   */
  registerListener (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => {
      this.listeners.delete(listener)
    }
  }

  /** Lists the VMs of a kind, including those that are leaving. */
  listVms (kind: VmKind, group?: string): Vm[] {
    return [...this.vms.values()].filter((vm) => vm.kind === kind && (group === undefined || vm.group === group))
  }

  /** Finds a VM of the roster. */
  findVm (id: string): Vm | undefined {
    return this.vms.get(id)
  }

  /** Whether a VM must get no new work: it is leaving or not on the roster. */
  isLeaving (id: string): boolean {
    const vm = this.vms.get(id)
    return vm === undefined || vm.state === 'leaving' || this.leavingMarks.has(id)
  }

  /** Milliseconds since a VM was first seen as leaving; 0 if it is not leaving. */
  readLeavingMs (id: string): number {
    if (!this.isLeaving(id)) {
      this.leavingSinceMs.delete(id)
      return 0
    }
    const nowMs = this.options.clock.readMonotonicMs()
    const sinceMs = this.leavingSinceMs.get(id) ?? nowMs
    this.leavingSinceMs.set(id, sinceMs)
    return Math.max(1, nowMs - sinceMs)
  }

  /** Milliseconds since a VM disappeared from the roster; 0 if it is listed or was never seen. */
  readAbsenceMs (id: string): number {
    const sinceMs = this.absentSinceMs.get(id)
    return sinceMs === undefined ? 0 : this.options.clock.readMonotonicMs() - sinceMs
  }

  /** Whether the roster has been read at least once. */
  get hasReadRoster (): boolean {
    return this.version >= 0
  }

  /**
   * Marks a VM as leaving, as reported by the VM itself or by a peer.
   *
   * @example
   * membership.markLeaving('engine-3', 'vm')
   */
  markLeaving (id: string, source: LeavingSource): void {
    const existing = this.leavingMarks.get(id)
    if (existing?.source === 'vm' && source === 'peer') return
    this.leavingMarks.set(id, { markedAtMs: this.options.clock.readMonotonicMs(), source })
    if (existing !== undefined) return
    this.readLeavingMs(id)
    this.options.logger.info('vm is leaving', { vm: id, source })
    this.notifyListeners()
  }

  /**
   * Lists the VMs that the roster or the VM itself reports as leaving. Marks from peers are not gossiped on: daemons
   * would keep renewing each other's marks, and they would never expire.
   */
  listLeaving (): string[] {
    const listedIds = [...this.vms.values()].filter((vm) => vm.state === 'leaving').map((vm) => vm.id)
    const markedIds = [...this.leavingMarks].filter(([, mark]) => mark.source === 'vm').map(([id]) => id)
    return [...new Set([...listedIds, ...markedIds])]
  }

  /** Reads the roster once. On failure the view stays unchanged. */
  async refresh (): Promise<void> {
    this.expireLeavingMarks()
    const snapshot = await this.options.roster.readSnapshot()
    if (!snapshot.ok) {
      this.options.logger.debug('could not read the roster', { reason: snapshot.error.reason })
      return
    }
    if (snapshot.value.version <= this.version) return
    this.version = snapshot.value.version
    this.replaceVms(new Map(snapshot.value.vms.map((vm) => [vm.id, vm])))
  }

  private replaceVms (nextVms: ReadonlyMap<string, Vm>): void {
    const nowMs = this.options.clock.readMonotonicMs()
    for (const id of this.vms.keys()) {
      if (!nextVms.has(id)) this.absentSinceMs.set(id, nowMs)
    }
    for (const id of nextVms.keys()) this.absentSinceMs.delete(id)
    this.vms = nextVms
    // Records the start time of VMs that the roster now lists as leaving.
    for (const id of nextVms.keys()) this.readLeavingMs(id)
    this.notifyListeners()
  }

  private expireLeavingMarks (): void {
    const oldestMs = this.options.clock.readMonotonicMs() - LEAVING_MARK_TTL_MS
    for (const [id, mark] of this.leavingMarks) {
      if (mark.markedAtMs < oldestMs) this.leavingMarks.delete(id)
    }
  }

  private notifyListeners (): void {
    for (const listener of [...this.listeners]) listener()
  }
}
