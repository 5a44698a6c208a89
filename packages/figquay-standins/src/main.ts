#!/usr/bin/env node
/** Entry point of the stand-ins: one process each, or several engines in one. */
import { command, binary, option, positional, run, string, oneOf } from 'cmd-ts'
import { SystemClock } from 'figquay'
import { StandinEngine, type StandinEngineOptions } from './FigquayStandinsEngine.js'
import { StandinLog } from './FigquayStandinsLog.js'
import { FaultProxy, type FaultProxyOptions } from './FigquayStandinsProxy.js'
import { StandinRoster } from './FigquayStandinsRoster.js'
import { StandinService, type StandinServiceOptions } from './FigquayStandinsService.js'
import { StandinStore, type StandinStoreOptions } from './FigquayStandinsStore.js'

/** Options of a process, as JSON on the command line. */
type ProcessOptions =
  & { readonly port?: number, readonly engines?: readonly StandinEngineOptions[], readonly services?: ReadonlyArray<StandinServiceOptions & { readonly port: number }> }
  & Partial<StandinStoreOptions> & Partial<FaultProxyOptions>

async function startStandin (kind: string, options: ProcessOptions): Promise<void> {
  const clock = SystemClock.create()
  switch (kind) {
    case 'log': await StandinLog.create(clock).start(options.port!); break
    case 'roster': await StandinRoster.create(clock).start(options.port!); break
    case 'store': await StandinStore.create(options as StandinStoreOptions, clock).start(options.port!); break
    case 'engine': await Promise.all(options.engines!.map((engine) => StandinEngine.create(engine, clock).start())); break
    case 'service': await Promise.all(options.services!.map((service) => StandinService.create(service, clock).start(service.port))); break
    case 'proxy': await FaultProxy.create(options as FaultProxyOptions).start(); break
  }
  process.stdout.write('ready\n')
}

const app = command({
  name: 'figquay-standin',
  description: 'Stand-ins of the platform and the upstreams, for tests and demonstrations.',
  args: {
    kind: positional({ type: oneOf(['log', 'roster', 'store', 'engine', 'service', 'proxy']), displayName: 'kind' }),
    options: option({ type: string, long: 'options', description: 'options as JSON' })
  },
  handler: async ({ kind, options }) => await startStandin(kind, JSON.parse(options) as ProcessOptions)
})

process.on('SIGTERM', () => process.exit(0))
await run(binary(app), process.argv)
