/**
 * Facts that apply to every daemon until they expire, whichever daemon reported them. Each daemon keeps all of them, the
 * platform's store persists them, and peers reconcile them periodically (anti-entropy). So they outlive their reporter and
 * reach daemons that start, resume or reconnect. Runner updates (`FigquayFleetRunnerUpdates`) are the opposite: sent once,
 * and useless soon after.
 */
import { hashText, type Clock } from 'figquay'

/**
 * A runner process ended with requests in progress (`crash`), or may have (`doubt`): it stopped answering, and the daemon
 * that noticed may be gone before it knows more. A doubt counts as a crash as long as the list of runners doesn't contain
 * this process.
 */
export interface CrashFact {
  readonly type: 'crash' | 'doubt'
  /** Distinguishes this report from others about the same process. */
  readonly id: string
  readonly runner: string
  /** Start time of the process, which identifies it. */
  readonly bornMs: number
  /** Fingerprints of requests that had no output yet, or only for a short time, and keys of their prompt parts. */
  readonly suspects: readonly string[]
  /** Those of the suspects that had been suspected before and ran isolated from all other suspects. */
  readonly isolated: readonly string[]
  /** Fingerprints of requests that had been producing output for a while. */
  readonly bystanders: readonly string[]
  /** Wall-clock time, in milliseconds. */
  readonly atMs: number
}

/** A request that was suspected of crashing runners, or one with a suspected prompt part, has been answered completely. */
export interface AcquittalFact {
  readonly type: 'acquittal'
  readonly id: string
  readonly fingerprint: string
  /**
   * Processes whose crashes no longer count against the fingerprint, as `runner/bornMs`; undefined if `atMs` decides. They
   * are named where the clocks of the VMs would tell falsely which came first.
   */
  readonly incarnations?: readonly string[]
  /** Wall-clock time, in milliseconds; crashes before it no longer count against the request. */
  readonly atMs: number
}

/** A runner process accepts no more work. */
export interface LeavingFact {
  readonly type: 'leaving'
  readonly id: string
  readonly runner: string
  readonly bornMs: number
  /** Wall-clock time, in milliseconds. */
  readonly atMs: number
}

/** A software version served a service: callers may still resume streams that it has begun. */
export interface VersionFact {
  readonly type: 'version'
  readonly id: string
  readonly service: string
  readonly softwareVersion: string
  /** Wall-clock time, in milliseconds. */
  readonly atMs: number
}

export type Fact = CrashFact | AcquittalFact | LeavingFact | VersionFact

/** Lifetime of a fact, in milliseconds: callers give up on a request, and leaving runners are gone, well before. */
const FACT_TTL_MS = 600_000
/** Longest time by which a fact may lie in the future, in milliseconds: the clocks of VMs differ by seconds. */
const MAX_CLOCK_SKEW_MS = 60_000
/** Interval between two checks for expired facts, in milliseconds: a small fraction of their lifetime. */
const EXPIRY_INTERVAL_MS = 1_000
/** Largest number of facts; beyond it the oldest is dropped. Far fewer runners end within a fact's lifetime. */
const MAX_FACTS = 20_000
/** Hexadecimal digits of a fact's hash in the digest: enough that the digests of two different sets hardly ever collide. */
const DIGEST_DIGITS = 8
const HEXADECIMAL = 16

interface Entry {
  readonly fact: Fact
  /** Sequence number of this fact among those that this daemon has added. */
  readonly revision: number
  readonly addedAtMs: number
  /** Whether the platform's store is known to have it. */
  isStored: boolean
}

/** Summary of one daemon's facts, for comparison with a peer's. */
export interface FactsState {
  readonly revision: number
  /** Equal for two daemons with the same facts. */
  readonly digest: number
}

/** The facts that one daemon knows. */
export class FleetFacts {
  private readonly entries = new Map<string, Entry>()
  private readonly listeners = new Set<(fact: Fact) => void>()
  private latestRevision = 0
  /** XOR of the hashes of all ids, which doesn't depend on their order. */
  private digest = 0
  private lastExpiryAtMs = Number.NEGATIVE_INFINITY

  private constructor (private readonly clock: Clock) {}

  /**
   * @example
   * const facts = FleetFacts.create(clock)
   */
  static create (clock: Clock): FleetFacts {
    return new FleetFacts(clock)
  }

  /** Summary of this daemon's facts, for comparison with a peer's. */
  get state (): FactsState {
    this.dropExpired()
    return { revision: this.latestRevision, digest: this.digest }
  }

  /** Calls `listener` with each fact that is added; returns the function that unregisters it. */
  registerListener (listener: (fact: Fact) => void): () => void {
    this.listeners.add(listener)
    return () => {
      this.listeners.delete(listener)
    }
  }

  /**
   * Adds a fact; returns false if it is known already, or has expired.
   *
   * @param isStored Whether it was read from the platform's store.
   * @example
   * facts.addFact({ type: 'leaving', id: 'leaving/r1/7', runner: 'r1', bornMs: 7, atMs })
   */
  addFact (fact: Fact, isStored = false): boolean {
    const known = this.entries.get(fact.id)
    if (known !== undefined) {
      known.isStored ||= isStored
      return false
    }
    if (!this.isUnexpired(fact)) return false
    this.latestRevision += 1
    this.entries.set(fact.id, { fact, revision: this.latestRevision, addedAtMs: this.clock.readMonotonicMs(), isStored })
    this.digest ^= hashId(fact.id)
    if (this.entries.size > MAX_FACTS) this.dropFact(this.entries.keys().next().value!)
    for (const listener of [...this.listeners]) listener(fact)
    return true
  }

  /** Facts added after a revision, oldest first. */
  listAfter (revision: number): Fact[] {
    this.dropExpired()
    return [...this.entries.values()].filter((entry) => entry.revision > revision).map(({ fact }) => fact)
  }

  /** Facts that the store is not known to have, and that were added at least `ageMs` ago. */
  listUnstored (ageMs: number): Fact[] {
    this.dropExpired()
    const addedBeforeMs = this.clock.readMonotonicMs() - ageMs
    return [...this.entries.values()].filter(({ isStored, addedAtMs }) => !isStored && addedAtMs <= addedBeforeMs).map(({ fact }) => fact)
  }

  /** Records that the store has a fact. */
  markStored (id: string): void {
    const entry = this.entries.get(id)
    if (entry !== undefined) entry.isStored = true
  }

  /** Records which facts the store has, and that it has no others. */
  replaceStored (ids: ReadonlySet<string>): void {
    for (const [id, entry] of this.entries) entry.isStored = ids.has(id)
  }

  /** Whether a fact has neither expired nor lies too far in the future. */
  isUnexpired ({ atMs }: Fact): boolean {
    const ageMs = this.clock.now().getTime() - atMs
    return ageMs < FACT_TTL_MS && ageMs > -MAX_CLOCK_SKEW_MS
  }

  private dropExpired (): void {
    const nowMs = this.clock.readMonotonicMs()
    if (nowMs - this.lastExpiryAtMs < EXPIRY_INTERVAL_MS) return
    this.lastExpiryAtMs = nowMs
    for (const [id, { fact }] of this.entries) {
      if (!this.isUnexpired(fact)) this.dropFact(id)
    }
  }

  private dropFact (id: string): void {
    if (this.entries.delete(id)) this.digest ^= hashId(id)
  }
}

function hashId (id: string): number {
  return parseInt(hashText(id).slice(0, DIGEST_DIGITS), HEXADECIMAL) | 0
}

function isStringArray (value: unknown): value is string[] {
  return Array.isArray(value) && value.every((item) => typeof item === 'string')
}

/**
 * Whether an item of a peer's message, or a record of the store, is a fact. Other versions of the daemon, or bugs, may write
 * anything.
 *
 * @example
 * items.filter(isFact)
 */
export function isFact (value: unknown): value is Fact {
  if (typeof value !== 'object' || value === null) return false
  const { type, id, runner, bornMs, suspects, isolated, bystanders, fingerprint, incarnations, service, softwareVersion, atMs } = value as Record<string, unknown>
  if (typeof id !== 'string' || typeof atMs !== 'number') return false
  if (type === 'acquittal') return typeof fingerprint === 'string' && (incarnations === undefined || isStringArray(incarnations))
  if (type === 'version') return typeof service === 'string' && typeof softwareVersion === 'string'
  if (typeof runner !== 'string' || typeof bornMs !== 'number') return false
  return type === 'leaving' || ((type === 'crash' || type === 'doubt') && [suspects, isolated, bystanders].every(isStringArray))
}
