/**
 * What binds every daemon for as long as it holds, whoever found it out: kept by each daemon and in the platform's store,
 * and compared with peers again and again, so that it outlives its finder and reaches daemons that start, wake or return.
 * News (`FigquayFleetNews`) are the opposite: told once, and of no use soon after.
 */
import { hashText, type Clock } from 'figquay'

/**
 * A runner ended while requests were under way at it, or may have: it gave no answer, and its finder may be gone before it
 * knows. A doubt counts as an end for as long as the list of runners says that this start of the runner is over.
 */
export interface CrashFact {
  readonly type: 'crash' | 'doubt'
  /** Tells this report from others of the same end. */
  readonly id: string
  readonly runner: string
  readonly bornMs: number
  /** Fingerprints of requests that had no output from it yet, or had just begun to. */
  readonly suspects: readonly string[]
  /** Those of the suspects that were under suspicion already, and kept apart from all others that were. */
  readonly isolated: readonly string[]
  /** Fingerprints of requests that had been running well. */
  readonly bystanders: readonly string[]
  /** Wall-clock time, in milliseconds. */
  readonly atMs: number
}

/** A request that had been charged was answered whole. */
export interface AcquittalFact {
  readonly type: 'acquittal'
  readonly id: string
  readonly fingerprint: string
  /** Wall-clock time, in milliseconds; earlier crashes no longer count. */
  readonly atMs: number
}

/** A runner takes no more work until its next start. */
export interface LeavingFact {
  readonly type: 'leaving'
  readonly id: string
  readonly runner: string
  readonly bornMs: number
  /** Wall-clock time, in milliseconds. */
  readonly atMs: number
}

export type Fact = CrashFact | AcquittalFact | LeavingFact

/** Facts hold for this long, in milliseconds: callers give up on a request, and runners that leave are gone, well before. */
const FACT_LIFE_MS = 600_000
/** A fact may lie this far ahead, in milliseconds: clocks of VMs differ by seconds. */
const MOST_AHEAD_MS = 60_000
/** Facts that no longer hold are looked for this often, in milliseconds: a small part of their life. */
const EXPIRY_INTERVAL_MS = 1_000
/** Facts that are kept at most, oldest dropped: far more than runners end in a fact's life. */
const MOST_FACTS = 20_000
/** Digits of a fact's hash in the digest: enough that two sets hardly ever have the same. */
const DIGEST_DIGITS = 8
const HEXADECIMAL = 16

interface Entry {
  readonly fact: Fact
  /** Place among this daemon's facts, in the order in which it learnt them. */
  readonly revision: number
  readonly learntAtMs: number
  /** Whether the platform's store is known to have it. */
  isStored: boolean
}

/** Where one daemon's facts stand. */
export interface FactsState {
  readonly revision: number
  /** The same for two daemons that know the same facts. */
  readonly digest: number
}

/** The facts of one daemon. */
export class FleetFacts {
  private readonly entries = new Map<string, Entry>()
  private readonly listeners = new Set<(fact: Fact) => void>()
  private latest = 0
  private sum = 0
  private expiredAtMs = Number.NEGATIVE_INFINITY

  private constructor (private readonly clock: Clock) {}

  /**
   * @example
   * const facts = FleetFacts.create(clock)
   */
  static create (clock: Clock): FleetFacts {
    return new FleetFacts(clock)
  }

  /** Where this daemon's facts stand, to be compared with a peer's. */
  get state (): FactsState {
    this.dropExpired()
    return { revision: this.latest, digest: this.sum }
  }

  /** Calls `listener` with each fact that is new here; returns its undo. */
  registerListener (listener: (fact: Fact) => void): () => void {
    this.listeners.add(listener)
    return () => {
      this.listeners.delete(listener)
    }
  }

  /**
   * Adds a fact; false when it is known, or no longer holds.
   *
   * @param isStored Whether it comes from the platform's store.
   * @example
   * facts.addFact({ type: 'leaving', id: 'leaving/r1/7', runner: 'r1', bornMs: 7, atMs })
   */
  addFact (fact: Fact, isStored = false): boolean {
    const known = this.entries.get(fact.id)
    if (known !== undefined) {
      known.isStored ||= isStored
      return false
    }
    if (!this.isInForce(fact)) return false
    this.latest += 1
    this.entries.set(fact.id, { fact, revision: this.latest, learntAtMs: this.clock.readMonotonicMs(), isStored })
    this.sum ^= hashId(fact.id)
    if (this.entries.size > MOST_FACTS) this.dropFact(this.entries.keys().next().value!)
    for (const listener of [...this.listeners]) listener(fact)
    return true
  }

  /** Facts learnt after a revision, oldest first. */
  listAfter (revision: number): Fact[] {
    this.dropExpired()
    return [...this.entries.values()].filter((entry) => entry.revision > revision).map(({ fact }) => fact)
  }

  /** Facts that the store isn't known to have and that were learnt at least `ageMs` ago. */
  listUnstored (ageMs: number): Fact[] {
    this.dropExpired()
    const latestMs = this.clock.readMonotonicMs() - ageMs
    return [...this.entries.values()].filter(({ isStored, learntAtMs }) => !isStored && learntAtMs <= latestMs).map(({ fact }) => fact)
  }

  /** Notes that the store has a fact. */
  markStored (id: string): void {
    const entry = this.entries.get(id)
    if (entry !== undefined) entry.isStored = true
  }

  /** Whether a fact still holds. */
  isInForce ({ atMs }: Fact): boolean {
    const ageMs = this.clock.now().getTime() - atMs
    return ageMs < FACT_LIFE_MS && ageMs > -MOST_AHEAD_MS
  }

  private dropExpired (): void {
    const nowMs = this.clock.readMonotonicMs()
    if (nowMs - this.expiredAtMs < EXPIRY_INTERVAL_MS) return
    this.expiredAtMs = nowMs
    for (const [id, { fact }] of this.entries) {
      if (!this.isInForce(fact)) this.dropFact(id)
    }
  }

  private dropFact (id: string): void {
    if (this.entries.delete(id)) this.sum ^= hashId(id)
  }
}

function hashId (id: string): number {
  return parseInt(hashText(id).slice(0, DIGEST_DIGITS), HEXADECIMAL) | 0
}

function isTexts (value: unknown): value is string[] {
  return Array.isArray(value) && value.every((item) => typeof item === 'string')
}

/**
 * Whether a peer's message, or a record of the store, is a fact: another version of the daemon, or a fault, may write anything.
 *
 * @example
 * items.filter(isFact)
 */
export function isFact (value: unknown): value is Fact {
  if (typeof value !== 'object' || value === null) return false
  const { type, id, runner, bornMs, suspects, isolated, bystanders, fingerprint, atMs } = value as Record<string, unknown>
  if (typeof id !== 'string' || typeof atMs !== 'number') return false
  if (type === 'acquittal') return typeof fingerprint === 'string'
  if (typeof runner !== 'string' || typeof bornMs !== 'number') return false
  return type === 'leaving' || ((type === 'crash' || type === 'doubt') && [suspects, isolated, bystanders].every(isTexts))
}
