/** Isolates suspect requests: across all daemons, at most one runs at a time on each runner and with each suspected prompt part, with a permit issued by the leader. */
import type { Clock, Outcome } from 'figquay'
import { SuspectPermits } from 'figquay-routing'

/** Dependencies of the suspect isolator. */
export interface SuspectIsolatorOptions {
  readonly self: string
  readonly clock: Clock
  /** Returns the leader, which issues the permits; undefined or empty if none is known. */
  readonly findLeader: () => string | undefined
  /** Lists the daemons that are connected now. */
  readonly listConnected: () => readonly string[]
  readonly callPeer: <T>(daemon: string, method: string, params: unknown, timeoutMs: number) => Promise<Outcome<T, string>>
}

/** Reply to a permit request. */
export type PermitReply =
  /** Issued by the leader: no other suspect runs on the runner. */
  | 'granted'
  /** Issued by a substitute, as the leader cannot be reached: no other suspect that the substitute knows of runs on the runner. */
  | 'unconfirmed'
  | 'refused'

/** A suspect request and what it requests or holds a permit for. */
export interface PermitRequest {
  /** Id of a runner, or key of a prompt part. */
  readonly runner: string
  readonly requestId: string
}

/** Timeout of a permit request, in milliseconds; the permit is then issued locally, as the caller is waiting. */
const PERMIT_TIMEOUT_MS = 300

/** Acquires and issues permits for suspect requests. */
export class SuspectIsolator {
  private readonly permits = SuspectPermits.create()

  private constructor (private readonly options: SuspectIsolatorOptions) {}

  /**
   * @example
   * const isolator = SuspectIsolator.create(options)
   */
  static create (options: SuspectIsolatorOptions): SuspectIsolator {
    return new SuspectIsolator(options)
  }

  /**
   * Acquires the permit for a runner; if the issuer does not respond, only this daemon's own suspects are isolated.
   *
   * @example
   * const isIsolated = await isolator.acquirePermit({ runner: 'runner-1', requestId }) === 'granted'
   */
  async acquirePermit (request: PermitRequest): Promise<PermitReply> {
    const { callPeer, self } = this.options
    const { daemon, isLeader } = this.choosePermitIssuer()
    const granted: PermitReply = isLeader ? 'granted' : 'unconfirmed'
    if (daemon === self) return this.handleAcquire(request) ? granted : 'refused'
    const reply = await callPeer<boolean>(daemon, 'suspect.take', request, PERMIT_TIMEOUT_MS)
    if (reply.ok) return reply.value ? granted : 'refused'
    return this.handleAcquire(request) ? 'unconfirmed' : 'refused'
  }

  /** Releases a permit; if the message is lost, the permit expires by itself. */
  releasePermit (request: PermitRequest): void {
    this.handleRelease(request)
    const { daemon } = this.choosePermitIssuer()
    if (daemon !== this.options.self) this.options.callPeer(daemon, 'suspect.return', request, PERMIT_TIMEOUT_MS)
  }

  /** Handles a daemon's request for a permit; false while another request holds it. */
  handleAcquire ({ runner, requestId }: PermitRequest): boolean {
    return this.permits.acquirePermit(runner, requestId, this.options.clock.readMonotonicMs())
  }

  /** Handles the release of a permit by a daemon. */
  handleRelease ({ runner, requestId }: PermitRequest): void {
    this.permits.releasePermit(runner, requestId)
  }

  /** Without a leader, the first connected daemon by name issues permits; most daemons agree on it, but not necessarily all. */
  private choosePermitIssuer (): { readonly daemon: string, readonly isLeader: boolean } {
    const { self, findLeader, listConnected } = this.options
    const leader = findLeader()
    if (leader !== undefined && leader !== '') return { daemon: leader, isLeader: true }
    return { daemon: [...listConnected(), self].sort()[0]!, isLeader: false }
  }
}
