/** Permits for requests that were in flight at a crash: one at a time on each runner, over all daemons. */

/** A permit that is not given back lapses after this time, in milliseconds. */
const PERMIT_LIFE_MS = 15_000

/** Permits that the daemon gives out which holds the lease on a runner. */
export class SuspectPermits {
  /** Time at which a permit lapses, by runner and request. */
  private readonly permits = new Map<string, Map<string, number>>()

  /**
   * @example
   * const permits = SuspectPermits.create()
   */
  static create (): SuspectPermits {
    return new SuspectPermits()
  }

  /**
   * Takes the permit of a runner; false while another request has it.
   *
   * @example
   * if (!permits.takePermit('engine-2', requestId, nowMs)) return
   */
  acquirePermit (runner: string, requestId: string, nowMs: number): boolean {
    const held = this.listUnexpired(runner, nowMs)
    const isTaken = [...held.keys()].some((other) => other !== requestId)
    if (!isTaken) held.set(requestId, nowMs + PERMIT_LIFE_MS)
    return !isTaken
  }

  /**
   * Notes a request that runs already and has come under suspicion since.
   *
   * @example
   * permits.noteRunning('engine-2', requestId, nowMs)
   */
  recordRunning (runner: string, requestId: string, nowMs: number): void {
    this.listUnexpired(runner, nowMs).set(requestId, nowMs + PERMIT_LIFE_MS)
  }

  /** Gives a permit back. */
  releasePermit (runner: string, requestId: string): void {
    this.permits.get(runner)?.delete(requestId)
  }

  private listUnexpired (runner: string, nowMs: number): Map<string, number> {
    const held = new Map([...this.permits.get(runner) ?? []].filter(([, expiresAtMs]) => expiresAtMs > nowMs))
    this.permits.set(runner, held)
    return held
  }
}
