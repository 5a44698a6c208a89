/** Persists facts in the platform's store, where they survive the loss of every daemon: writes new ones, deletes expired ones. */
import type { Clock, Logger } from 'figquay'
import { isFact, type Fact, type FleetFacts, type FleetStore } from 'figquay-fleet'

/** Options of the store sync. */
export interface FactStoreSyncOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly store: Pick<FleetStore, 'writeRecords'>
  readonly facts: FleetFacts
  /** Whether this daemon is the leader, which writes facts that other daemons failed to write and deletes expired ones. */
  readonly isLeader: () => boolean
}

/** Key prefix of the records that hold facts. */
export const FACT_KEY_PREFIX = 'fact/'
/** The leader writes a fact that its origin hasn't written for this long, in milliseconds: time for several attempts of the origin. */
const ORPHANED_AFTER_MS = 3_000
/** Largest size of the facts of one write, in characters: a few seconds' worth at most, and well below what a call may hold. */
const MAX_WRITE_CHARACTERS = 500_000
/** Delay before a failed write is retried, in milliseconds: the store may be overloaded. */
const RETRY_DELAY_MS = 1_000

/** Synchronizes the facts of one daemon with the store. */
export class FactStoreSync {
  /** Facts that originate at this daemon and are not in the store yet. */
  private readonly pending = new Map<string, Fact>()
  /** Facts known to be in the store. */
  private readonly stored = new Map<string, Fact>()
  private nextWriteAtMs = Number.NEGATIVE_INFINITY

  private constructor (private readonly options: FactStoreSyncOptions) {}

  /**
   * @example
   * const factStore = FactStoreSync.create(options)
   */
  static create (options: FactStoreSyncOptions): FactStoreSync {
    return new FactStoreSync(options)
  }

  /** Queues a fact that originates at this daemon for the next write. */
  addPending (fact: Fact): void {
    this.pending.set(fact.id, fact)
  }

  /**
   * Applies a record of the store; an undefined value means that it was deleted.
   *
   * @example
   * factStore.applyRecord('fact/crash-7', '{"type":"crash",…}')
   */
  applyRecord (key: string, value: string | undefined): void {
    const id = key.slice(FACT_KEY_PREFIX.length)
    if (value === undefined) {
      this.stored.delete(id)
      return
    }
    const fact = parseFact(value)
    if (fact?.id !== id) {
      this.options.logger.warn('fact record can\'t be parsed', { key })
      return
    }
    this.stored.set(id, fact)
    this.options.facts.addFact(fact, true)
  }

  /**
   * Records that the store has only the facts of these records, as after a restore; the leader writes the others again.
   *
   * @example
   * factStore.replaceRecords(['fact/crash-7'])
   */
  replaceRecords (keys: readonly string[]): void {
    const ids = new Set(keys.map((key) => key.slice(FACT_KEY_PREFIX.length)))
    for (const id of [...this.stored.keys()]) if (!ids.has(id)) this.stored.delete(id)
    this.options.facts.replaceStored(ids)
  }

  /**
   * Writes pending facts in one call; the leader also writes orphaned facts and deletes expired ones. Called periodically.
   *
   * @example
   * await factStore.flush()
   */
  async flush (): Promise<void> {
    const { clock, store, facts, isLeader, logger } = this.options
    if (clock.readMonotonicMs() < this.nextWriteAtMs) return
    const orphaned = isLeader() ? facts.listUnstored(ORPHANED_AFTER_MS).filter((fact) => fact.type !== 'leaving') : []
    const due = selectWithinSize(new Map([...this.pending.values(), ...orphaned].map((fact) => [fact.id, fact])))
    const expired = isLeader() ? [...this.stored.values()].filter((fact) => !facts.isUnexpired(fact)) : []
    if (due.size + expired.length === 0) return
    const result = await store.writeRecords([
      ...[...due].map(([id, { text }]) => ({ key: `${FACT_KEY_PREFIX}${id}`, value: text })),
      ...expired.map(({ id }) => ({ key: `${FACT_KEY_PREFIX}${id}`, value: undefined }))
    ])
    if (!result.ok) {
      logger.warn('could not write facts to the store; retrying', { facts: due.size, error: result.error.message })
      this.nextWriteAtMs = clock.readMonotonicMs() + RETRY_DELAY_MS
      return
    }
    for (const { fact } of due.values()) {
      this.pending.delete(fact.id)
      this.stored.set(fact.id, fact)
      facts.markStored(fact.id)
    }
    for (const { id } of expired) this.stored.delete(id)
  }
}

/** Selects the facts of one write, by id, with their texts; the others follow with the next. */
function selectWithinSize (facts: ReadonlyMap<string, Fact>): Map<string, { readonly fact: Fact, readonly text: string }> {
  const selected = new Map<string, { readonly fact: Fact, readonly text: string }>()
  let size = 0
  for (const [id, fact] of facts) {
    const text = JSON.stringify(fact)
    size += text.length
    if (size > MAX_WRITE_CHARACTERS && selected.size > 0) break
    selected.set(id, { fact, text })
  }
  return selected
}

function parseFact (text: string): Fact | undefined {
  try {
    const value: unknown = JSON.parse(text)
    return isFact(value) ? value : undefined
  } catch {
    // The caller logs records that can't be parsed.
    return undefined
  }
}
