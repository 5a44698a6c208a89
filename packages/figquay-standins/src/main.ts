#!/usr/bin/env node
/** Command line of the stand-ins: starts one of them, or several engines or services in one process. */
import { command, binary, option, positional, run, string, oneOf } from 'cmd-ts'
import { SystemClock } from 'figquay'
import { StandinEngine, type StandinEngineOptions } from './FigquayStandinsEngine.js'
import { StandinLog } from './FigquayStandinsLog.js'
import { FaultProxy, type FaultProxyOptions } from './FigquayStandinsProxy.js'
import { StandinRoster } from './FigquayStandinsRoster.js'
import { StandinService, type StandinServiceOptions } from './FigquayStandinsService.js'
import { StandinStore, type StandinStoreOptions } from './FigquayStandinsStore.js'

/** Value of `--options`, which holds the options of the chosen kind of stand-in as JSON. */
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
  description: 'Runs stand-ins for the platform and the upstreams, for tests and demonstrations.',
  args: {
    kind: positional({ type: oneOf(['log', 'roster', 'store', 'engine', 'service', 'proxy']), displayName: 'kind' }),
    options: option({ type: string, long: 'options', description: 'options of the stand-in as JSON' })
  },
  handler: async ({ kind, options }) => await startStandin(kind, JSON.parse(options) as ProcessOptions)
})

process.on('SIGTERM', () => process.exit(0))
await run(binary(app), process.argv)
