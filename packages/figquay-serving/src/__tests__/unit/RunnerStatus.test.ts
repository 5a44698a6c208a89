/** What operators see of the runners: their speed, their load, and the limit that follows from what the routes allow. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { JsonLogger, SystemClock } from 'figquay'
import type { FleetConfiguration, Route, RunnerView } from 'figquay-fleet'
import { classifySpeed, listRunnerStatus, ServingTelemetry } from '../../index.js'

const ROUTE = { name: 'r', isStream: true, maxPauseMs: 400, objectiveMs: 815, targets: [{ service: 'engine', weight: 1 }] } as unknown as Route
const CONFIGURATION = {
  routes: [ROUTE, { ...ROUTE, maxPauseMs: 0, objectiveMs: 507 }],
  services: new Map([['engine', { name: 'engine', engine: {} }], ['plain', { name: 'plain', engine: undefined }]])
} as unknown as FleetConfiguration

function makeView (id: string, changes: Partial<RunnerView>): RunnerView {
  return { runner: { id, service: 's', address: '127.0.0.1:1', zone: 'z', slots: 6, isLeaving: false, bornMs: 0, holdings: undefined }, load: { requests: 2, pendingTokens: 900, recentTokens: 0 }, failureRate: 0, isHealthy: true, backoffMs: 0, slowdown: 1, ...changes }
}

const VIEWS = new Map([['engine', [makeView('fast', { slowdown: 0.55, usualSlowdown: 0.55 }), makeView('slow', { slowdown: 3, usualSlowdown: 1.3 })]], ['plain', [makeView('plain', {})]]])

describe('state of the runners', () => {
  it('names the limit by the strictest pause and the shortest objective of the routes', () => {
    const status = listRunnerStatus(CONFIGURATION, (service) => VIEWS.get(service)!)
    expect(status.map(({ runner, slowdown, usualSlowdown, maxPendingTokens }) => [runner, slowdown, usualSlowdown, maxPendingTokens])).toEqual([
      ['fast', 0.55, 0.55, 33_889],
      ['slow', 3, 1.3, 3_926],
      ['plain', null, null, null]
    ])
    expect(status.map(classifySpeed)).toEqual(['fast', 'slow', 'unknown'])
  })

  it('is counted by service and class, with no label for each runner', async () => {
    const telemetry = ServingTelemetry.create(SystemClock.create(), JsonLogger.create('test', 'silent'))
    telemetry.observeRunners(() => listRunnerStatus(CONFIGURATION, (service) => VIEWS.get(service)!))
    const metrics = await telemetry.registry.metrics()
    expect(['figquay_runners{service="engine",speed="slow"} 1', 'figquay_runners_in_spell{service="engine"} 1', 'figquay_runners_in_spell{service="plain"} 0'].filter((line) => !metrics.includes(line))).toEqual([])
  })
})
