/**
 * Shows that the proofs need their mechanisms: takes one mechanism out of a copy of the built packages at a time
 * and runs the test that must then fail. Build first. With a name as parameter, only that one.
 */
import { spawnSync } from 'node:child_process'
import { cpSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const INTEGRATION = 'packages/figquay-measure/dist/__tests__/integration'

/** Mechanisms: what is taken out, and the test that must fail without it. */
const MECHANISMS = [
  {
    name: '3 resume where the answer broke off',
    file: 'packages/figquay-routing/dist/FigquayRoutingCompletions.js',
    from: 'resumeFrom: progress.chunks',
    to: 'resumeFrom: 0',
    test: 'Answers',
    pattern: 'streams that break midway'
  },
  {
    name: '5 the earlier claim wins',
    file: 'packages/figquay-idempotency/dist/FigquayIdempotencyRunner.js',
    from: 'if (entry.claimId === claim)',
    to: 'if (entry.claimId !== undefined)',
    test: 'Idempotency',
    pattern: 'the same key at every daemon'
  },
  {
    name: '4 unknown is not told as not run',
    file: 'packages/figquay-routing/dist/FigquayRoutingServices.js',
    from: "if (!reply.ok && reply.error.sent === 'maybe')",
    to: "if (!reply.ok && reply.error.sent === 'other')",
    test: 'Idempotency',
    pattern: 'when the answer of the upstream is lost'
  },
  {
    name: '5 outcomes outlive a long outage of the log',
    file: 'packages/figquay-idempotency/dist/FigquayIdempotencyRunner.js',
    from: 'while (!this.isFlushOver)',
    to: 'for (let attempt = 0; attempt < 20; attempt++)',
    test: 'Idempotency',
    pattern: 'an outcome that falls into a long outage'
  },
  {
    name: '9 a request that crashes an upstream marks it down',
    file: 'packages/figquay-routing/dist/FigquayRoutingEngineMonitor.js',
    from: 'if (failure !== undefined)\n            this.options.table.markDown(runner);',
    to: '',
    test: 'Answers',
    pattern: 'crashes engines'
  },
  {
    name: '6 a leaving upstream gets no new work',
    file: 'packages/figquay-membership/dist/FigquayMembership.js',
    from: "return vm === undefined || vm.state === 'leaving' || this.leavingMarks.has(id);",
    to: 'return vm === undefined;',
    test: 'Leaving',
    pattern: 'an engine that the roster lists'
  },
  {
    name: '7 wait for what is in flight',
    file: 'packages/figquayd/dist/FigquaydDaemon.js',
    from: 'while (activeExchanges.size > 0)',
    // Closing the HTTP server waits too, so both are taken out.
    to: 'process.exit(0); while (activeExchanges.size > 0)',
    test: 'Leaving',
    pattern: 'SIGTERM during a long stream'
  },
  {
    name: '8 the first change wins',
    file: 'packages/figquay-contracts/dist/FigquayConfigurationFold.js',
    from: 'if (version !== change.base)',
    to: 'if (version < 0)',
    test: 'Configuration',
    pattern: 'of two operators that race'
  },
  {
    name: '8 peers pass on what they have read',
    file: 'packages/figquayd/dist/FigquaydStreams.js',
    from: 'const isBehind = ahead > stream.position',
    to: 'const isBehind = false && ahead > stream.position',
    test: 'Configuration',
    pattern: 'cut off from the log'
  },
  {
    name: '10 silent connections are given up',
    file: 'packages/figquay-upstreams/dist/FigquayHttpEngineClient.js',
    from: 'this.silent = true;',
    to: 'return;',
    test: 'Answers',
    pattern: 'connections that go silent'
  },
  {
    name: '6 peers tell of what is leaving',
    file: 'packages/figquayd/dist/FigquaydHintExchange.js',
    from: 'for (const vm of hints.leaving)',
    to: 'for (const vm of [])',
    test: 'Leaving',
    pattern: 'cut off from the roster'
  },
  {
    name: 'size: a holder that does not answer is passed over',
    file: 'packages/figquayd/dist/FigquaydReservations.js',
    from: 'RESERVE_TIMEOUT_MS = 100;',
    to: 'RESERVE_TIMEOUT_MS = 5_000;',
    test: 'Reservations',
    pattern: 'the holder is frozen'
  },
  {
    name: 'size: one daemon asks a runner, not all',
    file: 'packages/figquayd/dist/FigquaydSharedReports.js',
    from: 'return isDown || !this.isCovered(cell);',
    to: 'return true;',
    test: 'WholePath',
    pattern: 'one daemon asks the runners'
  },
  {
    name: '11 limits over all daemons',
    file: 'packages/figquay-routing/dist/FigquayRoutingLimits.js',
    from: 'const share = this.readShare(contract.customer, now);',
    to: 'const share = 1;',
    test: 'Overload',
    pattern: 'a limit holds over all daemons'
  }
]

const LONGEST_RUN_MS = 60_000

/** Copies what a run needs. */
function copyBuild () {
  const directory = mkdtempSync(join(tmpdir(), 'figquay-prove-'))
  for (const entry of ['node_modules', 'packages', 'examples', 'package.json']) {
    cpSync(entry, join(directory, entry), { recursive: true, verbatimSymlinks: true })
  }
  return directory
}

/** Takes a mechanism out, runs its test, and puts it back; true when the test failed. */
function failsWithout (directory, mechanism) {
  const path = join(directory, mechanism.file)
  const source = readFileSync(path, 'utf8')
  if (!source.includes(mechanism.from)) throw new Error(`${mechanism.name}: not found in ${mechanism.file}`)
  writeFileSync(path, source.replace(mechanism.from, mechanism.to))
  const test = join(INTEGRATION, `${mechanism.test}.test.js`)
  const result = spawnSync(process.execPath, ['--test', `--test-name-pattern=${mechanism.pattern}`, test], { cwd: directory, encoding: 'utf8', timeout: LONGEST_RUN_MS })
  writeFileSync(path, source)
  // A test that never ends has failed too.
  const hasHung = result.error?.code === 'ETIMEDOUT'
  return hasHung || (result.status !== 0 && /# fail [1-9]/.test(result.stdout))
}

const directory = copyBuild()
let isProved = true
for (const mechanism of MECHANISMS.filter(({ name }) => process.argv[2] === undefined || name.startsWith(process.argv[2]))) {
  const failed = failsWithout(directory, mechanism)
  isProved &&= failed
  process.stdout.write(`${failed ? 'fails without it' : 'PASSES WITHOUT IT'}: ${mechanism.name} (${mechanism.test}: ${mechanism.pattern})\n`)
}
rmSync(directory, { recursive: true, force: true })
process.exit(isProved ? 0 : 1)
