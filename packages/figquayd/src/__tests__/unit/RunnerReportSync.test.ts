/** A daemon that follows a cell fetches only the reports that changed since the version it knows. */
import { describe, test } from 'node:test'
import { expect } from 'earl'
import { makeSuccess, SystemClock } from 'figquay'
import type { Membership } from 'figquay-membership'
import type { Hints, PeerMesh } from 'figquay-peers'
import type { RunnerTable } from 'figquay-routing'
import { RunnerReportSync, type ReportsRequest } from 'figquayd'

const CELL = 'manual-assistant'
const HOLDER = 'daemon-2'

describe('runner report synchronisation', () => {
  test('fetches all reports from a lease holder that was replaced and has a lower version', async () => {
    const requestedSince: number[] = []
    let version = 0
    const mesh = {
      callPeer: async (_daemon: string, _method: string, request: ReportsRequest) => {
        requestedSince.push(request.since)
        return makeSuccess({ version, reports: [] })
      }
    } as unknown as PeerMesh
    const reportSync = RunnerReportSync.create({
      daemon: 'daemon-1',
      clock: SystemClock.create(),
      mesh,
      membership: { listVms: () => [] } as unknown as Membership,
      table: { registerListener: () => () => {}, confirmReports: () => {} } as unknown as RunnerTable,
      findCell: () => CELL,
      findHolder: () => HOLDER,
      onVersionChange: () => {},
      onReport: () => {}
    })
    for (version of [10, 10, 12, 5]) await reportSync.applyHints({ daemon: HOLDER, cells: { [CELL]: version } } as unknown as Hints)
    expect(requestedSince).toEqual([0, 10, 0])
  })
})
