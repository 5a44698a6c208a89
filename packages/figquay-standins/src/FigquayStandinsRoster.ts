/** Stand-in for the platform's VM roster: publishes changes after a delay, and can be down. */
import type { IncomingMessage, Server } from 'node:http'
import type { Clock } from 'figquay'
import { readJson, startServer, type JsonResponse } from './FigquayStandinsHttp.js'

/** One VM in the roster. */
export interface RosterVm {
  readonly id: string
  readonly kind: 'daemon' | 'engine' | 'service'
  /** Pool of an engine, name of a plain service, empty for a daemon. */
  readonly group: string
  /** Data centre. */
  readonly zone: string
  readonly url: string
  /** `ip:port` for other daemons; empty for engines and services. */
  readonly peer: string
  readonly state: 'live' | 'leaving'
}

/** Body of `POST /standin/control`; settings that it omits stay as they are. */
export interface RosterControl {
  /** VMs to add, or to replace by id. */
  readonly put?: readonly RosterVm[]
  /** Ids of VMs to remove. */
  readonly remove?: readonly string[]
  /** Delay before this change and later ones become visible, in milliseconds. */
  readonly lagMs?: number
  /** `down`: reads get status 503. */
  readonly mode?: 'up' | 'down'
}

/** One version of the roster. */
interface RosterSnapshot {
  readonly version: number
  readonly vms: readonly RosterVm[]
  /** Monotonic time from which readers get this version. */
  readonly visibleAtMs: number
}

/** Roster service that keeps its versions in memory. */
export class StandinRoster {
  private snapshots: RosterSnapshot[] = [{ version: 0, vms: [], visibleAtMs: 0 }]
  private lagMs = 0
  private mode: 'up' | 'down' = 'up'

  private constructor (private readonly clock: Clock) {}

  /**
   * @example
   * const roster = StandinRoster.create(clock)
   */
  static create (clock: Clock): StandinRoster {
    return new StandinRoster(clock)
  }

  /** Starts the HTTP server on the loopback interface. */
  start (port: number): Promise<Server> {
    return startServer(port, (request, _response, url) => this.handleRequest(request, url))
  }

  private async handleRequest (request: IncomingMessage, url: URL): Promise<JsonResponse> {
    if (url.pathname === '/standin/control') {
      const control = await readJson<RosterControl>(request)
      if (control !== undefined) this.applyControl(control)
      return { status: 200, body: this.snapshots.at(-1) }
    }
    if (url.pathname !== '/vms') return { status: 404, body: { error: 'not found' } }
    if (this.mode === 'down') return { status: 503, body: { error: 'unavailable' } }
    const snapshot = this.findVisibleSnapshot()
    return { status: 200, body: { version: snapshot.version, vms: snapshot.vms } }
  }

  private applyControl (control: RosterControl): void {
    this.lagMs = control.lagMs ?? this.lagMs
    this.mode = control.mode ?? this.mode
    if (control.put === undefined && control.remove === undefined) return
    const latest = this.snapshots.at(-1)!
    const replacedIds = new Set([...control.remove ?? [], ...(control.put ?? []).map((vm) => vm.id)])
    const vms = [...latest.vms.filter((vm) => !replacedIds.has(vm.id)), ...control.put ?? []]
    this.snapshots.push({ version: latest.version + 1, vms, visibleAtMs: this.clock.readMonotonicMs() + this.lagMs })
  }

  /** Finds the newest visible version, and drops those before it. */
  private findVisibleSnapshot (): RosterSnapshot {
    const nowMs = this.clock.readMonotonicMs()
    const visible = this.snapshots.filter((snapshot) => snapshot.visibleAtMs <= nowMs).at(-1)!
    this.snapshots = this.snapshots.filter((snapshot) => snapshot.version >= visible.version)
    return visible
  }
}
