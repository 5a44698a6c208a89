/** Buffer of the runner updates that a daemon passes on. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { RunnerUpdateBuffer, type LeavingUpdate } from '../../index.js'

const UPDATE_COUNT = 60
const MAX_COUNT = 24

function makeBuffer (): RunnerUpdateBuffer {
  const buffer = RunnerUpdateBuffer.create({ readMonotonicMs: () => 0, now: () => new Date(0), waitFor: async () => {} })
  for (let index = 0; index < UPDATE_COUNT; index += 1) buffer.addUpdate({ type: 'leaving', runner: `runner-${index}`, bornMs: 0 })
  return buffer
}

describe('updates for a peer that has missed many', () => {
  it('come in batches, oldest first, each once, the last one with the revision of the buffer', () => {
    const buffer = makeBuffer()
    const sizes: number[] = []
    const runners: string[] = []
    let acked = 0
    while (acked < buffer.revision) {
      const { updates, revision } = buffer.listBatch(acked, MAX_COUNT)
      sizes.push(updates.length)
      runners.push(...updates.map((update) => (update as LeavingUpdate).runner))
      acked = revision
    }
    expect(sizes).toEqual([24, 24, 12])
    expect(runners).toEqual(Array.from({ length: UPDATE_COUNT }, (_, index) => `runner-${index}`))
  })

  it('are none, with the revision of the buffer, once the peer has all', () => {
    const buffer = makeBuffer()
    expect(buffer.listBatch(buffer.revision, MAX_COUNT)).toEqual({ updates: [], revision: buffer.revision })
  })
})
