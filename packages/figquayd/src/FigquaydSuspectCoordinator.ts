/** Coordinates suspects, the requests that were in flight at a crash, across daemons: propagates attributions, isolates by permits. */
import type { Clock } from 'figquay'
import type { PeerMesh } from 'figquay-peers'
import { SuspectPermits, type CrashAttribution, type CrashQuarantine, type RunnerTable } from 'figquay-routing'

/** Dependencies of the suspect coordinator. */
export interface SuspectCoordinatorOptions {
  readonly daemon: string
  readonly clock: Clock
  readonly mesh: PeerMesh
  readonly table: RunnerTable
  readonly quarantine: CrashQuarantine
  /** Returns the daemon that holds the lease on a runner's cell; undefined while none does. */
  readonly findHolder: (runner: string) => string | undefined
}

/** A suspect request and the runner for which it requests or holds a permit. */
export interface PermitRequest {
  readonly runner: string
  readonly requestId: string
}

/** Acquires permits from lease holders, and grants those for the cells that this daemon holds the lease on. */
export class SuspectCoordinator {
  private readonly permits = SuspectPermits.create()

  private constructor (private readonly options: SuspectCoordinatorOptions) {}

  /**
   * @example
   * const suspects = SuspectCoordinator.create(options)
   */
  static create (options: SuspectCoordinatorOptions): SuspectCoordinator {
    return new SuspectCoordinator(options)
  }

  /**
   * Records a crash attribution; a new one is forwarded to all peers, so that it reaches every daemon.
   *
   * @example
   * suspects.recordCrash({ fingerprint, upstream: 'engine-2/boot-7' })
   */
  recordCrash (attribution: CrashAttribution): void {
    const isNew = this.options.quarantine.recordCrash(attribution, this.readNowMs())
    if (!isNew) return
    this.options.mesh.notifyNeighbours('crash.charge', attribution)
    this.reportRunningCopies(attribution)
  }

  /**
   * Removes the attributions for a process that has responded after all, here and at all peers.
   *
   * @param requestedAtMs When the process was polled; attributions recorded later are kept.
   * @example
   * suspects.clearUpstream('engine-2/boot-7', report.requestedAtMs)
   */
  clearUpstream (upstream: string, requestedAtMs: number): void {
    const hasCleared = this.options.quarantine.clearUpstream(upstream, requestedAtMs)
    if (hasCleared) this.options.mesh.notifyNeighbours('crash.clear', { upstream })
  }

  /** Handles the notice of a peer that the process has responded. */
  handleClear (upstream: string): void {
    this.clearUpstream(upstream, this.readNowMs())
  }

  /**
   * Acquires the permit that a suspect needs, from the holder of the lease on the runner's cell. If there is none
   * or it does not reply, the permit is granted locally and isolates only this daemon's own suspects. False while another
   * request holds it.
   *
   * @example
   * if (!await suspects.acquirePermit('engine-2', requestId)) return
   */
  async acquirePermit (runner: string, requestId: string): Promise<boolean> {
    const holder = this.findRemoteHolder(runner)
    if (holder === undefined) return this.handleAcquire({ runner, requestId })
    const reply = await this.options.mesh.callPeer<boolean>(holder, 'suspect.take', { runner, requestId })
    return reply.ok ? reply.value : this.handleAcquire({ runner, requestId })
  }

  /** Releases a permit. */
  releasePermit (runner: string, requestId: string): void {
    this.handleRelease({ runner, requestId })
    const holder = this.findRemoteHolder(runner)
    if (holder !== undefined) this.options.mesh.notifyPeer(holder, 'suspect.return', { runner, requestId })
  }

  /** Handles a request for a permit; false while another request holds it. */
  handleAcquire ({ runner, requestId }: PermitRequest): boolean {
    return this.permits.acquirePermit(runner, requestId, this.readNowMs())
  }

  /** Records a request that was already running when it became a suspect. */
  recordRunning ({ runner, requestId }: PermitRequest): void {
    this.permits.recordRunning(runner, requestId, this.readNowMs())
  }

  /** Handles the release of a permit. */
  handleRelease ({ runner, requestId }: PermitRequest): void {
    this.permits.releasePermit(runner, requestId)
  }

  /** Reports copies of a suspect that this daemon has in flight on other runners to their lease holders: they are suspects now too. */
  private reportRunningCopies (attribution: CrashAttribution): void {
    for (const running of this.options.table.listInFlightByFingerprint(attribution.fingerprint)) {
      if (attribution.upstream.startsWith(`${running.runner}/`)) continue
      this.recordRunning(running)
      const holder = this.findRemoteHolder(running.runner)
      if (holder !== undefined) this.options.mesh.notifyPeer(holder, 'suspect.running', running)
    }
  }

  /** Returns the holder of the lease on a runner's cell, if it is another daemon. */
  private findRemoteHolder (runner: string): string | undefined {
    const holder = this.options.findHolder(runner)
    return holder === this.options.daemon ? undefined : holder
  }

  private readNowMs (): number {
    return this.options.clock.readMonotonicMs()
  }
}
