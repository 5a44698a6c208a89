/**
 * Anti-entropy for facts, in fleets of any size: when a peer's digest differs from this daemon's, both send each other the
 * facts that the other lacks. Lost messages and unreachable daemons only delay a fact.
 */
import { describeError, type Clock, type Logger, type Outcome } from 'figquay'
import { isFact, type Fact, type FactsState, type FleetFacts } from 'figquay-fleet'

/** Request and response of one exchange between two daemons. */
export interface FactsMessage {
  readonly from: string
  /** Identifies the sender's process; revisions restart with each process. */
  readonly bootId: string
  /** Revision of the sender's facts up to which the receiver is up to date after this message. */
  readonly revision: number
  /** Acknowledgement: newest revision of the receiver's facts that the sender has, and the receiver's process that it belongs to. */
  readonly heard: { readonly bootId: string, readonly revision: number } | undefined
  readonly items: readonly Fact[]
}

/** Options of the exchange. */
export interface FactExchangeOptions {
  readonly self: string
  readonly bootId: string
  readonly clock: Clock
  readonly logger: Logger
  readonly facts: FleetFacts
  readonly listConnected: () => readonly string[]
  readonly callPeer: <T>(daemon: string, method: string, params: unknown) => Promise<Outcome<T, string>>
}

/** Progress of the exchange with one peer. */
interface Cursor {
  /** The peer's process. */
  readonly bootId: string
  /** Newest revision of the peer's facts that this daemon has. */
  readonly receivedRevision: number
  /** Newest revision of this daemon's facts that the peer has. */
  readonly ackedRevision: number
}

/** Exchanges the facts of one daemon with its peers. */
export class FactExchange {
  private readonly cursors = new Map<string, Cursor>()
  private readonly activePeers = new Set<string>()

  private constructor (private readonly options: FactExchangeOptions) {}

  /**
   * @example
   * const exchange = FactExchange.create(options)
   */
  static create (options: FactExchangeOptions): FactExchange {
    return new FactExchange(options)
  }

  /**
   * Adds a fact that originates at this daemon and sends it to the connected peers at once; others get it once they compare
   * digests.
   *
   * @example
   * exchange.publishFact({ type: 'leaving', id, runner: 'runner-1', bornMs, atMs })
   */
  publishFact (fact: Fact): void {
    if (!this.options.facts.addFact(fact)) return
    for (const peer of this.options.listConnected()) this.startExchange(peer)
  }

  /** Starts an exchange with a peer whose digest differs from this daemon's. */
  reconcilePeer (peer: string, state: FactsState | undefined): void {
    if (state !== undefined && state.digest !== this.options.facts.state.digest) this.startExchange(peer)
  }

  /** Adds a peer's facts and returns those that it lacks. */
  handleExchange (message: FactsMessage): FactsMessage {
    const { self, bootId, facts } = this.options
    const items = facts.listAfter(message.heard?.bootId === bootId ? message.heard.revision : 0)
    this.addFacts(message.items)
    return { from: self, bootId, revision: facts.state.revision, heard: undefined, items }
  }

  private startExchange (peer: string): void {
    if (this.activePeers.has(peer)) return
    this.activePeers.add(peer)
    this.exchangeWith(peer).catch((error: unknown) => {
      this.options.logger.warn('fact exchange failed', { peer, error: describeError(error) })
    }).finally(() => this.activePeers.delete(peer))
  }

  private async exchangeWith (peer: string): Promise<void> {
    const { self, bootId, facts, callPeer, logger } = this.options
    const cursor = this.cursors.get(peer)
    const { revision } = facts.state
    const heard = cursor === undefined ? undefined : { bootId: cursor.bootId, revision: cursor.receivedRevision }
    const response = await callPeer<FactsMessage>(peer, 'fleet.facts', { from: self, bootId, revision, heard, items: facts.listAfter(cursor?.ackedRevision ?? 0) })
    if (!response.ok) {
      logger.debug('fact exchange call failed; retrying when the peer next sends its digest', { peer, error: response.error })
      return
    }
    const { value } = response
    // If the peer's process has changed, the next exchange sends it everything.
    const isSameProcess = cursor === undefined || cursor.bootId === value.bootId
    this.cursors.set(peer, { bootId: value.bootId, receivedRevision: value.revision, ackedRevision: isSameProcess ? revision : 0 })
    this.addFacts(value.items)
  }

  private addFacts (items: readonly unknown[]): void {
    for (const item of items) if (isFact(item)) this.options.facts.addFact(item)
  }
}
