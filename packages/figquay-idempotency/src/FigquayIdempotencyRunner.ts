/** Runs calls that must not repeat: claim in the log, then call, then outcome in the log. */
import { hashText, makeId, Refusal, type Clock, type Logger } from 'figquay'
import type { FoldedStream, LogAppender } from 'figquay-log'
import type { CallResult, ClaimData, IdempotencyFold, KeyEntry, OutcomeData } from './FigquayIdempotencyFold.js'

/** One stream of claims. Keys are spread over several by hash. */
export interface ClaimPartition {
  readonly stream: FoldedStream<IdempotencyFold>
  readonly appender: LogAppender
}

/** What the runner needs. */
export interface IdempotencyRunnerOptions {
  readonly daemon: string
  readonly partitions: readonly ClaimPartition[]
  readonly clock: Clock
  readonly logger: Logger
  /** Whether a daemon can no longer settle its claims. */
  readonly isDaemonGone: (daemon: string) => boolean
}

/** A call that must not repeat. */
export interface GuardedCall {
  readonly customer: string
  readonly idempotencyKey: string
  readonly fingerprint: string
  readonly rememberMs: number
  /** Time left for the whole answer, in milliseconds. */
  readonly answerWithinMs: number
}

/** What the fold says of a key, for `GET /v1/outcomes/{key}`. */
export type KeyStatus = { readonly state: 'unknown-key' } | { readonly state: 'in-progress' } | { readonly state: 'settled', readonly result: CallResult }

const LOG_RETRY_AFTER_MS = 1_000
/** How long a claim without a reply from the log is looked for, in milliseconds. */
const LOOK_UP_MS = 600
const OUTCOME_PAUSE_MS = 300
/** A graceful stop waits this long for a log that does not answer, in milliseconds. */
const FLUSH_MS = 15_000
const OWNER_CHECK_MS = 200

const NOT_RUN: CallResult = { execution: 'not-run', status: 0, contentType: '', body: '' }

const UNKNOWN: CallResult = { execution: 'unknown', status: 0, contentType: '', body: '' }

/** At-most-once execution under an idempotency key. */
export class IdempotencyExecutor {
  /** Outcome records on their way to the log; a graceful stop waits for them. */
  private readonly unsettled = new Set<Promise<void>>()
  private flushingSinceMs: number | undefined

  private constructor (private readonly options: IdempotencyRunnerOptions) {}

  /**
   * @example
   * const runner = IdempotencyRunner.create({ daemon, partitions, clock, logger, isDaemonGone })
   */
  static create (options: IdempotencyRunnerOptions): IdempotencyExecutor {
    return new IdempotencyExecutor(options)
  }

  /**
   * Runs `execute` if this call is the first under its key; else answers with the outcome of the first.
   *
   * @example
   * const result = await runner.runOnce(call, () => sendOrder())
   */
  async runAtMostOnce (call: GuardedCall, execute: () => Promise<CallResult>): Promise<CallResult | Refusal> {
    const key = hashText(`${call.customer}/${call.idempotencyKey}`)
    const partition = this.findPartition(key)
    const deadline = this.options.clock.readMonotonicMs() + call.answerWithinMs
    do {
      if (!isUsable(partition)) return refuseWithoutLog('the log cannot be reached')
      const result = await this.claimOrFollow(partition, key, call, deadline, execute)
      if (result !== 'released') return result
    } while (this.options.clock.readMonotonicMs() < deadline)
    return refuseWithoutLog('the earlier calls under this key were not run')
  }

  /** One try to claim the key; `released` when somebody else's claim was freed meanwhile. */
  private async claimOrFollow (partition: ClaimPartition, key: string, call: GuardedCall, deadline: number, execute: () => Promise<CallResult>): Promise<CallResult | Refusal | 'released'> {
    const known = partition.stream.fold.findEntry(key)
    if (known !== undefined) return await this.followEntry(partition, key, known, call, deadline)
    const claim = await this.appendClaim(partition, key, call)
    if (claim instanceof Refusal) return claim
    const entry = partition.stream.fold.findEntry(key)
    if (entry === undefined) return 'released'
    if (entry.claimId === claim) return await this.runClaim(partition, key, claim, execute)
    return await this.followEntry(partition, key, entry, call, deadline)
  }

  /**
   * Tells what is known of a key.
   *
   * @example
   * runner.findStatus('workshop-cairo', 'order-17')
   */
  findStatus (customer: string, idempotencyKey: string): KeyStatus {
    const key = hashText(`${customer}/${idempotencyKey}`)
    const entry = this.findPartition(key).stream.fold.findEntry(key)
    if (entry === undefined) return { state: 'unknown-key' }
    return entry.result === undefined ? { state: 'in-progress' } : { state: 'settled', result: entry.result }
  }

  /** Waits for outcome records that are still on their way to the log. */
  async flush (): Promise<void> {
    this.flushingSinceMs ??= this.options.clock.readMonotonicMs()
    await Promise.all(this.unsettled)
  }

  private get isFlushOver (): boolean {
    const { flushingSinceMs } = this
    return flushingSinceMs !== undefined && this.options.clock.readMonotonicMs() - flushingSinceMs > FLUSH_MS
  }

  private findPartition (key: string): ClaimPartition {
    const index = Number.parseInt(key.slice(0, 8), 16) % this.options.partitions.length
    return this.options.partitions[index]!
  }

  /** Appends a claim and waits until it is folded. A claim that does not show up is never used. */
  private async appendClaim (partition: ClaimPartition, key: string, call: GuardedCall): Promise<string | Refusal> {
    const claimId = makeId('claim')
    const data: ClaimData = { type: 'claim', key, claimId, daemon: this.options.daemon, fingerprint: call.fingerprint, rememberMs: call.rememberMs }
    const appended = await partition.appender.appendRecord({ id: claimId, data })
    if (!appended.ok && appended.error.sent === 'never') return refuseWithoutLog('the log refused the claim')
    const isFolded = appended.ok
      ? () => partition.stream.position > appended.value
      : () => partition.stream.fold.findEntry(key) !== undefined
    const folded = await partition.stream.waitUntil(isFolded, LOOK_UP_MS)
    const isOwner = partition.stream.fold.findEntry(key)?.claimId === claimId
    // Without an offset the record may still turn up later, and must not block the key then.
    if (!isOwner && !(appended.ok && folded)) this.abandonClaim(partition, key, claimId)
    if (folded) return claimId
    return refuseWithoutLog('the log did not confirm the claim')
  }

  /** The claim may still turn up in the log: then it is freed, so that the key is not blocked. */
  private abandonClaim (partition: ClaimPartition, key: string, claimId: string): void {
    const undo = partition.stream.registerListener(() => {
      if (partition.stream.fold.findEntry(key)?.claimId !== claimId) return
      undo()
      this.recordOutcome(partition, key, claimId, NOT_RUN)
    })
  }

  private async runClaim (partition: ClaimPartition, key: string, claimId: string, execute: () => Promise<CallResult>): Promise<CallResult> {
    let result = UNKNOWN
    try {
      result = await execute()
    } finally {
      this.recordOutcome(partition, key, claimId, result)
    }
    return result
  }

  private recordOutcome (partition: ClaimPartition, key: string, claimId: string, result: CallResult): void {
    const task = this.appendOutcome(partition, key, claimId, result).finally(() => this.unsettled.delete(task))
    this.unsettled.add(task)
  }

  private async appendOutcome (partition: ClaimPartition, key: string, claimId: string, result: CallResult): Promise<void> {
    const data: OutcomeData = { type: 'outcome', key, claimId, result }
    while (!this.isFlushOver) {
      const appended = await partition.appender.appendRecord({ id: `${claimId}-outcome`, data })
      if (appended.ok) return
      await this.options.clock.waitFor(OUTCOME_PAUSE_MS)
    }
    this.options.logger.error('outcome not recorded; the key stays unknown to other daemons', { claim: claimId })
  }

  /** Waits for the outcome of somebody else's claim. */
  private async followEntry (partition: ClaimPartition, key: string, entry: KeyEntry, call: GuardedCall, deadline: number): Promise<CallResult | Refusal | 'released'> {
    if (entry.fingerprint !== call.fingerprint) return Refusal.create('key_conflict', 'the idempotency key stands for another request')
    const isSettled = (): boolean => {
      const current = partition.stream.fold.findEntry(key)
      return current?.claimId !== entry.claimId || current.result !== undefined
    }
    while (!isSettled() && this.options.clock.readMonotonicMs() < deadline && !this.options.isDaemonGone(entry.daemon)) {
      await partition.stream.waitUntil(isSettled, OWNER_CHECK_MS)
    }
    const result = partition.stream.fold.findEntry(key)?.result
    if (result !== undefined) return result
    if (!isSettled()) return Refusal.create('outcome_unknown', 'an earlier call under this key has no outcome yet', { execution: 'unknown', retryAfterMs: LOG_RETRY_AFTER_MS })
    return 'released'
  }
}

/** Claims need a partition that has been read to its end and a log that answers. */
function isUsable (partition: ClaimPartition): boolean {
  return partition.stream.isCaughtUp && partition.stream.isReachable
}

function refuseWithoutLog (message: string): Refusal {
  return Refusal.create('log_unavailable', message, { retryAfterMs: LOG_RETRY_AFTER_MS })
}
