/**
 * Decides whether a daemon is cut off from the runners, as opposed to single runners that fail.
 *
 * Covers these patterns: all links between this daemon and the runners hang, are reset, or refuse connections, while callers
 * and the other daemons reach it; a few runners crash at once; the only runner with an open request pauses for a second.
 */
import type { Clock, LogFields } from 'figquay'
import type { Runner } from 'figquay-fleet'
import { pickRandom } from './FigquayServingRandom.js'
import type { LivenessProbeResult } from './FigquayServingTypes.js'

/** Dependencies of the contact. */
export interface RunnerContactOptions {
  readonly clock: Clock
  readonly listRunners: () => readonly Runner[]
  readonly probeLiveness: (runner: Runner) => Promise<LivenessProbeResult>
  /** Called when the contact is lost or regained. */
  readonly recordChange: (message: string, fields: LogFields) => void
}

/** A request that was sent to a runner. */
export interface OpenExchange {
  readonly sentAtMs: number
}

/** Time without a response from any runner, after a failure, that calls for a check, in milliseconds: with contact, others respond within it. */
const FAILURE_SILENCE_MS = 200
/** The same while a request has no response, in milliseconds: a runner that reads a long prompt sends nothing. */
const REQUEST_SILENCE_MS = 700
/** Wait for a response of any runner before runners are probed, in milliseconds. */
const CONFIRMATION_WAIT_MS = 50
/** Further runners that are probed if the first one doesn't answer: so many rarely crash together. */
const FURTHER_PROBES = 2
/** Shortest interval between two checks, in milliseconds; the interval while the daemon is cut off. */
const CHECK_INTERVAL_MS = 500

/** Contact of one daemon with the runners. */
export class RunnerContact {
  private readonly openExchanges = new Set<OpenExchange>()
  private lastResponseAtMs: number
  /** Time of the first failure since the last response; undefined if there was none. */
  private failedAtMs: number | undefined
  private lostAtMs: number | undefined
  private lastCheckAtMs = Number.NEGATIVE_INFINITY
  private check: Promise<boolean> | undefined

  private constructor (private readonly options: RunnerContactOptions) {
    this.lastResponseAtMs = options.clock.readMonotonicMs()
  }

  /**
   * @example
   * const contact = RunnerContact.create({ clock, listRunners, probeLiveness, recordChange })
   */
  static create (options: RunnerContactOptions): RunnerContact {
    return new RunnerContact(options)
  }

  /** Whether no runner can be reached from here. */
  get isLost (): boolean {
    return this.lostAtMs !== undefined
  }

  /** Notes that a request is sent to a runner. */
  noteSent (): OpenExchange {
    const exchange: OpenExchange = { sentAtMs: this.options.clock.readMonotonicMs() }
    this.openExchanges.add(exchange)
    return exchange
  }

  /** Notes that a runner has sent something. An answer to a request from before the loss may have been on its way. */
  noteResponse (exchange: OpenExchange): void {
    this.openExchanges.delete(exchange)
    this.lastResponseAtMs = this.options.clock.readMonotonicMs()
    this.failedAtMs = undefined
    if (this.lostAtMs !== undefined && exchange.sentAtMs > this.lostAtMs) this.restoreContact('response')
  }

  /** Notes that an exchange has ended. */
  noteEnd (exchange: OpenExchange): void {
    this.openExchanges.delete(exchange)
  }

  /** Notes that an exchange failed although its runner is listed: the connection wasn't established, or was lost. */
  noteFailure (exchange: OpenExchange): void {
    this.openExchanges.delete(exchange)
    this.failedAtMs ??= this.options.clock.readMonotonicMs()
  }

  /**
   * Starts a check where one is due; called periodically.
   *
   * @example
   * tasks.startLoop('contact', 100, async () => contact.refresh())
   */
  refresh (): void {
    const nowMs = this.options.clock.readMonotonicMs()
    if (nowMs - this.lastCheckAtMs < CHECK_INTERVAL_MS || this.check !== undefined) return
    if (this.isLost || this.hasLongSilence(nowMs)) this.checkContact()
  }

  private hasLongSilence (nowMs: number): boolean {
    if (this.failedAtMs !== undefined && nowMs - this.failedAtMs >= FAILURE_SILENCE_MS) return true
    if (nowMs - this.lastResponseAtMs < REQUEST_SILENCE_MS) return false
    for (const { sentAtMs } of this.openExchanges) if (nowMs - sentAtMs >= REQUEST_SILENCE_MS) return true
    return false
  }

  /**
   * Resolves with whether a runner is reached after a refused connection, so that the refusal is that of one runner: at once
   * if another responds meanwhile, otherwise after a check.
   *
   * @example
   * if (!await contact.confirmContact()) return 'unknown'
   */
  async confirmContact (): Promise<boolean> {
    const { clock } = this.options
    const startedAtMs = clock.readMonotonicMs()
    await clock.waitFor(CONFIRMATION_WAIT_MS)
    return (!this.isLost && this.lastResponseAtMs > startedAtMs) || await this.checkContact()
  }

  /**
   * Probes some runners; resolves with whether one has responded. Concurrent callers share a check.
   *
   * @example
   * const hasContact = await contact.checkContact()
   */
  private checkContact (): Promise<boolean> {
    this.check ??= this.probeRunners().finally(() => {
      this.check = undefined
    })
    return this.check
  }

  private async probeRunners (): Promise<boolean> {
    const { clock, listRunners, probeLiveness, recordChange } = this.options
    const startedAtMs = clock.readMonotonicMs()
    this.lastCheckAtMs = startedAtMs
    const [first, ...further] = pickRandom(listRunners(), this.isLost ? 1 : 1 + FURTHER_PROBES)
    // Without a runner in the list there is nothing to lose contact with.
    if (first === undefined) return true
    const results = [await probeLiveness(first)]
    if (!hasAnswer(results)) results.push(...await Promise.all(further.map(probeLiveness)))
    const hasContact = hasAnswer(results) || this.lastResponseAtMs > startedAtMs
    if (hasContact) {
      this.lastResponseAtMs = clock.readMonotonicMs()
      this.failedAtMs = undefined
      if (this.isLost) this.restoreContact('probe')
    } else if (!this.isLost) {
      this.lostAtMs = clock.readMonotonicMs()
      recordChange('no runner can be reached from here; requests are forwarded to other daemons', { probed: [first, ...further].map(({ id }) => id), results, lastResponseAgeMs: Math.round(this.lostAtMs - this.lastResponseAtMs) })
    }
    return hasContact
  }

  private restoreContact (by: 'probe' | 'response'): void {
    const { clock, recordChange } = this.options
    recordChange('runners can be reached again', { by, lostForMs: Math.round(clock.readMonotonicMs() - this.lostAtMs!) })
    this.lostAtMs = undefined
    this.failedAtMs = undefined
  }
}

function hasAnswer (results: readonly LivenessProbeResult[]): boolean {
  return results.some((result) => result !== 'refused' && result !== 'silent')
}
