/** Runs the compiled tests: units side by side, then each integration test by itself; passes over KNOWN-RED.txt. */
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { run } from 'node:test'
import { spec } from 'node:test/reporters'

/** Compiled test files of one sort, over all packages. */
function findTests (sort) {
  const roots = [...readdirSync('packages').map((name) => join('packages', name)), 'platform']
  return roots.flatMap((root) => {
    const directory = join(root, 'dist', '__tests__', sort)
    if (!existsSync(directory)) return []
    return readdirSync(directory).filter((file) => file.endsWith('.test.js')).map((file) => resolve(directory, file))
  })
}

/** Names of tests that are known to fail: the lines of KNOWN-RED.txt that begin with "test:". */
function readKnownRed () {
  if (!existsSync('KNOWN-RED.txt')) return []
  return readFileSync('KNOWN-RED.txt', 'utf8').split('\n')
    .filter((line) => line.startsWith('test:'))
    .map((line) => line.slice('test:'.length).trim())
}

/** Failures that are no mere consequence of a failure inside. */
function isOwnFailure (event) {
  return event.details?.error?.failureType !== 'subtestsFailed'
}

/** Runs files; returns the names of the tests that failed. */
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

const chosen = process.argv.slice(2)
const sorts = chosen.length > 0 ? chosen : ['unit', 'integration']
const failed = []
for (const sort of sorts) {
  const files = findTests(sort)
  if (files.length > 0) failed.push(...await runFiles(files, sort === 'unit' ? 4 : 1))
}
const known = readKnownRed()
for (const name of known) process.stdout.write(`known red, ${failed.includes(name) ? 'failed' : 'did not fail'} in this run: ${name}\n`)
const unexpected = failed.filter((name) => !known.includes(name))
for (const name of unexpected) process.stdout.write(`failed: ${name}\n`)
process.exit(unexpected.length === 0 ? 0 : 1)
