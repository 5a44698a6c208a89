/** The fold of claims and outcomes: of two claims to one key the earlier offset wins. */
import type { Execution } from 'figquay'
import { Fold, type LogRecord } from 'figquay-log'

/** Data of a record that claims a key. */
export interface ClaimData {
  readonly type: 'claim'
  /** SHA-256 of customer and key. */
  readonly key: string
  readonly claimId: string
  /** Daemon that will make the call. */
  readonly daemon: string
  /** SHA-256 of the request, so that one key does not stand for two requests. */
  readonly fingerprint: string
  /** How long the key is remembered after the claim, in milliseconds. */
  readonly rememberMs: number
}

/** The final answer to a call that must not repeat. */
export interface CallResult {
  readonly execution: Execution
  readonly status: number
  readonly contentType: string
  /** Body in base64; empty when it was too large to keep. */
  readonly body: string
}

/** Data of a record that settles a claim. `not-run` frees the key for a later claim. */
export interface OutcomeData {
  readonly type: 'outcome'
  readonly key: string
  readonly claimId: string
  readonly result: CallResult
}

/** What is known of a key. */
export interface KeyEntry {
  readonly claimId: string
  readonly daemon: string
  readonly fingerprint: string
  /** When the key is forgotten, by the log's clock, in milliseconds since the epoch. */
  readonly forgetAt: number
  readonly result?: CallResult
}

/** Folds claims and outcomes into what is known of each key. */
export class IdempotencyFold extends Fold {
  private entries = new Map<string, KeyEntry>()

  /**
   * @example
   * const fold = IdempotencyFold.create()
   */
  static create (): IdempotencyFold {
    return new IdempotencyFold()
  }

  /** What is known of a key. */
  findEntry (key: string): KeyEntry | undefined {
    return this.entries.get(key)
  }

  /** Keys remembered. */
  get size (): number {
    return this.entries.size
  }

  override applyRecord (record: LogRecord): void {
    this.forgetKeys(record.at)
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

  private applyClaim (claim: ClaimData, at: number): void {
    if (this.entries.has(claim.key)) return
    this.entries.set(claim.key, {
      claimId: claim.claimId,
      daemon: claim.daemon,
      fingerprint: claim.fingerprint,
      forgetAt: at + claim.rememberMs
    })
  }

  private applyOutcome (outcome: OutcomeData): void {
    const entry = this.entries.get(outcome.key)
    if (entry === undefined || entry.claimId !== outcome.claimId || entry.result !== undefined) return
    if (outcome.result.execution === 'not-run') this.entries.delete(outcome.key)
    else this.entries.set(outcome.key, { ...entry, result: outcome.result })
  }

  /** Keys stand roughly in the order in which they expire, so looking at the front is enough. */
  private forgetKeys (now: number): void {
    for (const [key, entry] of this.entries) {
      if (entry.forgetAt > now) return
      this.entries.delete(key)
    }
  }
}
