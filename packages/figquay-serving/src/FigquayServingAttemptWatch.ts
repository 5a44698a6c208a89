/**
 * What became of the runners under attempts that ended badly or without a word. An attempt stays on the watch until its
 * runner has shown that it lives on, or that the process which had it has ended; its request is charged with that end.
 */
import type { Clock } from 'figquay'
import type { CrashFact, FleetRunnerTable, Runner } from 'figquay-fleet'
import { judgeRunner, type RunnerFate } from './FigquayServingRunnerFate.js'
import type { RunnerExchangeClient, RunnerLifeSign } from './FigquayServingTypes.js'

/** What the watch needs. */
export interface AttemptWatchOptions {
  readonly clock: Clock
  readonly table: FleetRunnerTable
  readonly exchanges: Pick<RunnerExchangeClient, 'findLifeSign'>
  /** Told of each end of a runner with requests on the watch; ids and times are added by the listener. */
  readonly reportCrash: (runner: Runner, crash: Pick<CrashFact, 'suspects' | 'isolated' | 'bystanders'>) => void
  /** Told of requests whose runner gives no answer and is listed all the same, once each. */
  readonly reportDoubt: (runner: Runner, crash: Pick<CrashFact, 'suspects' | 'isolated' | 'bystanders'>) => void
  /** Told of each question and its answer. */
  readonly recordQuestion: (message: string, fields: Readonly<Record<string, unknown>>) => void
}

/** One attempt on the watch. */
export interface WatchedAttempt {
  readonly fingerprint: string
  /** Kept apart from all other suspects. */
  readonly isIsolated: boolean
  readonly sentAtMs: number
  firstOutputAtMs: number | undefined
  lastOutputAtMs: number | undefined
  /** Undefined while it is under way. */
  endedAtMs: number | undefined
  /** Its connection broke: bytes of other exchanges don't show that the process which had it lives on. */
  isBroken: boolean
  /** Its doubt has been told. */
  isDoubted: boolean
}

/** One start of a runner with attempts on the watch. */
interface Incarnation {
  readonly runner: Runner
  readonly attempts: Set<WatchedAttempt>
  question: Promise<RunnerFate> | undefined
  askedAtMs: number
}

/** A request that has had output for this long had begun to run well, in milliseconds: one that ends its runner does so as it begins. */
const BEGUN_MS = 500
/** A runner is asked again this long after it gave no clear answer, in milliseconds. */
const ASK_AGAIN_MS = 500
/** A runner that owes an answer is asked after a silence of this length, in milliseconds: questions cost, and any bytes will do. */
const HEARING_MS = 1_000
/** The same while the answer may still come: prompts are read in silence. */
const OPEN_HEARING_MS = 1_500
/** After this time the list of runners would show an end, in milliseconds: the lapse of an entry or a restart, and the reading of the list. */
const UNSURE_MS = 8_000

/** Attempts by runner. */
export class AttemptWatch {
  private readonly incarnations = new Map<string, Incarnation>()

  private constructor (private readonly options: AttemptWatchOptions) {}

  /**
   * @example
   * const watch = AttemptWatch.create(options)
   */
  static create (options: AttemptWatchOptions): AttemptWatch {
    return new AttemptWatch(options)
  }

  /** Attempts that are on the watch, for tests and metrics. */
  get size (): number {
    return [...this.incarnations.values()].reduce((sum, { attempts }) => sum + attempts.size, 0)
  }

  /**
   * Puts an attempt on the watch as it is sent.
   *
   * @example
   * const attempt = watch.addAttempt(runner, request.fingerprint, false)
   */
  addAttempt (runner: Runner, fingerprint: string, isIsolated: boolean): WatchedAttempt {
    const attempt: WatchedAttempt = { fingerprint, isIsolated, sentAtMs: this.options.clock.readMonotonicMs(), isDoubted: false, firstOutputAtMs: undefined, lastOutputAtMs: undefined, endedAtMs: undefined, isBroken: false }
    const key = makeIncarnationKey(runner)
    const incarnation = this.incarnations.get(key) ?? { runner, attempts: new Set(), question: undefined, askedAtMs: Number.NEGATIVE_INFINITY }
    this.incarnations.set(key, incarnation)
    incarnation.attempts.add(attempt)
    return attempt
  }

  /** Notes that output of a request came from its runner. */
  noteOutput (attempt: WatchedAttempt): void {
    const nowMs = this.options.clock.readMonotonicMs()
    attempt.firstOutputAtMs ??= nowMs
    attempt.lastOutputAtMs = nowMs
  }

  /** Whether a request has run well for a while on its runner. */
  hasBegun ({ firstOutputAtMs, lastOutputAtMs }: WatchedAttempt): boolean {
    return firstOutputAtMs !== undefined && lastOutputAtMs! - firstOutputAtMs >= BEGUN_MS
  }

  /** Takes an attempt off the watch: its runner has answered it, or never had it. */
  dropAttempt (runner: Runner, attempt: WatchedAttempt): void {
    const incarnation = this.incarnations.get(makeIncarnationKey(runner))
    attempt.endedAtMs = this.options.clock.readMonotonicMs()
    incarnation?.attempts.delete(attempt)
    this.dropEmpty(incarnation)
  }

  /** Whether it is known how an attempt ended. */
  isSettled ({ endedAtMs }: WatchedAttempt): boolean {
    return endedAtMs !== undefined
  }

  /**
   * Notes that an attempt's connection broke, and asks what became of its runner.
   *
   * @example
   * if (await watch.noteBroken(runner, attempt) === 'ended') return
   */
  async noteBroken (runner: Runner, attempt: WatchedAttempt): Promise<RunnerFate> {
    attempt.endedAtMs = this.options.clock.readMonotonicMs()
    attempt.isBroken = true
    return await this.askRunner(makeIncarnationKey(runner))
  }

  /** Notes that an attempt ended without a word of its runner: its caller left, or its time was over. */
  noteSilent (attempt: WatchedAttempt): void {
    attempt.endedAtMs = this.options.clock.readMonotonicMs()
  }

  /**
   * Looks after the attempts whose runners have not shown what became of them; called again and again.
   *
   * @example
   * tasks.startLoop('attempts', 250, async () => watch.refresh())
   */
  refresh (): void {
    const nowMs = this.options.clock.readMonotonicMs()
    for (const [key, incarnation] of this.incarnations) {
      this.dropSettled(incarnation, nowMs)
      const isDue = [...incarnation.attempts].some((attempt) => this.isUnheard(incarnation.runner, attempt, nowMs))
      if (isDue && nowMs - incarnation.askedAtMs >= ASK_AGAIN_MS) this.askRunner(key)
    }
  }

  private isUnheard (runner: Runner, { sentAtMs, endedAtMs, isBroken, isDoubted }: WatchedAttempt, nowMs: number): boolean {
    if (endedAtMs === undefined && isDoubted) return false
    const heardAtMs = isBroken ? endedAtMs! : Math.max(sentAtMs, this.readHeardAt(runner))
    return nowMs - heardAtMs >= (endedAtMs === undefined ? OPEN_HEARING_MS : HEARING_MS)
  }

  /** When the last bytes came from this start of a runner. */
  private readHeardAt (runner: Runner): number {
    return this.isListed(runner) ? this.options.table.readHeardAt(runner.id) ?? Number.NEGATIVE_INFINITY : Number.NEGATIVE_INFINITY
  }

  /** Bytes that came later show that the runner lived on; so does a list that says nothing else for long enough. */
  private dropSettled (incarnation: Incarnation, nowMs: number): void {
    const { runner, attempts } = incarnation
    const heardAtMs = this.readHeardAt(runner)
    for (const attempt of attempts) {
      if (attempt.endedAtMs === undefined) continue
      const isHeard = !attempt.isBroken && heardAtMs > attempt.endedAtMs
      const isOld = nowMs - attempt.endedAtMs >= UNSURE_MS && this.isListed(runner)
      if (isHeard || isOld) attempts.delete(attempt)
    }
    this.dropEmpty(incarnation)
  }

  private isListed ({ id, bornMs }: Runner): boolean {
    return this.options.table.findRunner(id)?.bornMs === bornMs
  }

  /** One question to a runner at a time; whoever asks meanwhile waits for the same answer. */
  private askRunner (key: string): Promise<RunnerFate> {
    const incarnation = this.incarnations.get(key)
    if (incarnation === undefined) return Promise.resolve('unknown')
    incarnation.question ??= this.judgeIncarnation(incarnation).finally(() => {
      incarnation.question = undefined
    })
    return incarnation.question
  }

  private async judgeIncarnation (incarnation: Incarnation): Promise<RunnerFate> {
    const { clock, exchanges, recordQuestion } = this.options
    const { runner, attempts } = incarnation
    const startedAtMs = clock.readMonotonicMs()
    incarnation.askedAtMs = startedAtMs
    const sign = await exchanges.findLifeSign(runner)
    const fate = this.judgeFate(runner, sign)
    recordQuestion('runner was asked whether it lives', { runner: runner.id, bornMs: runner.bornMs, sign, fate, tookMs: Math.round(clock.readMonotonicMs() - startedAtMs), attempts: attempts.size })
    if (fate === 'unknown') {
      if (sign === 'silent') this.reportDoubt(incarnation, startedAtMs)
      return fate
    }
    if (fate === 'ended') this.options.reportCrash(runner, this.listSuspects([...attempts]))
    for (const attempt of attempts) {
      // What was sent, or broke, after the question was put is not answered by it.
      if (fate !== 'lives' || (attempt.endedAtMs !== undefined && attempt.endedAtMs <= startedAtMs)) attempts.delete(attempt)
    }
    this.dropEmpty(incarnation)
    return fate
  }

  private judgeFate (runner: Runner, sign: RunnerLifeSign): RunnerFate {
    const listed = this.options.table.findRunner(runner.id)
    const listing = listed === undefined ? 'gone' : listed.bornMs === runner.bornMs ? 'listed' : 'restarted'
    return judgeRunner(sign, listing, this.options.table.hasLeft(runner.id, runner.bornMs))
  }

  private reportDoubt ({ runner, attempts }: Incarnation, askedAtMs: number): void {
    const doubted = [...attempts].filter((attempt) => !attempt.isDoubted && attempt.sentAtMs < askedAtMs)
    if (doubted.length === 0) return
    for (const attempt of doubted) attempt.isDoubted = true
    this.options.reportDoubt(runner, this.listSuspects(doubted))
  }

  private listSuspects (attempts: readonly WatchedAttempt[]): Pick<CrashFact, 'suspects' | 'isolated' | 'bystanders'> {
    const isSuspect = (attempt: WatchedAttempt): boolean => !this.hasBegun(attempt)
    const list = (isWanted: (attempt: WatchedAttempt) => boolean): string[] => [...new Set(attempts.filter(isWanted).map(({ fingerprint }) => fingerprint))]
    return {
      suspects: list(isSuspect),
      isolated: list((attempt) => isSuspect(attempt) && attempt.isIsolated),
      bystanders: list((attempt) => !isSuspect(attempt))
    }
  }

  private dropEmpty (incarnation: Incarnation | undefined): void {
    if (incarnation?.attempts.size === 0) this.incarnations.delete(makeIncarnationKey(incarnation.runner))
  }
}

function makeIncarnationKey ({ id, bornMs }: Runner): string {
  return `${id}\n${bornMs}`
}
