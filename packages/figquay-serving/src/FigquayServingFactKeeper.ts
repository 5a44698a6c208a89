/** Keeps facts in the platform's store, where they outlive every daemon: writes what is new, drops what no longer holds. */
import type { Clock, Logger } from 'figquay'
import { isFact, type Fact, type FleetFacts, type FleetStore } from 'figquay-fleet'

/** What the keeper needs. */
export interface FactKeeperOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly store: Pick<FleetStore, 'writeRecords'>
  readonly facts: FleetFacts
  /** Whether this daemon looks after what others could not write, and after what is to be dropped. */
  readonly isHolder: () => boolean
}

/** Prefix of the keys under which facts are kept. */
export const FACT_PREFIX = 'fact/'
/** A fact that its finder hasn't written by then is written by the holder, in milliseconds: several attempts of the finder. */
const ADOPTED_AFTER_MS = 3_000
/** A failed write is repeated after this time, in milliseconds: the store may be overloaded. */
const FAILED_PAUSE_MS = 1_000

/** What one daemon keeps in the store. */
export class FactKeeper {
  /** Found out by this daemon and not yet written. */
  private readonly own = new Map<string, Fact>()
  /** Facts that the store has, as far as this daemon knows. */
  private readonly kept = new Map<string, Fact>()
  private mayWriteAtMs = Number.NEGATIVE_INFINITY

  private constructor (private readonly options: FactKeeperOptions) {}

  /**
   * @example
   * const keeper = FactKeeper.create(options)
   */
  static create (options: FactKeeperOptions): FactKeeper {
    return new FactKeeper(options)
  }

  /** Notes a fact that this daemon has found out and that must outlive it. */
  addOwn (fact: Fact): void {
    this.own.set(fact.id, fact)
  }

  /**
   * Takes in a record of the store.
   *
   * @example
   * keeper.takeRecord('fact/crash-7', '{"type":"crash",…}')
   */
  takeRecord (key: string, value: string | undefined): void {
    const id = key.slice(FACT_PREFIX.length)
    if (value === undefined) {
      this.kept.delete(id)
      return
    }
    const fact = parseFact(value)
    if (fact?.id !== id) {
      this.options.logger.warn('record names no fact', { key })
      return
    }
    this.kept.set(id, fact)
    this.options.facts.addFact(fact, true)
  }

  /**
   * Writes what is due, in one call; called again and again.
   *
   * @example
   * await keeper.refresh()
   */
  async refresh (): Promise<void> {
    const { clock, store, facts, isHolder, logger } = this.options
    if (clock.readMonotonicMs() < this.mayWriteAtMs) return
    const adopted = isHolder() ? facts.listUnstored(ADOPTED_AFTER_MS).filter((fact) => fact.type !== 'leaving') : []
    const due = new Map([...this.own.values(), ...adopted].map((fact) => [fact.id, fact]))
    const ended = isHolder() ? [...this.kept.values()].filter((fact) => !facts.isInForce(fact)) : []
    if (due.size + ended.length === 0) return
    const written = await store.writeRecords([
      ...[...due.values()].map((fact) => ({ key: `${FACT_PREFIX}${fact.id}`, value: JSON.stringify(fact) })),
      ...ended.map(({ id }) => ({ key: `${FACT_PREFIX}${id}`, value: undefined }))
    ])
    if (!written.ok) {
      logger.warn('facts are not in the store yet', { facts: due.size, error: written.error.message })
      this.mayWriteAtMs = clock.readMonotonicMs() + FAILED_PAUSE_MS
      return
    }
    for (const fact of due.values()) {
      this.own.delete(fact.id)
      this.kept.set(fact.id, fact)
      facts.markStored(fact.id)
    }
    for (const { id } of ended) this.kept.delete(id)
  }
}

function parseFact (text: string): Fact | undefined {
  try {
    const value: unknown = JSON.parse(text)
    return isFact(value) ? value : undefined
  } catch {
    // The caller logs a record that can't be read.
    return undefined
  }
}
