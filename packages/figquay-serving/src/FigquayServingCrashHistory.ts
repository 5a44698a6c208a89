/**
 * Detects poison requests, which crash the runners that execute them, from the facts that the daemons share. No clock, no I/O.
 *
 * Covers these patterns: runners crash under a request that its caller sends to any daemon again and again, while other
 * requests run beside it; requests that differ in everything but one prompt part, which crashes their runners; runners
 * crash for other reasons, several times during one long stream that is not the cause; and all runners of a service go down
 * at once while callers repeat the same few requests.
 */
import type { AcquittalFact, CrashFact, Fact } from 'figquay-fleet'
import type { ServedRequest } from './FigquayServingTypes.js'

/** Quarantine state of a request. */
export type QuarantineState =
  /** No crashes, or too few to isolate it from other requests. */
  | 'clear'
  /** A runner crashed before the request had stable output: it may run, but isolated from other suspects. */
  | 'suspect'
  /** It has crashed too many runners and is refused; if it was answered before that, it is a suspect again after a while. */
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

/** Crashes after which a prompt part is quarantined if one was in isolation: one more than for a request, as many requests share it. */
const PART_QUARANTINE_CRASHES_WITH_ISOLATION = 3
/** Crashes after which a prompt part is quarantined, whatever ran beside it: the users' rules allow five. */
const PART_QUARANTINE_CRASHES = 4
/** Crashes after which a request with a suspected prompt part is refused rather than sent without isolation. */
const STRONG_SUSPICION_CRASHES = 2
/** Time after the last crash at which one request with a quarantined prompt part is tried again, in milliseconds: the part may be blameless. */
const RETRIAL_DELAY_MS = 10_000
/** Factor by which that time grows with each further crash. */
const RETRIAL_BACKOFF = 6
const PART_KEY_PREFIX = 'part/'
const CONTENT_KEY_PREFIX = 'content/'

/**
 * Lists the keys under which crashes are charged to a request: its fingerprint, its content, and its prompt parts but the
 * last, which belongs to the request or its session alone.
 *
 * @example
 * listChargeKeys({ fingerprint: 'f', parts: [{ id: 'a', tokens: 9 }, { id: 'own', tokens: 9 }] }) // ['f', 'part/a']
 */
export function listChargeKeys ({ fingerprint, contentDigest, parts }: Pick<ServedRequest, 'fingerprint' | 'contentDigest' | 'parts'>): [string, ...string[]] {
  return [fingerprint, ...contentDigest === undefined ? [] : [`${CONTENT_KEY_PREFIX}${contentDigest}`], ...new Set(parts.slice(0, -1).map(({ id }) => `${PART_KEY_PREFIX}${id}`))]
}

/** Whether a key stands for a prompt part rather than a whole request. */
export function isPartKey (key: string): boolean {
  return key.startsWith(PART_KEY_PREFIX)
}

/** Whether requests of several callers may have a key in common: that of a prompt part, or of their content. */
export function isSharedKey (key: string): boolean {
  return isPartKey(key) || key.startsWith(CONTENT_KEY_PREFIX)
}

/** Time after the last crash before a prompt part, or a request that was answered before, is tried again, in milliseconds. */
function computeRetrialDelayMs (furtherCrashes: number): number {
  return RETRIAL_DELAY_MS * RETRIAL_BACKOFF ** furtherCrashes
}

function classifyPartCrashes ({ asSuspect, inIsolation }: CrashCount, sinceLastCrashMs: number): QuarantineState {
  const maxCrashes = inIsolation > 0 ? PART_QUARANTINE_CRASHES_WITH_ISOLATION : PART_QUARANTINE_CRASHES
  const retrialDelayMs = computeRetrialDelayMs(Math.max(0, asSuspect - maxCrashes))
  if (asSuspect >= maxCrashes && sinceLastCrashMs < retrialDelayMs) return 'quarantined'
  return asSuspect > 0 ? 'suspect' : 'clear'
}

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

/** Answered requests that are remembered: those of a daemon in a quarter of an hour. */
const MAX_ANSWERED = 4_000

/** Crashes and acquittals by request fingerprint; an acquittal cancels the crashes before it, as the request has completed since. */
export class CrashHistory {
  private readonly crashes = new Map<string, Set<CrashFact>>()
  /** Newest acquittal by time, by fingerprint. */
  private readonly acquittals = new Map<string, AcquittalFact>()
  /** Processes whose crashes don't count, by fingerprint. */
  private readonly acquittedIncarnations = new Map<string, Set<string>>()
  /** Fingerprints of requests that this daemon has seen answered whole, oldest first: several runners may end at once for another reason. */
  private readonly answered = new Set<string>()
  private sweepThreshold = SWEEP_THRESHOLD_FINGERPRINTS

  private constructor (private readonly isUnexpired: (fact: Fact) => boolean, private readonly hasIncarnationEnded: (fact: CrashFact) => boolean, private readonly measureAgeMs: (fact: CrashFact) => number) {}

  /**
   * @param measureAgeMs Time since a crash, in milliseconds.
   * @example
   * const history = CrashHistory.create((fact) => facts.isUnexpired(fact), ({ runner, bornMs }) => table.findRunner(runner)?.bornMs !== bornMs)
   */
  static create (isUnexpired: (fact: Fact) => boolean, hasIncarnationEnded: (fact: CrashFact) => boolean, measureAgeMs: (fact: CrashFact) => number = () => 0): CrashHistory {
    return new CrashHistory(isUnexpired, hasIncarnationEnded, measureAgeMs)
  }

  /** Adds a fact; types that concern no request are ignored. */
  addFact (fact: Fact): void {
    if (fact.type === 'acquittal' && fact.incarnations !== undefined) {
      this.acquittedIncarnations.set(fact.fingerprint, new Set([...this.acquittedIncarnations.get(fact.fingerprint) ?? [], ...fact.incarnations]))
    } else if (fact.type === 'acquittal') {
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
    for (const fingerprint of this.acquittedIncarnations.keys()) if (!this.crashes.has(fingerprint)) this.acquittedIncarnations.delete(fingerprint)
    this.sweepThreshold = Math.max(SWEEP_THRESHOLD_FINGERPRINTS, 2 * this.crashes.size)
  }

  /** Determines the quarantine state of a request, or of a prompt part, by its key. */
  classifyRequest (key: string): QuarantineState {
    const count = this.countCrashes(key)
    const sinceLastCrashMs = Math.min(...this.listCountedFacts(key).map(this.measureAgeMs))
    if (isSharedKey(key)) return classifyPartCrashes(count, sinceLastCrashMs)
    const state = classifyCrashes(count)
    return state === 'quarantined' && this.answered.has(key) && sinceLastCrashMs >= computeRetrialDelayMs(count.inIsolation) ? 'suspect' : state
  }

  /** Determines the quarantine state of a request by all its keys: the worst of them counts. */
  classifyKeys (keys: readonly string[]): QuarantineState {
    const states = new Set(keys.map((key) => this.classifyRequest(key)))
    if (states.has('quarantined')) return 'quarantined'
    return states.has('suspect') ? 'suspect' : 'clear'
  }

  /** Prompt parts and contents among the keys that are under suspicion. */
  listSuspectParts (keys: readonly string[]): string[] {
    return keys.filter((key) => isSharedKey(key) && this.classifyRequest(key) !== 'clear')
  }

  /** Records that a request was answered whole by a runner. */
  noteAnswered (fingerprint: string): void {
    this.answered.delete(fingerprint)
    this.answered.add(fingerprint)
    if (this.answered.size > MAX_ANSWERED) this.answered.delete(this.answered.values().next().value!)
  }

  /** Whether a request has crashed too many runners, but is tried again as it was answered before. */
  isOnRetrial (fingerprint: string): boolean {
    return classifyCrashes(this.countCrashes(fingerprint)) === 'quarantined' && this.classifyRequest(fingerprint) === 'suspect'
  }

  /** Whether crashes point so strongly to a prompt part that no request with it is sent without isolation. */
  isStronglySuspected (partKey: string): boolean {
    return this.countCrashes(partKey).asSuspect >= STRONG_SUSPICION_CRASHES
  }

  /** Processes whose crashes count against a key, as `runner/bornMs`. */
  listIncarnations (key: string): string[] {
    return [...new Set(this.listCountedFacts(key).map(makeIncarnationName))]
  }

  /**
   * Counts the runners that crashed during a request. A crash reported by several daemons counts once, and a possible crash
   * (`doubt`) counts while the registry shows that the runner's incarnation has ended.
   *
   * @example
   * history.countCrashes(request.fingerprint).inAll
   */
  countCrashes (fingerprint: string): CrashCount {
    const counted = this.listCountedFacts(fingerprint)
    const countIncarnations = (isCounted: (fact: CrashFact) => boolean): number => new Set(counted.filter(isCounted).map(makeIncarnationName)).size
    return {
      asSuspect: countIncarnations(({ suspects }) => suspects.includes(fingerprint)),
      inIsolation: countIncarnations(({ isolated }) => isolated.includes(fingerprint)),
      inAll: countIncarnations(() => true)
    }
  }

  private listCountedFacts (fingerprint: string): CrashFact[] {
    const facts = this.crashes.get(fingerprint)
    if (facts === undefined) return []
    for (const fact of facts) if (!this.isUnexpired(fact)) facts.delete(fact)
    if (facts.size === 0) {
      this.crashes.delete(fingerprint)
      this.acquittals.delete(fingerprint)
      this.acquittedIncarnations.delete(fingerprint)
    }
    const acquittedIncarnations = this.acquittedIncarnations.get(fingerprint)
    const acquittedAtMs = this.acquittals.get(fingerprint)?.atMs ?? Number.NEGATIVE_INFINITY
    return [...facts].filter((fact) => fact.atMs > acquittedAtMs && acquittedIncarnations?.has(makeIncarnationName(fact)) !== true && (fact.type === 'crash' || this.hasIncarnationEnded(fact)))
  }
}

function makeIncarnationName ({ runner, bornMs }: CrashFact): string {
  return `${runner}/${bornMs}`
}
