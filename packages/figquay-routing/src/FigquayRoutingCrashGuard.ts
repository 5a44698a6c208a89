/** Finds requests that crash upstreams: what was in flight at two crashes is refused from then on. */

/** One crash charged to one request; sent to all peers at once. */
export interface CrashAttribution {
  readonly fingerprint: string
  /** Upstream that crashed, with its boot id. */
  readonly upstream: string
}

interface ChargeEntry {
  /** Time of the charge by upstream. */
  readonly upstreams: ReadonlyMap<string, number>
  readonly chargedAtMs: number
}

const CHARGES_TO_QUARANTINE = 2
/** After this time every daemon knows of a charge, in milliseconds. */
const PROPAGATION_MS = 250
const FORGET_AFTER_MS = 600_000

/** Charges by fingerprint. */
export class CrashQuarantine {
  private readonly entries = new Map<string, ChargeEntry>()

  /**
   * @example
   * const guard = CrashGuard.create()
   */
  static create (): CrashQuarantine {
    return new CrashQuarantine()
  }

  /**
   * Charges a request with a crash; the same crash counts once, and is no news the second time.
   *
   * @example
   * guard.addCharge({ fingerprint, upstream: 'engine-2/boot-7' }, nowMs)
   */
  recordCrash (charge: CrashAttribution, nowMs: number): boolean {
    const known = this.entries.get(charge.fingerprint)?.upstreams
    const isNew = known?.has(charge.upstream) !== true
    const chargedAtMs = isNew ? nowMs : this.entries.get(charge.fingerprint)!.chargedAtMs
    this.entries.set(charge.fingerprint, { upstreams: new Map(known).set(charge.upstream, nowMs), chargedAtMs })
    return isNew
  }

  /**
   * Takes charges back when the same process turns out to be alive: only its connections had broken.
   * True when there were some.
   *
   * @param requestedAtMs When its report was asked for; later charges stand.
   * @example
   * guard.clearUpstream('engine-2/boot-7', report.requestedAtMs)
   */
  clearUpstream (upstream: string, requestedAtMs: number): boolean {
    let hasCleared = false
    for (const [fingerprint, entry] of this.entries) {
      const chargedAtMs = entry.upstreams.get(upstream)
      if (chargedAtMs === undefined || chargedAtMs >= requestedAtMs) continue
      hasCleared = true
      const upstreams = new Map(entry.upstreams)
      upstreams.delete(upstream)
      if (upstreams.size === 0) this.entries.delete(fingerprint)
      else this.entries.set(fingerprint, { ...entry, upstreams })
    }
    return hasCleared
  }

  /** Whether a request was in flight at a crash. */
  isCharged (fingerprint: string, nowMs: number): boolean {
    return this.countCharges(fingerprint, nowMs) > 0
  }

  /**
   * Whether a charge is so fresh that copies of the request which crashed the upstream may still run unsuspected
   * elsewhere. What was in flight beside it waits until they are known, or it would be charged with their next crash.
   *
   * @example
   * if (guard.isPropagating(request.fingerprint, nowMs)) return undefined
   */
  isPropagating (fingerprint: string, nowMs: number): boolean {
    const chargedAtMs = this.entries.get(fingerprint)?.chargedAtMs ?? Number.NEGATIVE_INFINITY
    return nowMs - chargedAtMs < PROPAGATION_MS
  }

  /**
   * Takes all charges off a request that was answered whole.
   *
   * @example
   * guard.clearRequest(request.fingerprint)
   */
  clearRequest (fingerprint: string): void {
    this.entries.delete(fingerprint)
  }

  /** Whether a request is no longer sent to any upstream. */
  isQuarantined (fingerprint: string, nowMs: number): boolean {
    return this.countCharges(fingerprint, nowMs) >= CHARGES_TO_QUARANTINE
  }

  private countCharges (fingerprint: string, nowMs: number): number {
    const entry = this.entries.get(fingerprint)
    if (entry === undefined) return 0
    if (nowMs - entry.chargedAtMs < FORGET_AFTER_MS) return entry.upstreams.size
    this.entries.delete(fingerprint)
    return 0
  }
}
