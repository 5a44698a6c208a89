/** Keeps suspects apart: one at a time on each runner, over all daemons. The holder of the runners gives the permits. */
import type { Clock, Outcome } from 'figquay'
import { SuspectPermits } from 'figquay-routing'

/** What suspects need. */
export interface ServingSuspectsOptions {
  readonly self: string
  readonly clock: Clock
  /** Daemon that gives permits; undefined while nobody is known to. */
  readonly findHolder: () => string | undefined
  readonly callPeer: <T>(daemon: string, method: string, params: unknown, timeoutMs: number) => Promise<Outcome<T, string>>
}

/** A suspect and the runner that it wants or has. */
export interface SuspectRequest {
  readonly runner: string
  readonly requestId: string
}

/** A holder that doesn't answer within this time can't keep suspects apart, in milliseconds: the callers wait. */
const PERMIT_TIMEOUT_MS = 300

/** Permits for suspects. */
export class ServingSuspects {
  private readonly permits = SuspectPermits.create()

  private constructor (private readonly options: ServingSuspectsOptions) {}

  /**
   * @example
   * const suspects = ServingSuspects.create(options)
   */
  static create (options: ServingSuspectsOptions): ServingSuspects {
    return new ServingSuspects(options)
  }

  /**
   * Takes the permit for a runner; without a holder that answers, only this daemon's own suspects are kept apart.
   *
   * @example
   * if (!await suspects.takePermit({ runner: 'runner-1', requestId })) return
   */
  async takePermit (request: SuspectRequest): Promise<boolean> {
    const { callPeer } = this.options
    const holder = this.findOtherHolder()
    const reply = holder === undefined ? undefined : await callPeer<boolean>(holder, 'suspect.take', request, PERMIT_TIMEOUT_MS)
    return reply?.ok === true ? reply.value : this.answerTake(request)
  }

  /** Gives a permit back. A word that is lost costs the permit's life only. */
  returnPermit (request: SuspectRequest): void {
    this.answerReturn(request)
    const holder = this.findOtherHolder()
    if (holder !== undefined) this.options.callPeer(holder, 'suspect.return', request, PERMIT_TIMEOUT_MS)
  }

  /** Answers a daemon that wants a permit. */
  answerTake ({ runner, requestId }: SuspectRequest): boolean {
    return this.permits.takePermit(runner, requestId, this.options.clock.readMonotonicMs())
  }

  /** Takes a permit back. */
  answerReturn ({ runner, requestId }: SuspectRequest): void {
    this.permits.returnPermit(runner, requestId)
  }

  private findOtherHolder (): string | undefined {
    const holder = this.options.findHolder()
    return holder === this.options.self || holder === '' ? undefined : holder
  }
}
