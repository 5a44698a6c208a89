/** Pauses between the events of a stream, apart from those that its caller causes. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { PauseMeter } from '../../index.js'

describe('pauses of a stream', () => {
  it('are measured between events, and leave out the time for which the caller was waited for', () => {
    const meter = PauseMeter.create(500)
    const pauses = [meter.noteEvents(1_000), meter.noteEvents(1_400)]
    meter.noteCallerWait(3_000)
    expect([...pauses, meter.noteEvents(4_500), meter.noteEvents(4_900)]).toEqual([undefined, 400, 100, 400])
  })

  it('are reported once for each stream if they are too long', () => {
    const meter = PauseMeter.create(500)
    expect([500, 501, 900].map((pauseMs) => meter.isFirstTooLong(pauseMs))).toEqual([false, true, false])
  })
})
