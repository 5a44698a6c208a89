/** Permits for crash suspects, the requests that were in flight at a crash: one at a time per runner across all daemons. */

/** A permit that is not released expires after this time. */
const PERMIT_TTL_MS = 15_000

/** Permits granted by one daemon; the holder of the lease on a runner grants those of the runner. */
export class SuspectPermits {
  /** Expiry time of each permit, by runner and request id. */
  private readonly expiresAtMsByRunner = new Map<string, Map<string, number>>()

  /**
   * @example
   * const permits = SuspectPermits.create()
   */
  static create (): SuspectPermits {
    return new SuspectPermits()
  }

  /**
   * Acquires the permit of a runner; false while another request holds it.
   *
   * @example
   * if (!permits.acquirePermit('engine-2', requestId, nowMs)) return
   */
  acquirePermit (runner: string, requestId: string, nowMs: number): boolean {
    const held = this.listUnexpired(runner, nowMs)
    const isTaken = [...held.keys()].some((other) => other !== requestId)
    if (!isTaken) held.set(requestId, nowMs + PERMIT_TTL_MS)
    return !isTaken
  }

  /**
   * Grants a permit to a request that was already running when it became a suspect, even if another holds one.
   *
   * @example
   * permits.recordRunning('engine-2', requestId, nowMs)
   */
  recordRunning (runner: string, requestId: string, nowMs: number): void {
    this.listUnexpired(runner, nowMs).set(requestId, nowMs + PERMIT_TTL_MS)
  }

  /** Releases a permit. */
  releasePermit (runner: string, requestId: string): void {
    this.expiresAtMsByRunner.get(runner)?.delete(requestId)
  }

  private listUnexpired (runner: string, nowMs: number): Map<string, number> {
    const held = new Map([...this.expiresAtMsByRunner.get(runner) ?? []].filter(([, expiresAtMs]) => expiresAtMs > nowMs))
    this.expiresAtMsByRunner.set(runner, held)
    return held
  }
}
