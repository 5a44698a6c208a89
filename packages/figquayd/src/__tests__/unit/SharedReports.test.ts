/** A daemon that follows the reports of a cell asks for what it does not know, no more. */
import { describe, test } from 'node:test'
import { expect } from 'earl'
import { makeSuccess, SystemClock } from 'figquay'
import type { Membership } from 'figquay-membership'
import type { Hints, PeerMesh } from 'figquay-peers'
import type { RunnerTable } from 'figquay-routing'
import { SharedReports, type ReportsRequest } from 'figquayd'

const CELL = 'manual-assistant'
const HOLDER = 'daemon-2'

describe('shared reports', () => {
  test('a holder that was replaced may count from a lower version', async () => {
    const asked: number[] = []
    let version = 0
    const mesh = {
      callPeer: async (_daemon: string, _method: string, request: ReportsRequest) => {
        asked.push(request.since)
        return makeSuccess({ version, reports: [] })
      }
    } as unknown as PeerMesh
    const reports = SharedReports.create({
      daemon: 'daemon-1',
      clock: SystemClock.create(),
      mesh,
      membership: { listVms: () => [] } as unknown as Membership,
      table: { registerListener: () => () => {}, confirmReports: () => {} } as unknown as RunnerTable,
      findCell: () => CELL,
      findHolder: () => HOLDER,
      onChange: () => {},
      onReport: () => {}
    })
    for (version of [10, 10, 12, 5]) await reports.takeHints({ daemon: HOLDER, cells: { [CELL]: version } } as unknown as Hints)
    expect(asked).toEqual([0, 10, 0])
  })
})
