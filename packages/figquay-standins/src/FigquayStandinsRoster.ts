/** Stand-in of the platform's list of VMs: shows changes late, and may be down. */
import type { IncomingMessage, Server } from 'node:http'
import type { Clock } from 'figquay'
import { readJson, startServer, type JsonAnswer } from './FigquayStandinsHttp.js'

/** One VM of the list. */
export interface RosterVm {
  readonly id: string
  readonly kind: 'daemon' | 'engine' | 'service'
  readonly group: string
  readonly zone: string
  readonly url: string
  readonly peer: string
  readonly state: 'live' | 'leaving'
}

/** A change of the list, over `POST /standin/control`. */
export interface RosterControl {
  readonly put?: readonly RosterVm[]
  readonly remove?: readonly string[]
  /** How late the list shows a change, in milliseconds. */
  readonly lagMs?: number
  readonly mode?: 'up' | 'down'
}

interface Page {
  readonly version: number
  readonly vms: readonly RosterVm[]
  readonly visibleAtMs: number
}

/** The list of VMs. */
export class StandinRoster {
  private pages: Page[] = [{ version: 0, vms: [], visibleAtMs: 0 }]
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

  /** Listens on loopback. */
  start (port: number): Promise<Server> {
    return startServer(port, (request, _response, url) => this.serve(request, url))
  }

  private async serve (request: IncomingMessage, url: URL): Promise<JsonAnswer> {
    if (url.pathname === '/standin/control') {
      const control = await readJson<RosterControl>(request)
      if (control !== undefined) this.applyControl(control)
      return { status: 200, body: this.pages.at(-1) }
    }
    if (url.pathname !== '/vms') return { status: 404, body: { error: 'not found' } }
    if (this.mode === 'down') return { status: 503, body: { error: 'unavailable' } }
    const page = this.findVisible()
    return { status: 200, body: { version: page.version, vms: page.vms } }
  }

  private applyControl (control: RosterControl): void {
    this.lagMs = control.lagMs ?? this.lagMs
    this.mode = control.mode ?? this.mode
    if (control.put === undefined && control.remove === undefined) return
    const last = this.pages.at(-1)!
    const removed = new Set([...control.remove ?? [], ...(control.put ?? []).map((vm) => vm.id)])
    const vms = [...last.vms.filter((vm) => !removed.has(vm.id)), ...control.put ?? []]
    this.pages.push({ version: last.version + 1, vms, visibleAtMs: this.clock.readMonotonicMs() + this.lagMs })
  }

  private findVisible (): Page {
    const now = this.clock.readMonotonicMs()
    const visible = this.pages.filter((page) => page.visibleAtMs <= now).at(-1)!
    this.pages = this.pages.filter((page) => page.version >= visible.version)
    return visible
  }
}
