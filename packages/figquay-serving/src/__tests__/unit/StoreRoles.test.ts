/** Which daemons of a small fleet read the store for the others. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { chooseStoreRole, type StoreRole } from '../../index.js'

const DAEMONS = Array.from({ length: 66 }, (_, index) => `10.0.0.${index}:80`)

function listByRole (role: StoreRole, daemons: readonly string[]): string[] {
  return daemons.filter((self) => chooseStoreRole(self, daemons.filter((other) => other !== self)) === role)
}

describe('store roles in a small fleet', () => {
  it('are one reader and two lookers in a fleet of any size', () => {
    for (const count of [8, 16, 66]) {
      const daemons = DAEMONS.slice(0, count)
      expect([listByRole('reader', daemons).length, listByRole('looker', daemons).length]).toEqual([1, 2])
    }
  })

  it('pass to other daemons when the reader and the lookers are lost', () => {
    const lost = new Set([...listByRole('reader', DAEMONS), ...listByRole('looker', DAEMONS)])
    const remaining = DAEMONS.filter((daemon) => !lost.has(daemon))
    expect([listByRole('reader', remaining).length, listByRole('looker', remaining).length]).toEqual([1, 2])
    expect(listByRole('reader', remaining).filter((daemon) => lost.has(daemon))).toEqual([])
  })

  it('make a daemon without peers a reader', () => {
    expect(chooseStoreRole(DAEMONS[5]!, [])).toEqual('reader')
  })
})
