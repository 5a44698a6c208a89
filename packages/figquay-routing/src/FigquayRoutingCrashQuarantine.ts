/** Quarantines requests that crash upstreams: a request that was in flight at two crashes is refused. */

/** Attribution of one crash to one request; broadcast to all peers. */
export interface CrashAttribution {
  readonly fingerprint: string
  /** Crashed upstream process, as `runner/bootId`. */
  readonly upstream: string
}

interface SuspectEntry {
  /** Latest time at which each crash was reported. */
  readonly reportedAtMsByUpstream: ReadonlyMap<string, number>
  /** Time at which the latest new crash was recorded. */
  readonly lastCrashAtMs: number
}

const QUARANTINE_CRASH_COUNT = 2
/** Time within which an attribution reaches every daemon, in milliseconds. */
const PROPAGATION_DELAY_MS = 250
const SUSPECT_TTL_MS = 600_000

/** Crashes attributed to requests, by request fingerprint. */
export class CrashQuarantine {
  private readonly entries = new Map<string, SuspectEntry>()

  /**
   * @example
   * const quarantine = CrashQuarantine.create()
   */
  static create (): CrashQuarantine {
    return new CrashQuarantine()
  }

  /**
   * Records a crash against a request; true when it was not known yet. The same crash counts once.
   *
   * @example
   * const isNew = quarantine.recordCrash({ fingerprint, upstream: 'engine-2/boot-7' }, nowMs)
   */
  recordCrash (attribution: CrashAttribution, nowMs: number): boolean {
    const known = this.entries.get(attribution.fingerprint)?.reportedAtMsByUpstream
    const isNew = known?.has(attribution.upstream) !== true
    const lastCrashAtMs = isNew ? nowMs : this.entries.get(attribution.fingerprint)!.lastCrashAtMs
    this.entries.set(attribution.fingerprint, { reportedAtMsByUpstream: new Map(known).set(attribution.upstream, nowMs), lastCrashAtMs })
    return isNew
  }

  /**
   * Removes the attributions for an upstream process that has proved to be alive: only its connections had failed.
   * True when there were any.
   *
   * @param requestedAtMs When the report of the process was requested; attributions reported later are kept.
   * @example
   * quarantine.clearUpstream('engine-2/boot-7', report.requestedAtMs)
   */
  clearUpstream (upstream: string, requestedAtMs: number): boolean {
    let hasCleared = false
    for (const [fingerprint, entry] of this.entries) {
      const reportedAtMs = entry.reportedAtMsByUpstream.get(upstream)
      if (reportedAtMs === undefined || reportedAtMs >= requestedAtMs) continue
      hasCleared = true
      const reportedAtMsByUpstream = new Map(entry.reportedAtMsByUpstream)
      reportedAtMsByUpstream.delete(upstream)
      if (reportedAtMsByUpstream.size === 0) this.entries.delete(fingerprint)
      else this.entries.set(fingerprint, { ...entry, reportedAtMsByUpstream })
    }
    return hasCleared
  }

  /** Whether a request was in flight at a crash, and therefore has to run isolated from other suspects. */
  isSuspect (fingerprint: string, nowMs: number): boolean {
    return this.countCrashes(fingerprint, nowMs) > 0
  }

  /**
   * Whether a crash was attributed to a request so recently that some daemons may not know of it yet.
   * Every suspect of a crash waits for this time: until then copies of the request that caused it may run without
   * isolation, and their next crash would be attributed to the innocent suspects beside them, too.
   *
   * @example
   * if (quarantine.isPropagating(request.fingerprint, nowMs)) return undefined
   */
  isPropagating (fingerprint: string, nowMs: number): boolean {
    const lastCrashAtMs = this.entries.get(fingerprint)?.lastCrashAtMs ?? Number.NEGATIVE_INFINITY
    return nowMs - lastCrashAtMs < PROPAGATION_DELAY_MS
  }

  /**
   * Removes all crashes recorded against a request that has completed.
   *
   * @example
   * quarantine.clearRequest(request.fingerprint)
   */
  clearRequest (fingerprint: string): void {
    this.entries.delete(fingerprint)
  }

  /** Whether a request is quarantined: it must not be sent to any upstream. */
  isQuarantined (fingerprint: string, nowMs: number): boolean {
    return this.countCrashes(fingerprint, nowMs) >= QUARANTINE_CRASH_COUNT
  }

  private countCrashes (fingerprint: string, nowMs: number): number {
    const entry = this.entries.get(fingerprint)
    if (entry === undefined) return 0
    if (nowMs - entry.lastCrashAtMs < SUSPECT_TTL_MS) return entry.reportedAtMsByUpstream.size
    this.entries.delete(fingerprint)
    return 0
  }
}
