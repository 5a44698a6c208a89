/** What a daemon can vouch for after it has read only the result of a part of the registry's log. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { BEFORE_LOG, LogProgress } from '../../index.js'

describe('progress in a log of which parts were read as their result', () => {
  it('covers the ends of a gap and what lies outside, and counts the gap as a change', () => {
    const progress = LogProgress.create()
    progress.noteGap({ after: BEFORE_LOG, upTo: 10 })
    progress.advance(20)
    progress.noteGap({ after: 20, upTo: 30 })
    expect([BEFORE_LOG, 0, 9, 10, 15, 20, 21, 29, 30, 40].filter((position) => !progress.isCovered(position))).toEqual([0, 9, 21, 29])
    expect([progress.lastChangePosition, progress.lastGapEnd]).toEqual([30, 30])
  })

  it('joins gaps that overlap, keeps those apart that only touch, and ignores empty ones', () => {
    const progress = LogProgress.create()
    for (const [after, upTo] of [[0, 4], [8, 12], [3, 6], [12, 14], [20, 20]] as const) progress.noteGap({ after, upTo })
    expect(progress.listedGaps).toEqual([{ after: 0, upTo: 6 }, { after: 8, upTo: 12 }, { after: 12, upTo: 14 }])
  })

  it('covers less rather than more when there are many gaps', () => {
    const progress = LogProgress.create()
    for (let gap = 0; gap < 50; gap += 1) progress.noteGap({ after: gap * 10, upTo: gap * 10 + 5 })
    expect([progress.listedGaps.length <= 8, progress.isCovered(7), progress.isCovered(497)]).toEqual([true, false, true])
    expect(Array.from({ length: 50 }, (_, gap) => progress.isCovered(gap * 10 + 2))).toEqual(Array.from({ length: 50 }, () => false))
  })
})
