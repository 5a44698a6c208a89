/** Decides whether a request that may have crashed runners is sent: alone, without a permit, later, or not at all. */
import type { Clock } from 'figquay'
import type { Runner } from 'figquay-fleet'
import { isSharedKey, listChargeKeys, type CrashHistory, type QuarantineState } from './FigquayServingCrashHistory.js'
import type { PermitReply, PermitRequest } from './FigquayServingSuspectIsolator.js'
import type { ServingTelemetry } from './FigquayServingTelemetry.js'
import type { ServedRequest } from './FigquayServingTypes.js'

/** Dependencies of the gate. */
export interface SuspectGateOptions {
  readonly clock: Clock
  readonly crashHistory: CrashHistory
  /** Acquires the permit that lets at most one suspect request run on a runner, or with a suspected prompt part. */
  readonly acquirePermit: (request: PermitRequest) => Promise<PermitReply>
  readonly releasePermit: (request: PermitRequest) => void
  readonly telemetry: ServingTelemetry
}

/** A request with what the gate knows of it. */
export interface GatedRequest {
  readonly request: ServedRequest
  /** Keys to which crashes under the request are charged. */
  readonly chargeKeys: readonly [string, ...string[]]
  /** Permits that the request holds as a suspect. */
  readonly permits: PermitRequest[]
  /** Monotonic time at which the request, being a suspect, first asked for its permits, in milliseconds. */
  isolationStartedAtMs: number | undefined
}

/** Whether a request runs isolated from other suspects on its runner. */
export type IsolationResult =
  | 'unneeded'
  | PermitReply
  /** It has waited for long enough and is sent without permits. */
  | 'given-up'
  /** It has waited for long enough, but it or a part of its prompt is too likely to crash its runner. */
  | 'withheld'

/** Longest wait of a suspect for its permits, in milliseconds; it is then sent without them, as its caller is waiting. */
const ISOLATION_TIMEOUT_MS = 1_000
/** Characters of a fingerprint in a log line. */
const LOGGED_FINGERPRINT_LENGTH = 12

/** Gate that suspect requests pass before each attempt. */
export class SuspectGate {
  private constructor (private readonly options: SuspectGateOptions) {}

  /**
   * @example
   * const gate = SuspectGate.create(options)
   */
  static create (options: SuspectGateOptions): SuspectGate {
    return new SuspectGate(options)
  }

  /** Prepares a request for the gate. */
  prepareRequest (request: ServedRequest): GatedRequest {
    return { request, chargeKeys: listChargeKeys(request), permits: [], isolationStartedAtMs: undefined }
  }

  /** Determines the quarantine state of a request. */
  classifyRequest ({ chargeKeys }: GatedRequest): QuarantineState {
    return this.options.crashHistory.classifyKeys(chargeKeys)
  }

  /** Finds the key of a quarantined prompt part of a request. */
  findQuarantinedPart ({ chargeKeys }: GatedRequest): string | undefined {
    return chargeKeys.find((key) => isSharedKey(key) && this.options.crashHistory.classifyRequest(key) === 'quarantined')
  }

  /**
   * Isolates a request from other suspects if it is one. Called just before the attempt, as crashes may have been recorded
   * while the request waited for a runner.
   *
   * @example
   * if (await gate.isolateRequest(gated, runner, signal) === 'refused') return
   */
  async isolateRequest (gated: GatedRequest, runner: Runner, signal: AbortSignal): Promise<IsolationResult> {
    const { crashHistory, clock, telemetry } = this.options
    const { request, chargeKeys } = gated
    if (this.classifyRequest(gated) === 'clear') return 'unneeded'
    gated.isolationStartedAtMs ??= clock.readMonotonicMs()
    const reply = await this.acquirePermits(gated, runner)
    if (reply !== 'refused' && (signal.aborted || this.classifyRequest(gated) === 'quarantined')) {
      this.releasePermits(gated)
      return 'refused'
    }
    const isolation = reply === 'refused' ? this.decideWithoutPermits(gated) : reply
    if (isolation !== 'refused') {
      const decision = isolation === 'withheld' ? 'withheld suspect request' : 'sent suspect request'
      telemetry.recordDecision(decision, request, { runner: runner.id, fingerprint: shortenFingerprint(request.fingerprint), isolation, suspectParts: crashHistory.listSuspectParts(chargeKeys), ...crashHistory.countCrashes(request.fingerprint) })
    }
    return isolation
  }

  private decideWithoutPermits ({ chargeKeys, isolationStartedAtMs }: GatedRequest): 'refused' | 'given-up' | 'withheld' {
    const { clock, crashHistory } = this.options
    if (clock.readMonotonicMs() - isolationStartedAtMs! < ISOLATION_TIMEOUT_MS) return 'refused'
    return crashHistory.isOnRetrial(chargeKeys[0]) || crashHistory.listSuspectParts(chargeKeys).some((key) => crashHistory.isStronglySuspected(key)) ? 'withheld' : 'given-up'
  }

  /**
   * A suspect runs alone on its runner, and alone among all requests that share a suspected prompt part; a request on
   * retrial alone among all its copies, too, and only with permits that are confirmed.
   */
  private async acquirePermits (gated: GatedRequest, runner: Runner): Promise<PermitReply> {
    const { crashHistory, acquirePermit } = this.options
    const replies = new Set<PermitReply>()
    const isOnRetrial = crashHistory.isOnRetrial(gated.request.fingerprint)
    for (const subject of [...crashHistory.listSuspectParts(gated.chargeKeys), ...isOnRetrial ? [gated.request.fingerprint] : [], runner.id]) {
      const permit = { runner: subject, requestId: gated.request.id }
      const reply = await acquirePermit(permit)
      if (reply !== 'refused') gated.permits.push(permit)
      if (reply === 'refused' || (isOnRetrial && reply === 'unconfirmed')) {
        this.releasePermits(gated)
        return 'refused'
      }
      replies.add(reply)
    }
    return replies.has('unconfirmed') ? 'unconfirmed' : 'granted'
  }

  /** Releases the permits of a request whose attempt is over. */
  releasePermits ({ permits }: GatedRequest): void {
    for (const permit of permits.splice(0)) this.options.releasePermit(permit)
  }
}

/**
 * Shortens a fingerprint for log lines to a prefix that still tells requests apart.
 *
 * @example
 * shortenFingerprint(request.fingerprint).length // 12
 */
export function shortenFingerprint (fingerprint: string): string {
  return fingerprint.slice(0, LOGGED_FINGERPRINT_LENGTH)
}
