/** Keeps suspects apart: one at a time on each runner, over all daemons. The holder of the runners gives the permits. */
import type { Clock, Outcome } from 'figquay'
import { SuspectPermits } from 'figquay-routing'

/** What suspects need. */
export interface ServingSuspectsOptions {
  readonly self: string
  readonly clock: Clock
  /** Daemon that gives permits; undefined while nobody is known to. */
  readonly findHolder: () => string | undefined
  /** Daemons that can be reached now. */
  readonly listConnected: () => readonly string[]
  readonly callPeer: <T>(daemon: string, method: string, params: unknown, timeoutMs: number) => Promise<Outcome<T, string>>
}

/** Whether a suspect may run. */
export type PermitReply =
  /** By the holder: no other suspect runs there. */
  | 'granted'
  /** No other suspect of this daemon runs there, nor one that the same stand-in was asked for; the holder can't be asked. */
  | 'unconfirmed'
  | 'refused'

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
   * const isApart = await suspects.takePermit({ runner: 'runner-1', requestId }) === 'granted'
   */
  async takePermit (request: SuspectRequest): Promise<PermitReply> {
    const { callPeer, self } = this.options
    const { daemon, isHolder } = this.chooseGiver()
    const granted: PermitReply = isHolder ? 'granted' : 'unconfirmed'
    if (daemon === self) return this.answerTake(request) ? granted : 'refused'
    const reply = await callPeer<boolean>(daemon, 'suspect.take', request, PERMIT_TIMEOUT_MS)
    if (reply.ok) return reply.value ? granted : 'refused'
    return this.answerTake(request) ? 'unconfirmed' : 'refused'
  }

  /** Gives a permit back. A word that is lost costs the permit's life only. */
  returnPermit (request: SuspectRequest): void {
    this.answerReturn(request)
    const { daemon } = this.chooseGiver()
    if (daemon !== this.options.self) this.options.callPeer(daemon, 'suspect.return', request, PERMIT_TIMEOUT_MS)
  }

  /** Answers a daemon that wants a permit. */
  answerTake ({ runner, requestId }: SuspectRequest): boolean {
    return this.permits.acquirePermit(runner, requestId, this.options.clock.readMonotonicMs())
  }

  /** Takes a permit back. */
  answerReturn ({ runner, requestId }: SuspectRequest): void {
    this.permits.releasePermit(runner, requestId)
  }

  /** While nobody holds the office, most daemons agree on the first that they reach: not on more than that. */
  private chooseGiver (): { readonly daemon: string, readonly isHolder: boolean } {
    const { self, findHolder, listConnected } = this.options
    const holder = findHolder()
    if (holder !== undefined && holder !== '') return { daemon: holder, isHolder: true }
    return { daemon: [...listConnected(), self].sort()[0]!, isHolder: false }
  }
}
