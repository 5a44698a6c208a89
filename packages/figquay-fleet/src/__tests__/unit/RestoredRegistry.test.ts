/** The runner registry comes back from an older copy: announcements of before the restore must not undo what was known after them. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { SystemClock } from 'figquay'
import { decodePosition, encodePosition, FleetRunnerTable, makeLogPosition, readEra, readOffset, type Runner } from '../../index.js'

const RUNNER: Runner = { id: 'r', service: 's', address: '127.0.0.1:1', zone: 'z', slots: 1, isLeaving: false, bornMs: 7, announcementCount: 5, holdings: undefined }

function announce (table: FleetRunnerTable, position: number, fields: Partial<Runner> = {}): void {
  table.putRunner({ ...RUNNER, ...fields }, position)
}

describe('positions of the store\'s logs', () => {
  it('compare by era before they compare by offset, and have a predecessor in each era', () => {
    expect(makeLogPosition(2, 0) > makeLogPosition(1, 4_000_000_000)).toEqual(true)
    expect([readEra(makeLogPosition(2, -1)), readOffset(makeLogPosition(2, -1))]).toEqual([2, -1])
    expect([readEra(-1), readOffset(-1), makeLogPosition(0, 9)]).toEqual([0, -1, 9])
  })

  it('keep their era in messages, and count as those of the oldest era in messages of a release that knows none', () => {
    const position = makeLogPosition(3, 41)
    expect(decodePosition(JSON.parse(JSON.stringify(encodePosition(position))) as ReturnType<typeof encodePosition>)).toEqual(position)
    expect(encodePosition(position).position).toEqual(41)
    expect(decodePosition({ position: 41 }) < makeLogPosition(1, 0)).toEqual(true)
  })
})

describe('a runner registry that was restored', () => {
  it('adds a runner whose offset was given out before, and lets one leave below the last position', () => {
    const table = FleetRunnerTable.create(SystemClock.create())
    announce(table, makeLogPosition(1, 90))
    announce(table, makeLogPosition(2, 10), { announcementCount: 6, isLeaving: true })
    announce(table, makeLogPosition(2, 11), { id: 'new' })
    expect([table.findRunner('r')?.isLeaving, table.findRunner('new')?.id]).toEqual([true, 'new'])
    expect(table.lastChangePosition).toEqual(makeLogPosition(2, 11))
  })

  it('does not bring back a runner that was removed, until it announces itself once more', () => {
    const table = FleetRunnerTable.create(SystemClock.create())
    announce(table, makeLogPosition(1, 90))
    table.removeRunner('r', makeLogPosition(1, 91))
    announce(table, makeLogPosition(2, 10), { announcementCount: 4 })
    announce(table, makeLogPosition(2, 11))
    expect(table.findRunner('r')).toEqual(undefined)
    announce(table, makeLogPosition(2, 12), { announcementCount: 6 })
    expect(table.findRunner('r')?.id).toEqual('r')
  })

  it('does not replace what a runner announced later by an older announcement of it', () => {
    const table = FleetRunnerTable.create(SystemClock.create())
    announce(table, makeLogPosition(1, 90), { slots: 8 })
    announce(table, makeLogPosition(2, 10), { announcementCount: 4 })
    expect(table.findRunner('r')?.slots).toEqual(8)
    announce(table, makeLogPosition(2, 11), { announcementCount: 0, bornMs: 8, slots: 3 })
    expect(table.findRunner('r')?.slots).toEqual(3)
  })

  it('counts as changed for peers that have read the era before', () => {
    const table = FleetRunnerTable.create(SystemClock.create())
    announce(table, makeLogPosition(1, 90))
    table.advancePosition(makeLogPosition(2, 3))
    expect([table.lastChangePosition, table.lastEraPosition]).toEqual([makeLogPosition(2, 3), makeLogPosition(1, 90)])
  })
})
