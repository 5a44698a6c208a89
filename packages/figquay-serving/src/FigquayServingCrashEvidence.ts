/**
 * Which requests end the runners that run them, as far as the facts tell. Pure: no clock, no I/O.
 *
 * Answers this pattern: runners end under a request that comes again and again, at any daemon, while others of the same
 * callers run beside it; and runners end by themselves, several times under one long stream that is not to blame.
 */
import type { AcquittalFact, CrashFact, Fact } from 'figquay-fleet'

/** What the facts say of a request. */
export type CrashVerdict =
  /** Nothing, or too little to keep it from others. */
  | 'clear'
  /** A runner has ended under it: it may run, apart from others of which that is said too. */
  | 'suspect'
  /** It ends runners. */
  | 'quarantined'

/** Ends of runners under a request. */
export interface CrashCount {
  /** As one that had just begun. */
  readonly asSuspect: number
  /** The same, kept apart. */
  readonly inIsolation: number
  /** Of any kind. */
  readonly inAll: number
}

/** With one end in isolation, two are too many to be chance. */
const MOST_WITH_ISOLATION = 2
/** Runners that may end under a request that had just begun there, in whatever company (users' rules: three). */
const MOST_AS_SUSPECT = 3
/** Runners that may end under a request in all: one more, as what has run well for a while has rarely ended its runner. */
const MOST_IN_ALL = 4

/**
 * Judges a request by its count.
 *
 * @example
 * judgeCrashes({ asSuspect: 1, inIsolation: 0, inAll: 1 }) // 'suspect'
 */
export function judgeCrashes ({ asSuspect, inIsolation, inAll }: CrashCount): CrashVerdict {
  if (asSuspect >= MOST_AS_SUSPECT || inAll >= MOST_IN_ALL || (inIsolation > 0 && inAll >= MOST_WITH_ISOLATION)) return 'quarantined'
  return asSuspect > 0 ? 'suspect' : 'clear'
}

/** Fingerprints beyond which those without a fact in force are looked for: more than one bad hour brings. */
const SWEPT_FINGERPRINTS = 4_000

/** Crashes and acquittals by fingerprint. */
export class CrashEvidence {
  private readonly crashes = new Map<string, Set<CrashFact>>()
  private readonly acquittals = new Map<string, AcquittalFact>()
  private sweepSize = SWEPT_FINGERPRINTS

  private constructor (private readonly isInForce: (fact: Fact) => boolean, private readonly hasEnded: (fact: CrashFact) => boolean) {}

  /**
   * @example
   * const evidence = CrashEvidence.create((fact) => facts.isInForce(fact), ({ runner, bornMs }) => table.findRunner(runner)?.bornMs !== bornMs)
   */
  static create (isInForce: (fact: Fact) => boolean, hasEnded: (fact: CrashFact) => boolean): CrashEvidence {
    return new CrashEvidence(isInForce, hasEnded)
  }

  /** Takes in a fact. */
  addFact (fact: Fact): void {
    if (fact.type === 'acquittal') {
      const known = this.acquittals.get(fact.fingerprint)
      if (known === undefined || known.atMs < fact.atMs) this.acquittals.set(fact.fingerprint, fact)
    }
    if (fact.type !== 'crash' && fact.type !== 'doubt') return
    for (const fingerprint of [...fact.suspects, ...fact.bystanders]) {
      this.crashes.set(fingerprint, (this.crashes.get(fingerprint) ?? new Set()).add(fact))
    }
    if (this.crashes.size > this.sweepSize) this.dropExpired()
  }

  /** Fingerprints that are kept. */
  get size (): number {
    return this.crashes.size
  }

  private dropExpired (): void {
    for (const [fingerprint, acquittal] of this.acquittals) if (!this.isInForce(acquittal)) this.acquittals.delete(fingerprint)
    // Counting drops what no longer holds.
    for (const fingerprint of [...this.crashes.keys()]) this.countCrashes(fingerprint)
    this.sweepSize = Math.max(SWEPT_FINGERPRINTS, 2 * this.crashes.size)
  }

  /** What the facts say of a request. */
  judgeRequest (fingerprint: string): CrashVerdict {
    return judgeCrashes(this.countCrashes(fingerprint))
  }

  /**
   * Runners that ended under a request; one end that several daemons report counts once.
   *
   * @example
   * evidence.countCrashes(request.fingerprint).inAll
   */
  countCrashes (fingerprint: string): CrashCount {
    const facts = this.crashes.get(fingerprint)
    if (facts === undefined) return { asSuspect: 0, inIsolation: 0, inAll: 0 }
    for (const fact of facts) if (!this.isInForce(fact)) facts.delete(fact)
    if (facts.size === 0) {
      this.crashes.delete(fingerprint)
      this.acquittals.delete(fingerprint)
    }
    const acquittedAtMs = this.acquittals.get(fingerprint)?.atMs ?? Number.NEGATIVE_INFINITY
    const counted = [...facts].filter((fact) => fact.atMs > acquittedAtMs && (fact.type === 'crash' || this.hasEnded(fact)))
    const countEnds = (isCounted: (fact: CrashFact) => boolean): number => new Set(counted.filter(isCounted).map(({ runner, bornMs }) => `${runner}/${bornMs}`)).size
    return {
      asSuspect: countEnds(({ suspects }) => suspects.includes(fingerprint)),
      inIsolation: countEnds(({ isolated }) => isolated.includes(fingerprint)),
      inAll: countEnds(() => true)
    }
  }
}
