#!/usr/bin/env node
/** Entry point of the experiments: compares policies on the same seeds. */
import { writeFile } from 'node:fs/promises'
import { binary, command, number, oneOf, option, optional, run, string } from 'cmd-ts'
import { POLICIES, runTrial, type TrialFault, type TrialResult } from './FigquayMeasureExperiment.js'
import { formatTrials } from './FigquayMeasureTable.js'

const app = command({
  name: 'measure',
  description: `Runs whole deployments on loopback and compares policies on the same seeds. Policies: ${Object.keys(POLICIES).join(', ')}`,
  args: {
    deployment: option({ type: oneOf(['guild', 'fundacion'] as const), long: 'deployment' }),
    policy: option({ type: string, long: 'policy', defaultValue: () => 'figquay,naive-least-reported', description: 'one or more policies, separated by commas' }),
    seed: option({ type: number, long: 'seed', defaultValue: () => 1, description: 'first seed' }),
    seeds: option({ type: number, long: 'seeds', defaultValue: () => 1, description: 'number of consecutive seeds' }),
    minutes: option({ type: number, long: 'minutes', defaultValue: () => 1 }),
    load: option({ type: number, long: 'load', defaultValue: () => 1, description: 'factor on the request rates' }),
    daemons: option({ type: number, long: 'daemons', defaultValue: () => 8 }),
    runners: option({ type: optional(number), long: 'runners', description: 'number of runners; that of the deployment by default' }),
    fault: option({ type: oneOf(['none', 'capacity-loss'] as const), long: 'fault', defaultValue: (): TrialFault => 'none' }),
    json: option({ type: optional(string), long: 'json', description: 'write all results to this file as JSON' })
  },
  handler: async (options) => {
    const results: TrialResult[] = []
    for (let seed = options.seed; seed < options.seed + options.seeds; seed++) {
      for (const policy of options.policy.split(',')) {
        process.stderr.write(`seed ${seed}, ${policy}\n`)
        results.push(await runTrial({ deployment: options.deployment, policy, seed, durationMs: options.minutes * 60_000, load: options.load, daemons: options.daemons, runners: options.runners, fault: options.fault }))
      }
    }
    process.stdout.write(`${options.deployment}, load ${options.load}, ${options.minutes} min, ${options.daemons} daemons, ${options.runners ?? 'all'} runners, fault ${options.fault}, seeds ${options.seed} to ${options.seed + options.seeds - 1}: median (lowest-highest)\n${formatTrials(results)}\n`)
    if (options.json !== undefined) await writeFile(options.json, JSON.stringify(results, null, 2))
  }
})

await run(binary(app), process.argv)
