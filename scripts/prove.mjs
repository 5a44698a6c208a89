/**
 * Mutation test of the integration tests: removes one mechanism at a time from a copy of the built packages and runs
 * the test that must then fail. Needs a build. A parameter selects the mechanisms whose names begin with it.
 */
import { spawnSync } from 'node:child_process'
import { cpSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const INTEGRATION = 'packages/figquay-measure/dist/__tests__/integration'

/** The code that each mutation replaces, and the test that must fail with it. */
const MECHANISMS = [
  {
    name: '3 resume an interrupted answer where it stopped',
    file: 'packages/figquay-routing/dist/FigquayRoutingCompletions.js',
    from: 'resumeFrom: progress.chunks',
    to: 'resumeFrom: 0',
    test: 'Answers',
    pattern: 'streams that break midway'
  },
  {
    name: '5 the first claim of an idempotency key wins',
    file: 'packages/figquay-idempotency/dist/FigquayIdempotencyExecutor.js',
    from: 'if (entry.claimId === claimId)',
    to: 'if (entry.claimId !== undefined)',
    test: 'Idempotency',
    pattern: 'the same key at every daemon'
  },
  {
    name: '4 an unknown outcome is not reported as not executed',
    file: 'packages/figquay-routing/dist/FigquayRoutingServices.js',
    from: "if (!reply.ok && reply.error.sent === 'maybe')",
    to: "if (!reply.ok && reply.error.sent === 'other')",
    test: 'Idempotency',
    pattern: 'when the answer of the upstream is lost'
  },
  {
    name: '5 outcomes are stored after a long outage of the log',
    file: 'packages/figquay-idempotency/dist/FigquayIdempotencyExecutor.js',
    from: 'while (!this.hasFlushTimedOut)',
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
    name: '6 a leaving upstream gets no new requests',
    file: 'packages/figquay-membership/dist/FigquayMembership.js',
    from: "return vm === undefined || vm.state === 'leaving' || this.leavingMarks.has(id);",
    to: 'return vm === undefined;',
    test: 'Leaving',
    pattern: 'an engine that the roster lists'
  },
  {
    name: '7 shutdown waits for requests in flight',
    file: 'packages/figquayd/dist/FigquaydDaemon.js',
    from: 'while (activeExchanges.size > 0)',
    // Closing the HTTP server also waits for open requests, so the mutation skips both.
    to: 'process.exit(0); while (activeExchanges.size > 0)',
    test: 'Leaving',
    pattern: 'SIGTERM during a long stream'
  },
  {
    name: '8 the first of concurrent configuration changes wins',
    file: 'packages/figquay-contracts/dist/FigquayConfigurationStateMachine.js',
    from: 'if (version !== change.base)',
    to: 'if (version < 0)',
    test: 'Configuration',
    pattern: 'of two operators that race'
  },
  {
    name: '8 peers forward log records',
    file: 'packages/figquayd/dist/FigquaydStreams.js',
    from: 'const isBehind = peerPosition > stream.position',
    to: 'const isBehind = false && peerPosition > stream.position',
    test: 'Configuration',
    pattern: 'cut off from the log'
  },
  {
    name: '10 silent connections are closed',
    file: 'packages/figquay-upstreams/dist/FigquayHttpEngineClient.js',
    from: 'this.expired = true;',
    to: 'return;',
    test: 'Answers',
    pattern: 'connections that go silent'
  },
  {
    name: '6 peers forward the list of leaving VMs',
    file: 'packages/figquayd/dist/FigquaydHintExchange.js',
    from: 'for (const vm of hints.leaving)',
    to: 'for (const vm of [])',
    test: 'Leaving',
    pattern: 'cut off from the roster'
  },
  {
    name: 'size: a cell holder that does not answer is bypassed',
    file: 'packages/figquayd/dist/FigquaydReservationCoordinator.js',
    from: 'RESERVE_TIMEOUT_MS = 100;',
    to: 'RESERVE_TIMEOUT_MS = 5_000;',
    test: 'Reservations',
    pattern: 'the holder is frozen'
  },
  {
    name: 'size: one daemon polls a runner, not all',
    file: 'packages/figquayd/dist/FigquaydRunnerReportSync.js',
    from: 'return isDown || !this.isFollowed(cell);',
    to: 'return true;',
    test: 'WholePath',
    pattern: 'one daemon asks the runners'
  },
  {
    name: '11 rate limits hold across all daemons',
    file: 'packages/figquay-routing/dist/FigquayRoutingLimits.js',
    from: 'const share = this.readShare(contract.customer, now);',
    to: 'const share = 1;',
    test: 'Overload',
    pattern: 'a limit holds over all daemons'
  }
]

const TEST_TIMEOUT_MS = 60_000

/** Copies the files that the tests need into a temporary directory. */
function copyBuild () {
  const directory = mkdtempSync(join(tmpdir(), 'figquay-prove-'))
  for (const entry of ['node_modules', 'packages', 'examples', 'package.json']) {
    cpSync(entry, join(directory, entry), { recursive: true, verbatimSymlinks: true })
  }
  return directory
}

/** Applies a mutation, runs its test and restores the file; true if the test failed. */
function runMutation (directory, mechanism) {
  const path = join(directory, mechanism.file)
  const source = readFileSync(path, 'utf8')
  if (!source.includes(mechanism.from)) throw new Error(`${mechanism.name}: code to replace not found in ${mechanism.file}`)
  writeFileSync(path, source.replace(mechanism.from, mechanism.to))
  const test = join(INTEGRATION, `${mechanism.test}.test.js`)
  const result = spawnSync(process.execPath, ['--test', `--test-name-pattern=${mechanism.pattern}`, test], { cwd: directory, encoding: 'utf8', timeout: TEST_TIMEOUT_MS })
  writeFileSync(path, source)
  // A test that hangs counts as failed.
  const hasTimedOut = result.error?.code === 'ETIMEDOUT'
  return hasTimedOut || (result.status !== 0 && /# fail [1-9]/.test(result.stdout))
}

const directory = copyBuild()
let areAllDetected = true
for (const mechanism of MECHANISMS.filter(({ name }) => process.argv[2] === undefined || name.startsWith(process.argv[2]))) {
  const isDetected = runMutation(directory, mechanism)
  areAllDetected &&= isDetected
  process.stdout.write(`${isDetected ? 'detected' : 'NOT DETECTED'}: ${mechanism.name} (${mechanism.test}: ${mechanism.pattern})\n`)
}
rmSync(directory, { recursive: true, force: true })
process.exit(areAllDetected ? 0 : 1)
