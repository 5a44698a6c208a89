/** Which daemons of a small fleet follow the store for the others. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { chooseRole, type StoreRole } from '../../index.js'

const DAEMONS = Array.from({ length: 66 }, (_, index) => `10.0.0.${index}:80`)

function list (role: StoreRole, daemons: readonly string[]): string[] {
  return daemons.filter((self) => chooseRole(self, daemons.filter((other) => other !== self)) === role)
}

describe('followers of the store', () => {
  it('are one that reads the list of runners and two that stand by, however many daemons there are', () => {
    for (const count of [8, 16, 66]) {
      const daemons = DAEMONS.slice(0, count)
      expect([list('reader', daemons).length, list('looker', daemons).length]).toEqual([1, 2])
    }
  })

  it('are followed by others when they are lost', () => {
    const lost = new Set([...list('reader', DAEMONS), ...list('looker', DAEMONS)])
    const left = DAEMONS.filter((daemon) => !lost.has(daemon))
    expect([list('reader', left).length, list('looker', left).length]).toEqual([1, 2])
    expect(list('reader', left).filter((daemon) => lost.has(daemon))).toEqual([])
  })

  it('include a daemon that hears nobody', () => {
    expect(chooseRole(DAEMONS[5]!, [])).toEqual('reader')
  })
})
