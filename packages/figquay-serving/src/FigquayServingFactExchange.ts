/**
 * Brings the facts of all daemons together, in fleets of any size: whenever a peer's digest differs from this daemon's,
 * both give each other what the other lacks. A message that is lost, or a daemon that was away, costs time only.
 */
import { describeError, type Clock, type Logger, type Outcome } from 'figquay'
import { isFact, type Fact, type FactsState, type FleetFacts } from 'figquay-fleet'

/** What two daemons give each other in one call, and in its answer. */
export interface FactsMessage {
  readonly from: string
  /** Tells this process from earlier ones: its revisions begin anew. */
  readonly bootId: string
  /** Revision of the newest of this daemon's facts that the other may have now. */
  readonly revision: number
  /** Newest revision of the other's facts that this daemon has, of the process that it names. */
  readonly heard: { readonly bootId: string, readonly revision: number } | undefined
  readonly items: readonly Fact[]
}

/** What the exchange needs. */
export interface FactExchangeOptions {
  readonly self: string
  readonly bootId: string
  readonly clock: Clock
  readonly logger: Logger
  readonly facts: FleetFacts
  readonly listConnected: () => readonly string[]
  readonly callPeer: <T>(daemon: string, method: string, params: unknown) => Promise<Outcome<T, string>>
}

/** How far two daemons know each other's facts. */
interface Cursor {
  /** The peer's process. */
  readonly bootId: string
  readonly heardRevision: number
  /** Newest revision of this daemon's facts that the peer has. */
  readonly toldRevision: number
}

/** One daemon's exchange of facts. */
export class FactExchange {
  private readonly cursors = new Map<string, Cursor>()
  private readonly running = new Set<string>()

  private constructor (private readonly options: FactExchangeOptions) {}

  /**
   * @example
   * const exchange = FactExchange.create(options)
   */
  static create (options: FactExchangeOptions): FactExchange {
    return new FactExchange(options)
  }

  /**
   * Adds a fact that this daemon has found out, and tells the peers at once; those out of reach hear of it later.
   *
   * @example
   * exchange.publishFact({ type: 'leaving', id, runner: 'runner-1', bornMs, atMs })
   */
  publishFact (fact: Fact): void {
    if (!this.options.facts.addFact(fact)) return
    for (const peer of this.options.listConnected()) this.runExchange(peer)
  }

  /** Compares a peer's facts with this daemon's. */
  comparePeer (peer: string, state: FactsState | undefined): void {
    if (state !== undefined && state.digest !== this.options.facts.state.digest) this.runExchange(peer)
  }

  /** Takes in a peer's facts and gives it those that it lacks. */
  answerPeer (message: FactsMessage): FactsMessage {
    const { self, bootId, facts } = this.options
    const items = facts.listAfter(message.heard?.bootId === bootId ? message.heard.revision : 0)
    this.addItems(message.items)
    return { from: self, bootId, revision: facts.state.revision, heard: undefined, items }
  }

  private runExchange (peer: string): void {
    if (this.running.has(peer)) return
    this.running.add(peer)
    this.exchangeWith(peer).catch((error: unknown) => {
      this.options.logger.warn('exchange of facts failed', { peer, error: describeError(error) })
    }).finally(() => this.running.delete(peer))
  }

  private async exchangeWith (peer: string): Promise<void> {
    const { self, bootId, facts, callPeer, logger } = this.options
    const known = this.cursors.get(peer)
    const { revision } = facts.state
    const heard = known === undefined ? undefined : { bootId: known.bootId, revision: known.heardRevision }
    const answer = await callPeer<FactsMessage>(peer, 'fleet.facts', { from: self, bootId, revision, heard, items: facts.listAfter(known?.toldRevision ?? 0) })
    if (!answer.ok) {
      logger.debug('facts not exchanged; the next words of the peer bring it up again', { peer, error: answer.error })
      return
    }
    const { value } = answer
    // A process that has followed another at the peer's address is told everything the next time.
    const hasAll = known === undefined || known.bootId === value.bootId
    this.cursors.set(peer, { bootId: value.bootId, heardRevision: value.revision, toldRevision: hasAll ? revision : 0 })
    this.addItems(value.items)
  }

  private addItems (items: readonly unknown[]): void {
    for (const item of items) if (isFact(item)) this.options.facts.addFact(item)
  }
}
