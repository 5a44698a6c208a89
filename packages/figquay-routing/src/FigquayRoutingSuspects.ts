/** Permits for requests that were in flight at a crash: one at a time on each runner, over all daemons. */

interface Permit {
  readonly requestId: string
  readonly expiresAtMs: number
}

/** A permit that is not given back lapses after this time, in milliseconds. */
const PERMIT_LIFE_MS = 15_000

/** Permits that the daemon gives out which holds the lease on a runner. */
export class SuspectPermits {
  private readonly permits = new Map<string, Permit>()

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
  takePermit (runner: string, requestId: string, nowMs: number): boolean {
    const current = this.permits.get(runner)
    const isTaken = current !== undefined && current.expiresAtMs > nowMs && current.requestId !== requestId
    if (!isTaken) this.permits.set(runner, { requestId, expiresAtMs: nowMs + PERMIT_LIFE_MS })
    return !isTaken
  }

  /** Gives a permit back. */
  returnPermit (runner: string, requestId: string): void {
    if (this.permits.get(runner)?.requestId === requestId) this.permits.delete(runner)
  }
}
