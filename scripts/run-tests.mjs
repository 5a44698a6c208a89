/** Runs the compiled tests: unit test files in parallel, then integration test files one at a time. Failures listed in KNOWN-RED.txt are tolerated. */
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { run } from 'node:test'
import { spec } from 'node:test/reporters'

/** Finds the compiled test files of one suite in all packages. */
function findTests (suite) {
  const roots = [...readdirSync('packages').map((name) => join('packages', name)), 'platform']
  return roots.flatMap((root) => {
    const directory = join(root, 'dist', '__tests__', suite)
    if (!existsSync(directory)) return []
    return readdirSync(directory).filter((file) => file.endsWith('.test.js')).map((file) => resolve(directory, file))
  })
}

/** Reads the names of the tests that are known to fail from the lines of KNOWN-RED.txt that begin with "test:". */
function readKnownFailures () {
  if (!existsSync('KNOWN-RED.txt')) return []
  return readFileSync('KNOWN-RED.txt', 'utf8').split('\n')
    .filter((line) => line.startsWith('test:'))
    .map((line) => line.slice('test:'.length).trim())
}

/** Whether a test itself failed, rather than one of its subtests. */
function isOwnFailure (event) {
  return event.details?.error?.failureType !== 'subtestsFailed'
}

/** Runs test files; returns the names of the failed tests. */
async function runFiles (files, concurrency) {
  const failed = []
  const stream = run({ files, concurrency })
  stream.on('test:fail', (event) => {
    if (isOwnFailure(event)) failed.push(event.name)
  })
  const output = stream.compose(spec)
  output.pipe(process.stdout)
  await new Promise((resolve) => output.once('end', resolve))
  return failed
}

const selected = process.argv.slice(2)
const suites = selected.length > 0 ? selected : ['unit', 'integration']
const failed = []
for (const suite of suites) {
  const files = findTests(suite)
  if (files.length > 0) failed.push(...await runFiles(files, suite === 'unit' ? 4 : 1))
}
const knownFailures = readKnownFailures()
for (const name of knownFailures) process.stdout.write(`known red, ${failed.includes(name) ? 'failed' : 'did not fail'} in this run: ${name}\n`)
const unexpected = failed.filter((name) => !knownFailures.includes(name))
for (const name of unexpected) process.stdout.write(`failed: ${name}\n`)
process.exit(unexpected.length === 0 ? 0 : 1)
