/** Which daemons read the list of runners for the others. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { isReader } from '../../index.js'

const DAEMONS = Array.from({ length: 66 }, (_, index) => `10.0.0.${index}:80`)

function listReaders (daemons: readonly string[]): string[] {
  return daemons.filter((self) => isReader(self, daemons.filter((other) => other !== self)))
}

describe('readers', () => {
  it('are two, however many daemons there are', () => {
    expect(listReaders(DAEMONS).length).toEqual(2)
    expect(listReaders(DAEMONS.slice(0, 8)).length).toEqual(2)
  })

  it('are followed by others when they are lost', () => {
    const lost = new Set(listReaders(DAEMONS))
    const left = DAEMONS.filter((daemon) => !lost.has(daemon))
    expect(listReaders(left).filter((daemon) => lost.has(daemon))).toEqual([])
    expect(listReaders(left).length).toEqual(2)
  })

  it('include a daemon that hears nobody', () => {
    expect(isReader(DAEMONS[5]!, [])).toEqual(true)
  })
})
