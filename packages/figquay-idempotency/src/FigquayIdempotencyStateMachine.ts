/** State machine of the claim and outcome records. Of two claims to one key, the one with the lower offset wins. */
import type { Execution } from 'figquay'
import { StateMachine, type LogRecord } from 'figquay-log'

/** Data of a record that claims a key. */
export interface ClaimData {
  readonly type: 'claim'
  /** SHA-256 of the customer and the caller's idempotency key. */
  readonly key: string
  readonly claimId: string
  /** Daemon process that will make the call. */
  readonly daemon: string
  /** SHA-256 of the request; detects the use of one key for different requests. */
  readonly fingerprint: string
  /** Retention time of the key after the claim, in milliseconds. */
  readonly rememberMs: number
}

/** Final result of a call that must not repeat. */
export interface CallResult {
  readonly execution: Execution
  readonly status: number
  readonly contentType: string
  /** Body in base64; empty if it was too large to store. */
  readonly body: string
}

/** Data of a record that settles a claim. An outcome of `not-run` releases the key for a later claim. */
export interface OutcomeData {
  readonly type: 'outcome'
  readonly key: string
  readonly claimId: string
  readonly result: CallResult
}

/** State of a claimed key. */
export interface KeyEntry {
  readonly claimId: string
  readonly daemon: string
  readonly fingerprint: string
  /** When the key expires, by the log's clock, in milliseconds since the epoch. */
  readonly forgetAt: number
  /** Undefined while the call is in progress. */
  readonly result?: CallResult
}

/** Applies claims and outcomes to the state of each key. */
export class IdempotencyStateMachine extends StateMachine {
  private entries = new Map<string, KeyEntry>()

  /**
   * @example
   * const stateMachine = IdempotencyStateMachine.create()
   */
  static create (): IdempotencyStateMachine {
    return new IdempotencyStateMachine()
  }

  /** State of a key; undefined when it is not claimed. */
  findEntry (key: string): KeyEntry | undefined {
    return this.entries.get(key)
  }

  /** Number of claimed keys. */
  get size (): number {
    return this.entries.size
  }

  override applyRecord (record: LogRecord): void {
    this.evictExpiredKeys(record.at)
    const data = record.data as ClaimData | OutcomeData
    if (data?.type === 'claim') this.applyClaim(data, record.at)
    else if (data?.type === 'outcome') this.applyOutcome(data)
  }

  override exportState (): unknown {
    return [...this.entries]
  }

  override importState (state: unknown): void {
    this.entries = new Map(state as Array<[string, KeyEntry]>)
  }

  private applyClaim (claim: ClaimData, claimedAtMs: number): void {
    if (this.entries.has(claim.key)) return
    this.entries.set(claim.key, {
      claimId: claim.claimId,
      daemon: claim.daemon,
      fingerprint: claim.fingerprint,
      forgetAt: claimedAtMs + claim.rememberMs
    })
  }

  private applyOutcome (outcome: OutcomeData): void {
    const entry = this.entries.get(outcome.key)
    if (entry === undefined || entry.claimId !== outcome.claimId || entry.result !== undefined) return
    if (outcome.result.execution === 'not-run') this.entries.delete(outcome.key)
    else this.entries.set(outcome.key, { ...entry, result: outcome.result })
  }

  /** Evicts expired keys. Insertion order is close to expiry order, so the scan stops at the first live key. */
  private evictExpiredKeys (nowMs: number): void {
    for (const [key, entry] of this.entries) {
      if (entry.forgetAt > nowMs) return
      this.entries.delete(key)
    }
  }
}
