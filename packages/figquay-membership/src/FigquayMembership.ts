/** Who is live, who is leaving: the roster, corrected by what VMs and peers say themselves. */
import type { Clock, Logger, TaskGroup } from 'figquay'
import type { Roster, Vm, VmKind } from './FigquayRoster.js'

/** What the membership view needs. */
export interface MembershipOptions {
  readonly roster: Roster
  readonly clock: Clock
  readonly logger: Logger
}

/** Who said that a VM is leaving: the VM itself, or a peer. */
export type LeavingSource = 'vm' | 'peer'

interface LeavingMark {
  readonly atMs: number
  readonly source: LeavingSource
}

const REFRESH_MS = 700
/** How long a mark that a VM is leaving outlives the roster saying otherwise, in milliseconds. */
const LEAVING_MARK_MS = 10_000

/** The view of VMs; immutable between refreshes. */
export class Membership {
  private version = -1
  private vms: ReadonlyMap<string, Vm> = new Map()
  private readonly leavingMarks = new Map<string, LeavingMark>()
  private readonly absentSince = new Map<string, number>()
  private readonly leavingSince = new Map<string, number>()
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
   * Starts the task that refreshes the view.
   *
   * @example
   * membership.start(tasks)
   */
  start (tasks: TaskGroup): void {
    tasks.startLoop('roster', REFRESH_MS, () => this.refresh())
  }

  /**
   * Calls `listener` after each change; returns the function that ends it.
   *
   * @example
   * const undo = membership.registerListener(() => reconnect())
   */
  registerListener (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => {
      this.listeners.delete(listener)
    }
  }

  /** VMs of a kind, those leaving included. */
  listVms (kind: VmKind, group?: string): Vm[] {
    return [...this.vms.values()].filter((vm) => vm.kind === kind && (group === undefined || vm.group === group))
  }

  /** One VM of the list. */
  findVm (id: string): Vm | undefined {
    return this.vms.get(id)
  }

  /** Whether a VM must get no new work. */
  isLeaving (id: string): boolean {
    const vm = this.vms.get(id)
    return vm === undefined || vm.state === 'leaving' || this.leavingMarks.has(id)
  }

  /** Milliseconds since a VM was first seen to be leaving; 0 while it is not. */
  readLeavingMs (id: string): number {
    if (!this.isLeaving(id)) {
      this.leavingSince.delete(id)
      return 0
    }
    const now = this.options.clock.readMonotonicMs()
    const since = this.leavingSince.get(id) ?? now
    this.leavingSince.set(id, since)
    return Math.max(1, now - since)
  }

  /** Milliseconds that a VM has been off the list; 0 while it is on it. */
  readAbsenceMs (id: string): number {
    const since = this.absentSince.get(id)
    return since === undefined ? 0 : this.options.clock.readMonotonicMs() - since
  }

  /** Whether the list has been read at all. */
  get hasReadRoster (): boolean {
    return this.version >= 0
  }

  /**
   * Notes that a VM says itself, or a peer says, that it is leaving.
   *
   * @example
   * membership.markLeaving('engine-3', 'vm')
   */
  markLeaving (id: string, source: LeavingSource): void {
    const known = this.leavingMarks.get(id)
    if (known?.source === 'vm' && source === 'peer') return
    this.leavingMarks.set(id, { atMs: this.options.clock.readMonotonicMs(), source })
    if (known !== undefined) return
    this.readLeavingMs(id)
    this.options.logger.info('vm is leaving', { vm: id, source })
    this.notifyListeners()
  }

  /** VMs known at first hand to be leaving; what peers said is not passed on, or it would never be forgotten. */
  listLeaving (): string[] {
    const listed = [...this.vms.values()].filter((vm) => vm.state === 'leaving').map((vm) => vm.id)
    const marked = [...this.leavingMarks].filter(([, mark]) => mark.source === 'vm').map(([id]) => id)
    return [...new Set([...listed, ...marked])]
  }

  /** Reads the list once; a failure leaves the view as it is. */
  async refresh (): Promise<void> {
    this.dropOldMarks()
    const page = await this.options.roster.readPage()
    if (!page.ok) {
      this.options.logger.debug('roster not read', { reason: page.error.reason })
      return
    }
    if (page.value.version <= this.version) return
    this.version = page.value.version
    this.replaceVms(new Map(page.value.vms.map((vm) => [vm.id, vm])))
  }

  private replaceVms (next: ReadonlyMap<string, Vm>): void {
    const now = this.options.clock.readMonotonicMs()
    for (const id of this.vms.keys()) {
      if (!next.has(id)) this.absentSince.set(id, now)
    }
    for (const id of next.keys()) this.absentSince.delete(id)
    this.vms = next
    // Starts the time of those that are leaving from here on.
    for (const id of next.keys()) this.readLeavingMs(id)
    this.notifyListeners()
  }

  private dropOldMarks (): void {
    const oldest = this.options.clock.readMonotonicMs() - LEAVING_MARK_MS
    for (const [id, mark] of this.leavingMarks) {
      if (mark.atMs < oldest) this.leavingMarks.delete(id)
    }
  }

  private notifyListeners (): void {
    for (const listener of [...this.listeners]) listener()
  }
}
