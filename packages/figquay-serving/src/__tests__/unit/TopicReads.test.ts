/** When failed reads of the store are repeated, and whether a daemon's copy may lack something. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { FOLLOWING_RETRY_DELAY_MS, RETRY_DELAY_MS, TopicReads } from '../../index.js'

describe('reads of topics', () => {
  // Guards against every topic being retried at full rate while the store resets all connections.
  it('are retried soon for the topic that failed first only, until it succeeds', () => {
    const reads = TopicReads.create()
    reads.noteFailure('shared', 10)
    reads.noteFailure('configuration', 11)
    reads.noteFailure('runners', 11)
    const listDelays = (): number[] => [reads.chooseRetryDelay('configuration'), reads.chooseRetryDelay('runners'), reads.chooseRetryDelay('shared')]
    expect(listDelays()).toEqual([FOLLOWING_RETRY_DELAY_MS, FOLLOWING_RETRY_DELAY_MS, RETRY_DELAY_MS])
    expect(reads.noteSuccess('shared', 500)).toEqual(10)
    expect(listDelays().slice(0, 2)).toEqual([RETRY_DELAY_MS, FOLLOWING_RETRY_DELAY_MS])
  })

  // Guards against peers trusting a read of a daemon that has yet to read another topic.
  it('leave a copy incomplete while one fails or a read without a wait is in progress', () => {
    const reads = TopicReads.create()
    expect(reads.isIncomplete).toEqual(false)
    reads.noteImmediate('configuration')
    expect([reads.isIncomplete, reads.isImmediate('configuration')]).toEqual([true, true])
    reads.noteSuccess('configuration', 5)
    expect([reads.isIncomplete, reads.measureAge('configuration', 8), reads.measureAge('shared', 8)]).toEqual([false, 3, Number.POSITIVE_INFINITY])
    expect([reads.noteFailure('shared', 9), reads.noteFailure('shared', 10), reads.isIncomplete]).toEqual([true, false, true])
  })

  it('date the end of an outage by the newest read that is known of, unless this daemon has failed since', () => {
    const reads = TopicReads.create()
    reads.noteFailure('runners', 1_000)
    expect([reads.estimateRecovery('runners', 5_000, 3_000), reads.estimateRecovery('runners', 5_000, 4_500)]).toEqual([2_000, 5_000])
  })
})
