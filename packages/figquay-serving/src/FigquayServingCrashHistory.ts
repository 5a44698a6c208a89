/**
 * Detects poison requests, which crash the runners that execute them, from the facts that the daemons share. No clock, no I/O.
 *
 * Covers these patterns: runners crash under a request that its caller sends to any daemon again and again, while other
 * requests run beside it; and runners crash for other reasons, several times during one long stream that is not the cause.
 */
import type { AcquittalFact, CrashFact, Fact } from 'figquay-fleet'

/** Quarantine state of a request. */
export type QuarantineState =
  /** No crashes, or too few to isolate it from other requests. */
  | 'clear'
  /** A runner crashed before the request had stable output: it may run, but isolated from other suspects. */
  | 'suspect'
  /** It has crashed too many runners and is refused. */
  | 'quarantined'

/** Runner crashes during a request. */
export interface CrashCount {
  /** Crashes before the request had stable output. */
  readonly asSuspect: number
  /** Those of them in which the request was isolated from other suspects. */
  readonly inIsolation: number
  /** All crashes, including those after stable output. */
  readonly inAll: number
}

/** Crashes after which a request is quarantined if one was in isolation: two are too many to be a coincidence. */
const QUARANTINE_CRASHES_WITH_ISOLATION = 2
/** Crashes as a suspect after which a request is quarantined, whatever ran beside it: the users' rules allow three. */
const QUARANTINE_CRASHES_AS_SUSPECT = 3
/** Crashes of any kind after which a request is quarantined: one more, as a request with stable output is rarely the cause. */
const QUARANTINE_CRASHES_IN_ALL = 4

/**
 * Determines the quarantine state of a request from its crashes.
 *
 * @example
 * classifyCrashes({ asSuspect: 1, inIsolation: 0, inAll: 1 }) // 'suspect'
 */
export function classifyCrashes ({ asSuspect, inIsolation, inAll }: CrashCount): QuarantineState {
  if (asSuspect >= QUARANTINE_CRASHES_AS_SUSPECT || inAll >= QUARANTINE_CRASHES_IN_ALL || (inIsolation > 0 && inAll >= QUARANTINE_CRASHES_WITH_ISOLATION)) return 'quarantined'
  return asSuspect > 0 ? 'suspect' : 'clear'
}

/** Number of fingerprints above which those without unexpired facts are dropped: more than an hour with many crashes adds. */
const SWEEP_THRESHOLD_FINGERPRINTS = 4_000

/** Crashes and acquittals by request fingerprint; an acquittal cancels the crashes before it, as the request has completed since. */
export class CrashHistory {
  private readonly crashes = new Map<string, Set<CrashFact>>()
  private readonly acquittals = new Map<string, AcquittalFact>()
  private sweepThreshold = SWEEP_THRESHOLD_FINGERPRINTS

  private constructor (private readonly isUnexpired: (fact: Fact) => boolean, private readonly hasIncarnationEnded: (fact: CrashFact) => boolean) {}

  /**
   * @example
   * const history = CrashHistory.create((fact) => facts.isUnexpired(fact), ({ runner, bornMs }) => table.findRunner(runner)?.bornMs !== bornMs)
   */
  static create (isUnexpired: (fact: Fact) => boolean, hasIncarnationEnded: (fact: CrashFact) => boolean): CrashHistory {
    return new CrashHistory(isUnexpired, hasIncarnationEnded)
  }

  /** Adds a fact; types that concern no request are ignored. */
  addFact (fact: Fact): void {
    if (fact.type === 'acquittal') {
      const known = this.acquittals.get(fact.fingerprint)
      if (known === undefined || known.atMs < fact.atMs) this.acquittals.set(fact.fingerprint, fact)
    }
    if (fact.type !== 'crash' && fact.type !== 'doubt') return
    for (const fingerprint of [...fact.suspects, ...fact.bystanders]) {
      this.crashes.set(fingerprint, (this.crashes.get(fingerprint) ?? new Set()).add(fact))
    }
    if (this.crashes.size > this.sweepThreshold) this.dropExpired()
  }

  /** Number of fingerprints with recorded crashes. */
  get size (): number {
    return this.crashes.size
  }

  private dropExpired (): void {
    for (const [fingerprint, acquittal] of this.acquittals) if (!this.isUnexpired(acquittal)) this.acquittals.delete(fingerprint)
    // Counting drops expired facts as a side effect.
    for (const fingerprint of [...this.crashes.keys()]) this.countCrashes(fingerprint)
    this.sweepThreshold = Math.max(SWEEP_THRESHOLD_FINGERPRINTS, 2 * this.crashes.size)
  }

  /** Determines the quarantine state of a request. */
  classifyRequest (fingerprint: string): QuarantineState {
    return classifyCrashes(this.countCrashes(fingerprint))
  }

  /**
   * Counts the runners that crashed during a request. A crash reported by several daemons counts once, and a possible crash
   * (`doubt`) counts while the registry shows that the runner's incarnation has ended.
   *
   * @example
   * history.countCrashes(request.fingerprint).inAll
   */
  countCrashes (fingerprint: string): CrashCount {
    const facts = this.crashes.get(fingerprint)
    if (facts === undefined) return { asSuspect: 0, inIsolation: 0, inAll: 0 }
    for (const fact of facts) if (!this.isUnexpired(fact)) facts.delete(fact)
    if (facts.size === 0) {
      this.crashes.delete(fingerprint)
      this.acquittals.delete(fingerprint)
    }
    const acquittedAtMs = this.acquittals.get(fingerprint)?.atMs ?? Number.NEGATIVE_INFINITY
    const counted = [...facts].filter((fact) => fact.atMs > acquittedAtMs && (fact.type === 'crash' || this.hasIncarnationEnded(fact)))
    const countIncarnations = (isCounted: (fact: CrashFact) => boolean): number => new Set(counted.filter(isCounted).map(({ runner, bornMs }) => `${runner}/${bornMs}`)).size
    return {
      asSuspect: countIncarnations(({ suspects }) => suspects.includes(fingerprint)),
      inIsolation: countIncarnations(({ isolated }) => isolated.includes(fingerprint)),
      inAll: countIncarnations(() => true)
    }
  }
}
