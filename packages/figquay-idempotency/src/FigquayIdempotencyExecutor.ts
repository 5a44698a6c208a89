/** Runs calls that must not repeat: appends a claim to the log, makes the call, and appends its outcome. */
import { hashText, makeId, Refusal, type Clock, type Logger } from 'figquay'
import type { StreamReplica, LogAppender } from 'figquay-log'
import type { CallResult, ClaimData, IdempotencyStateMachine, KeyEntry, OutcomeData } from './FigquayIdempotencyStateMachine.js'

/** One stream of claims and outcomes. Keys are partitioned by hash. */
export interface ClaimPartition {
  readonly stream: StreamReplica<IdempotencyStateMachine>
  readonly appender: LogAppender
}

/** Dependencies of the executor. */
export interface IdempotencyExecutorOptions {
  /** This daemon process, as recorded in its claims. */
  readonly daemon: string
  readonly partitions: readonly ClaimPartition[]
  readonly clock: Clock
  readonly logger: Logger
  /** Whether a daemon process has ended, so that it can no longer settle its claims. */
  readonly hasDaemonExited: (daemon: string) => boolean
}

/** A call that must not repeat, with its idempotency key. */
export interface KeyedCall {
  readonly customer: string
  readonly idempotencyKey: string
  readonly fingerprint: string
  /** Retention time of the key, in milliseconds. */
  readonly rememberMs: number
  /** Time within which the call must be answered, in milliseconds. */
  readonly answerWithinMs: number
}

/** Status of a key, served by `GET /v1/outcomes/{key}`. */
export type KeyStatus = { readonly state: 'unknown-key' } | { readonly state: 'in-progress' } | { readonly state: 'settled', readonly result: CallResult }

const LOG_RETRY_AFTER_MS = 1_000
/** Longest wait for an appended claim to show up in the stream. */
const CLAIM_CONFIRM_TIMEOUT_MS = 600
const OUTCOME_RETRY_DELAY_MS = 300
/** A graceful stop waits at most this long for pending outcomes when the log does not answer. */
const FLUSH_TIMEOUT_MS = 15_000
/** How often a call that waits for another daemon's outcome checks whether that daemon still exists. */
const OWNER_CHECK_INTERVAL_MS = 200

const NOT_RUN_RESULT: CallResult = { execution: 'not-run', status: 0, contentType: '', body: '' }

const UNKNOWN_RESULT: CallResult = { execution: 'unknown', status: 0, contentType: '', body: '' }

/** At-most-once execution of calls with an idempotency key. */
export class IdempotencyExecutor {
  /** Appends of outcome records that have not completed; a graceful stop waits for them. */
  private readonly pendingOutcomes = new Set<Promise<void>>()
  private flushStartedAtMs: number | undefined

  private constructor (private readonly options: IdempotencyExecutorOptions) {}

  /**
   * @example
   * const executor = IdempotencyExecutor.create({ daemon, partitions, clock, logger, hasDaemonExited })
   */
  static create (options: IdempotencyExecutorOptions): IdempotencyExecutor {
    return new IdempotencyExecutor(options)
  }

  /**
   * Runs `execute` if this call claims its key; otherwise returns the outcome of the call that holds the claim.
   *
   * @example
   * const result = await executor.runAtMostOnce(call, () => sendOrder())
   */
  async runAtMostOnce (call: KeyedCall, execute: () => Promise<CallResult>): Promise<CallResult | Refusal> {
    const key = hashText(`${call.customer}/${call.idempotencyKey}`)
    const partition = this.findPartition(key)
    const deadlineMs = this.options.clock.readMonotonicMs() + call.answerWithinMs
    do {
      if (!isPartitionUsable(partition)) return refuseLogUnavailable('the log is unreachable or has not been read to its end')
      const result = await this.claimOrAwaitOutcome(partition, key, call, deadlineMs, execute)
      if (result !== 'released') return result
    } while (this.options.clock.readMonotonicMs() < deadlineMs)
    return refuseLogUnavailable('could not claim the idempotency key in time; earlier calls under it were not run')
  }

  /** Tries once to claim the key; `released` when another call's claim was released meanwhile. */
  private async claimOrAwaitOutcome (partition: ClaimPartition, key: string, call: KeyedCall, deadlineMs: number, execute: () => Promise<CallResult>): Promise<CallResult | Refusal | 'released'> {
    const existing = partition.stream.stateMachine.findEntry(key)
    if (existing !== undefined) return await this.awaitOutcome(partition, key, existing, call, deadlineMs)
    const claimId = await this.appendClaim(partition, key, call)
    if (claimId instanceof Refusal) return claimId
    const entry = partition.stream.stateMachine.findEntry(key)
    if (entry === undefined) return 'released'
    if (entry.claimId === claimId) return await this.runClaim(partition, key, claimId, execute)
    return await this.awaitOutcome(partition, key, entry, call, deadlineMs)
  }

  /**
   * Returns the status of a key.
   *
   * @example
   * executor.findStatus('workshop-cairo', 'order-17')
   */
  findStatus (customer: string, idempotencyKey: string): KeyStatus {
    const key = hashText(`${customer}/${idempotencyKey}`)
    const entry = this.findPartition(key).stream.stateMachine.findEntry(key)
    if (entry === undefined) return { state: 'unknown-key' }
    return entry.result === undefined ? { state: 'in-progress' } : { state: 'settled', result: entry.result }
  }

  /** Waits until all pending outcomes are in the log, or until the flush timeout. */
  async flush (): Promise<void> {
    this.flushStartedAtMs ??= this.options.clock.readMonotonicMs()
    await Promise.all(this.pendingOutcomes)
  }

  private get hasFlushTimedOut (): boolean {
    const { flushStartedAtMs } = this
    return flushStartedAtMs !== undefined && this.options.clock.readMonotonicMs() - flushStartedAtMs > FLUSH_TIMEOUT_MS
  }

  private findPartition (key: string): ClaimPartition {
    const index = Number.parseInt(key.slice(0, 8), 16) % this.options.partitions.length
    return this.options.partitions[index]!
  }

  /** Appends a claim and waits until the state machine has applied it. A claim that is not confirmed in time is never used. */
  private async appendClaim (partition: ClaimPartition, key: string, call: KeyedCall): Promise<string | Refusal> {
    const claimId = makeId('claim')
    const data: ClaimData = { type: 'claim', key, claimId, daemon: this.options.daemon, fingerprint: call.fingerprint, rememberMs: call.rememberMs }
    const appended = await partition.appender.appendRecord({ id: claimId, data })
    if (!appended.ok && appended.error.sent === 'never') return refuseLogUnavailable('the claim could not be appended to the log')
    const isApplied = appended.ok
      ? () => partition.stream.position > appended.value
      : () => partition.stream.stateMachine.findEntry(key) !== undefined
    const wasApplied = await partition.stream.waitUntil(isApplied, CLAIM_CONFIRM_TIMEOUT_MS)
    const isOwner = partition.stream.stateMachine.findEntry(key)?.claimId === claimId
    // Unless its offset is known to be applied, the claim may still show up later; it must not block the key then.
    if (!isOwner && !(appended.ok && wasApplied)) this.abandonClaim(partition, key, claimId)
    if (wasApplied) return claimId
    return refuseLogUnavailable('timed out waiting for the log to confirm the claim')
  }

  /** Releases an unconfirmed claim if it wins the key later, so that the key is not blocked. */
  private abandonClaim (partition: ClaimPartition, key: string, claimId: string): void {
    const unregister = partition.stream.registerListener(() => {
      if (partition.stream.stateMachine.findEntry(key)?.claimId !== claimId) return
      unregister()
      this.recordOutcome(partition, key, claimId, NOT_RUN_RESULT)
    })
  }

  private async runClaim (partition: ClaimPartition, key: string, claimId: string, execute: () => Promise<CallResult>): Promise<CallResult> {
    let result = UNKNOWN_RESULT
    try {
      result = await execute()
    } finally {
      this.recordOutcome(partition, key, claimId, result)
    }
    return result
  }

  private recordOutcome (partition: ClaimPartition, key: string, claimId: string, result: CallResult): void {
    const task = this.appendOutcome(partition, key, claimId, result).finally(() => this.pendingOutcomes.delete(task))
    this.pendingOutcomes.add(task)
  }

  private async appendOutcome (partition: ClaimPartition, key: string, claimId: string, result: CallResult): Promise<void> {
    const data: OutcomeData = { type: 'outcome', key, claimId, result }
    while (!this.hasFlushTimedOut) {
      const appended = await partition.appender.appendRecord({ id: `${claimId}-outcome`, data })
      if (appended.ok) return
      await this.options.clock.waitFor(OUTCOME_RETRY_DELAY_MS)
    }
    this.options.logger.error('could not append the outcome before the flush timeout; later calls under this key get outcome_unknown', { claim: claimId })
  }

  /** Waits for the outcome of another call's claim, until the deadline or the end of the daemon that made it. */
  private async awaitOutcome (partition: ClaimPartition, key: string, entry: KeyEntry, call: KeyedCall, deadlineMs: number): Promise<CallResult | Refusal | 'released'> {
    if (entry.fingerprint !== call.fingerprint) return Refusal.create('key_conflict', 'the idempotency key was used for a different request')
    const isSettled = (): boolean => {
      const current = partition.stream.stateMachine.findEntry(key)
      return current?.claimId !== entry.claimId || current.result !== undefined
    }
    while (!isSettled() && this.options.clock.readMonotonicMs() < deadlineMs && !this.options.hasDaemonExited(entry.daemon)) {
      await partition.stream.waitUntil(isSettled, OWNER_CHECK_INTERVAL_MS)
    }
    const result = partition.stream.stateMachine.findEntry(key)?.result
    if (result !== undefined) return result
    if (!isSettled()) return Refusal.create('outcome_unknown', 'an earlier call under this idempotency key has no outcome yet', { execution: 'unknown', retryAfterMs: LOG_RETRY_AFTER_MS })
    return 'released'
  }
}

/** Whether a partition accepts claims: it has been read to its end, and the log is reachable. */
function isPartitionUsable (partition: ClaimPartition): boolean {
  return partition.stream.hasCaughtUp && partition.stream.isLogReachable
}

function refuseLogUnavailable (message: string): Refusal {
  return Refusal.create('log_unavailable', message, { retryAfterMs: LOG_RETRY_AFTER_MS })
}
