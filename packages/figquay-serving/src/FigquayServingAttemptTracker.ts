/**
 * Detects runner crashes behind attempts that failed or got no response. An attempt is tracked until its runner is known to
 * be alive or the runner process that received it has ended; the crash is then attributed to the request.
 */
import type { Clock } from 'figquay'
import type { CrashFact, FleetRunnerTable, Runner } from 'figquay-fleet'
import { isPartKey } from './FigquayServingCrashHistory.js'
import { determineLiveness, type RunnerLiveness } from './FigquayServingRunnerLiveness.js'
import { shortenFingerprint } from './FigquayServingSuspectGate.js'
import type { RunnerExchangeClient, LivenessProbeResult } from './FigquayServingTypes.js'

/** Dependencies of the attempt tracker. */
export interface AttemptTrackerOptions {
  readonly clock: Clock
  readonly table: FleetRunnerTable
  readonly exchanges: Pick<RunnerExchangeClient, 'probeLiveness'>
  /** Whether this daemon reaches runners at all; if not, a refused connection doesn't show that a runner has ended. */
  readonly confirmContact: () => Promise<boolean>
  /** Called for each crash of a runner with tracked attempts; the callback adds the fact's id and time. */
  readonly reportCrash: (runner: Runner, crash: Pick<CrashFact, 'suspects' | 'isolated' | 'bystanders'>) => void
  /** Called once for each attempt whose runner does not respond to probes but is still registered: it may have crashed. */
  readonly reportPossibleCrash: (runner: Runner, crash: Pick<CrashFact, 'suspects' | 'isolated' | 'bystanders'>) => void
  /** Whether a request with a prompt part has been answered since a time (monotonic, in milliseconds), so that the part is not to blame. */
  readonly hasPartSucceeded: (partKey: string, sinceMs: number) => boolean
  /** Called for each liveness probe with its result, and for attempts that are dropped without a verdict. */
  readonly recordProbe: (message: string, fields: Readonly<Record<string, unknown>>) => void
}

/** A tracked attempt. */
export interface TrackedAttempt {
  readonly fingerprint: string
  /** Keys of its content and prompt parts, to which a crash may be charged as well. */
  readonly partKeys: readonly string[]
  /** It runs isolated from all other suspects. */
  readonly isIsolated: boolean
  readonly sentAtMs: number
  firstOutputAtMs: number | undefined
  lastOutputAtMs: number | undefined
  /** Undefined while it is in flight. */
  endedAtMs: number | undefined
  /** Its connection was lost; bytes of other exchanges then do not show that the runner process is still alive. */
  hasLostConnection: boolean
  /** A possible crash has been reported for it. */
  isPossibleCrashReported: boolean
}

/** One incarnation (process start) of a runner, with its tracked attempts. */
interface Incarnation {
  readonly runner: Runner
  readonly attempts: Set<TrackedAttempt>
  probe: Promise<RunnerLiveness> | undefined
  probedAtMs: number
}

/** Time between first and last output after which output is stable, in milliseconds: a poison request crashes its runner as it begins. */
const STABLE_OUTPUT_MS = 500
/** Shortest interval between two probes of a runner, in milliseconds. */
const PROBE_INTERVAL_MS = 500
/** Silence of a runner before it is probed for an ended attempt, in milliseconds: probes have a cost, and any bytes make one unnecessary. */
const ENDED_PROBE_SILENCE_MS = 1_000
/** The same for an attempt in flight, in milliseconds: a runner sends nothing while it processes a prompt. */
const OPEN_PROBE_SILENCE_MS = 1_500
/** Time after which a runner that is still registered counts as alive, in milliseconds: its entry would have expired or shown a restart by then. */
const UNRESOLVED_EXPIRY_MS = 8_000

/** Attempts that one log line names. */
const MAX_LOGGED_ATTEMPTS = 8

/** A prompt part with an answer within this time before a crash is not charged with it, in milliseconds. */
export const PART_SUCCESS_WINDOW_MS = 2_000

/**
 * Selects the prompt parts of an attempt that are charged with the crash of its runner: those with which no request was
 * ever answered here or, if there are none, those with no recent answer. So parts that many requests share are rarely
 * charged, and few charges remain that peers have to clear.
 *
 * @param sentAtMs Monotonic time at which the attempt was sent, in milliseconds.
 * @example
 * selectChargedParts(['part/known', 'part/new'], 5_000, (key) => key === 'part/known') // ['part/new']
 */
export function selectChargedParts (partKeys: readonly string[], sentAtMs: number, hasSucceededSince: (key: string, sinceMs: number) => boolean): string[] {
  const untried = partKeys.filter((key) => !hasSucceededSince(key, Number.NEGATIVE_INFINITY))
  return untried.length > 0 ? untried : partKeys.filter((key) => !hasSucceededSince(key, sentAtMs - PART_SUCCESS_WINDOW_MS))
}

/** Tracks attempts by runner incarnation. */
export class AttemptTracker {
  private readonly incarnations = new Map<string, Incarnation>()

  private constructor (private readonly options: AttemptTrackerOptions) {}

  /**
   * @example
   * const tracker = AttemptTracker.create(options)
   */
  static create (options: AttemptTrackerOptions): AttemptTracker {
    return new AttemptTracker(options)
  }

  /** Number of tracked attempts, for tests and metrics. */
  get size (): number {
    return [...this.incarnations.values()].reduce((sum, { attempts }) => sum + attempts.size, 0)
  }

  /**
   * Starts tracking an attempt that is being sent.
   *
   * @example
   * const attempt = tracker.trackAttempt(runner, listChargeKeys(request), false)
   */
  trackAttempt (runner: Runner, [fingerprint, ...partKeys]: readonly [string, ...string[]], isIsolated: boolean): TrackedAttempt {
    const attempt: TrackedAttempt = { fingerprint, partKeys, isIsolated, sentAtMs: this.options.clock.readMonotonicMs(), isPossibleCrashReported: false, firstOutputAtMs: undefined, lastOutputAtMs: undefined, endedAtMs: undefined, hasLostConnection: false }
    const key = makeIncarnationKey(runner)
    const incarnation = this.incarnations.get(key) ?? { runner, attempts: new Set(), probe: undefined, probedAtMs: Number.NEGATIVE_INFINITY }
    this.incarnations.set(key, incarnation)
    incarnation.attempts.add(attempt)
    return attempt
  }

  /** Notes that an attempt received output from its runner. */
  noteOutput (attempt: TrackedAttempt): void {
    const nowMs = this.options.clock.readMonotonicMs()
    attempt.firstOutputAtMs ??= nowMs
    attempt.lastOutputAtMs = nowMs
  }

  /** Whether the attempt had output for long enough that its request is unlikely to crash the runner. */
  hasStableOutput ({ firstOutputAtMs, lastOutputAtMs }: TrackedAttempt): boolean {
    return firstOutputAtMs !== undefined && lastOutputAtMs! - firstOutputAtMs >= STABLE_OUTPUT_MS
  }

  /** Stops tracking an attempt that its runner responded to or never received. */
  untrackAttempt (runner: Runner, attempt: TrackedAttempt): void {
    const incarnation = this.incarnations.get(makeIncarnationKey(runner))
    attempt.endedAtMs = this.options.clock.readMonotonicMs()
    incarnation?.attempts.delete(attempt)
    this.dropEmpty(incarnation)
  }

  /** Whether an attempt has ended. */
  hasEnded ({ endedAtMs }: TrackedAttempt): boolean {
    return endedAtMs !== undefined
  }

  /**
   * Notes that an attempt lost its connection, and probes its runner.
   *
   * @example
   * if (await tracker.noteConnectionLoss(runner, attempt) === 'ended') return
   */
  async noteConnectionLoss (runner: Runner, attempt: TrackedAttempt): Promise<RunnerLiveness> {
    attempt.endedAtMs = this.options.clock.readMonotonicMs()
    attempt.hasLostConnection = true
    return await this.probeRunner(makeIncarnationKey(runner))
  }

  /** Notes that an attempt ended without a response: its caller disconnected or it timed out. */
  noteUnanswered (attempt: TrackedAttempt): void {
    attempt.endedAtMs = this.options.clock.readMonotonicMs()
  }

  /**
   * Drops attempts whose runners are known to be alive, and probes the runners of others; called periodically.
   *
   * @example
   * tasks.startLoop('attempts', 250, async () => tracker.refresh())
   */
  refresh (): void {
    const nowMs = this.options.clock.readMonotonicMs()
    for (const [key, incarnation] of this.incarnations) {
      this.dropResolved(incarnation, nowMs)
      const isDue = [...incarnation.attempts].some((attempt) => this.needsProbe(incarnation.runner, attempt, nowMs))
      if (isDue && nowMs - incarnation.probedAtMs >= PROBE_INTERVAL_MS) this.probeRunner(key)
    }
  }

  private needsProbe (runner: Runner, { sentAtMs, endedAtMs, hasLostConnection, isPossibleCrashReported }: TrackedAttempt, nowMs: number): boolean {
    if (endedAtMs === undefined && isPossibleCrashReported) return false
    const lastActivityAtMs = hasLostConnection ? endedAtMs! : Math.max(sentAtMs, this.readLastActivityAt(runner))
    return nowMs - lastActivityAtMs >= (endedAtMs === undefined ? OPEN_PROBE_SILENCE_MS : ENDED_PROBE_SILENCE_MS)
  }

  /** Monotonic time of the last bytes from this incarnation of a runner, in milliseconds; infinitely long ago if unknown. */
  private readLastActivityAt (runner: Runner): number {
    return this.isRegistered(runner) ? this.options.table.readLastActivityMs(runner.id) ?? Number.NEGATIVE_INFINITY : Number.NEGATIVE_INFINITY
  }

  /** Drops attempts whose runner has sent bytes since they ended, or has stayed registered for long enough. */
  private dropResolved (incarnation: Incarnation, nowMs: number): void {
    const { runner, attempts } = incarnation
    const lastActivityAtMs = this.readLastActivityAt(runner)
    const dropped = [...attempts].filter(({ endedAtMs, hasLostConnection }) => {
      if (endedAtMs === undefined) return false
      const hasRunnerResponded = !hasLostConnection && lastActivityAtMs > endedAtMs
      const hasExpired = nowMs - endedAtMs >= UNRESOLVED_EXPIRY_MS && this.isRegistered(runner)
      return hasRunnerResponded || hasExpired
    })
    if (dropped.length === 0) return
    for (const attempt of dropped) attempts.delete(attempt)
    this.options.recordProbe('attempts without an answer are no longer tracked', { runner: runner.id, bornMs: runner.bornMs, attempts: dropped.length, fingerprints: dropped.slice(0, MAX_LOGGED_ATTEMPTS).map(({ fingerprint }) => shortenFingerprint(fingerprint)), lastActivityAgeMs: Math.round(nowMs - lastActivityAtMs) })
    this.dropEmpty(incarnation)
  }

  private isRegistered ({ id, bornMs }: Runner): boolean {
    return this.options.table.findRunner(id)?.bornMs === bornMs
  }

  /** Probes a runner; concurrent callers share one probe. */
  private probeRunner (key: string): Promise<RunnerLiveness> {
    const incarnation = this.incarnations.get(key)
    if (incarnation === undefined) return Promise.resolve('unknown')
    incarnation.probe ??= this.probeIncarnation(incarnation).finally(() => {
      incarnation.probe = undefined
    })
    return incarnation.probe
  }

  private async probeIncarnation (incarnation: Incarnation): Promise<RunnerLiveness> {
    const { clock, exchanges, recordProbe, confirmContact } = this.options
    const { runner, attempts } = incarnation
    const startedAtMs = clock.readMonotonicMs()
    incarnation.probedAtMs = startedAtMs
    const firstResult = await exchanges.probeLiveness(runner)
    const probeResult = firstResult === 'refused' && !await confirmContact() ? 'silent' : firstResult
    const liveness = this.assessLiveness(runner, probeResult)
    recordProbe('runner was asked whether it lives', { runner: runner.id, bornMs: runner.bornMs, sign: probeResult, fate: liveness, tookMs: Math.round(clock.readMonotonicMs() - startedAtMs), attempts: attempts.size })
    if (liveness === 'unknown') {
      if (probeResult === 'silent') this.reportPossibleCrash(incarnation, startedAtMs)
      return liveness
    }
    if (liveness === 'ended') this.options.reportCrash(runner, this.classifyAttempts([...attempts]))
    for (const attempt of attempts) {
      // A probe that finds the runner alive settles only the attempts that ended before it began.
      if (liveness !== 'lives' || (attempt.endedAtMs !== undefined && attempt.endedAtMs <= startedAtMs)) attempts.delete(attempt)
    }
    this.dropEmpty(incarnation)
    return liveness
  }

  private assessLiveness (runner: Runner, probeResult: LivenessProbeResult): RunnerLiveness {
    const registered = this.options.table.findRunner(runner.id)
    const registryStatus = registered === undefined ? 'gone' : registered.bornMs === runner.bornMs ? 'listed' : 'restarted'
    return determineLiveness(probeResult, registryStatus, this.options.table.isMarkedLeaving(runner.id, runner.bornMs))
  }

  private reportPossibleCrash ({ runner, attempts }: Incarnation, probedAtMs: number): void {
    const unreported = [...attempts].filter((attempt) => !attempt.isPossibleCrashReported && attempt.sentAtMs < probedAtMs)
    if (unreported.length === 0) return
    for (const attempt of unreported) attempt.isPossibleCrashReported = true
    this.options.reportPossibleCrash(runner, this.classifyAttempts(unreported))
  }

  private classifyAttempts (attempts: readonly TrackedAttempt[]): Pick<CrashFact, 'suspects' | 'isolated' | 'bystanders'> {
    const isSuspect = (attempt: TrackedAttempt): boolean => !this.hasStableOutput(attempt)
    const suspects = attempts.filter(isSuspect)
    const listKeys = (charged: readonly TrackedAttempt[]): string[] => [...new Set(charged.flatMap((attempt) => [attempt.fingerprint, ...this.listChargedParts(attempt)]))]
    return {
      suspects: listKeys(suspects),
      isolated: listKeys(suspects.filter((attempt) => attempt.isIsolated)),
      bystanders: [...new Set(attempts.filter((attempt) => !isSuspect(attempt)).map(({ fingerprint }) => fingerprint))]
    }
  }

  private listChargedParts ({ partKeys, sentAtMs }: TrackedAttempt): string[] {
    // A content is always charged, as a fingerprint is: there is no other to blame in its place.
    const contentKeys = partKeys.filter((key) => !isPartKey(key))
    return [...contentKeys, ...selectChargedParts(partKeys.filter(isPartKey), sentAtMs, (key, sinceMs) => this.options.hasPartSucceeded(key, sinceMs))]
  }

  private dropEmpty (incarnation: Incarnation | undefined): void {
    if (incarnation?.attempts.size === 0) this.incarnations.delete(makeIncarnationKey(incarnation.runner))
  }
}

function makeIncarnationKey ({ id, bornMs }: Runner): string {
  return `${id}\n${bornMs}`
}
