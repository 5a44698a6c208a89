/** Requests that were in flight at a crash, over all daemons: charges, and permits to run. */
import type { Clock } from 'figquay'
import type { PeerMesh } from 'figquay-peers'
import { SuspectPermits, type CrashAttribution, type CrashQuarantine, type RunnerTable } from 'figquay-routing'

/** What suspects need. */
export interface SuspectsOptions {
  readonly daemon: string
  readonly clock: Clock
  readonly mesh: PeerMesh
  readonly table: RunnerTable
  readonly crashes: CrashQuarantine
  /** Daemon that orders a runner; undefined while nobody does. */
  readonly findHolder: (runner: string) => string | undefined
}

/** A suspect and the runner that it wants or has. */
export interface SuspectRequest {
  readonly runner: string
  readonly requestId: string
}

/** Both sides of permits: those of the runners that this daemon orders, and requests to other daemons. */
export class Suspects {
  private readonly permits = SuspectPermits.create()

  private constructor (private readonly options: SuspectsOptions) {}

  /**
   * @example
   * const suspects = Suspects.create(options)
   */
  static create (options: SuspectsOptions): Suspects {
    return new Suspects(options)
  }

  /**
   * Charges a request and passes the charge on when it is new, so that it reaches every daemon.
   *
   * @example
   * suspects.takeCharge({ fingerprint, upstream: 'engine-2/boot-7' })
   */
  takeCharge (charge: CrashAttribution): void {
    const isNew = this.options.crashes.recordCrash(charge, this.readNowMs())
    if (!isNew) return
    this.options.mesh.sendToAll('crash.charge', charge)
    this.reportRunning(charge)
  }

  /**
   * Takes charges back, here and everywhere, when the process that was thought to have crashed has answered.
   *
   * @param requestedAtMs When it was asked; later charges stand.
   * @example
   * suspects.clearUpstream('engine-2/boot-7', report.requestedAtMs)
   */
  clearUpstream (upstream: string, requestedAtMs: number): void {
    const hasCleared = this.options.crashes.clearUpstream(upstream, requestedAtMs)
    if (hasCleared) this.options.mesh.sendToAll('crash.clear', { upstream })
  }

  /** Takes the word of a daemon that has heard from the process. */
  answerClear (upstream: string): void {
    this.clearUpstream(upstream, this.readNowMs())
  }

  /**
   * Takes the permit that a suspect needs. The holder of the runner keeps it; when that cannot be asked,
   * only this daemon's own requests are kept apart.
   *
   * @example
   * if (!await suspects.takePermit('engine-2', requestId)) return
   */
  async takePermit (runner: string, requestId: string): Promise<boolean> {
    const holder = this.findOther(runner)
    if (holder === undefined) return this.answerTake({ runner, requestId })
    const reply = await this.options.mesh.callPeer<boolean>(holder, 'suspect.take', { runner, requestId })
    return reply.ok ? reply.value : this.answerTake({ runner, requestId })
  }

  /** Gives a permit back. */
  returnPermit (runner: string, requestId: string): void {
    this.answerReturn({ runner, requestId })
    const holder = this.findOther(runner)
    if (holder !== undefined) this.options.mesh.sendTo(holder, 'suspect.return', { runner, requestId })
  }

  /** Answers a daemon that wants a permit. */
  answerTake ({ runner, requestId }: SuspectRequest): boolean {
    return this.permits.acquirePermit(runner, requestId, this.readNowMs())
  }

  /** Notes that a suspect runs already. */
  noteRunning ({ runner, requestId }: SuspectRequest): void {
    this.permits.recordRunning(runner, requestId, this.readNowMs())
  }

  /** Takes a permit back. */
  answerReturn ({ runner, requestId }: SuspectRequest): void {
    this.permits.releasePermit(runner, requestId)
  }

  /** Copies of a charged request that run elsewhere are suspects from now on: the holders of their runners must know. */
  private reportRunning (charge: CrashAttribution): void {
    for (const running of this.options.table.listInFlightByFingerprint(charge.fingerprint)) {
      if (charge.upstream.startsWith(`${running.runner}/`)) continue
      this.noteRunning(running)
      const holder = this.findOther(running.runner)
      if (holder !== undefined) this.options.mesh.sendTo(holder, 'suspect.running', running)
    }
  }

  /** Holder of a runner, if it is another daemon. */
  private findOther (runner: string): string | undefined {
    const holder = this.options.findHolder(runner)
    return holder === this.options.daemon ? undefined : holder
  }

  private readNowMs (): number {
    return this.options.clock.readMonotonicMs()
  }
}
