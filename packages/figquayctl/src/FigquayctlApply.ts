/** Applies a deployment file: publishes the differences to the active configuration as one change. */
import { readFile } from 'node:fs/promises'
import { isDeepStrictEqual } from 'node:util'
import { formatProblem, makeId } from 'figquay'
import { listDocuments, parseDeployment, type ChangeVerdict, type DocumentChange } from 'figquay-contracts'
import type { OperatorClient } from './FigquayctlClient.js'
import { EXIT_CODES, exitWith } from './FigquayctlOutput.js'

/** Active configuration documents by key, as returned by `config.get`. */
interface ConfigReply {
  readonly documents: Readonly<Record<string, { readonly version: number, readonly body: unknown }>>
}

interface ApplyReply {
  readonly verdict: ChangeVerdict | null
  readonly outcome: 'ruled' | 'not-appended' | 'unknown'
  readonly message: string
}

interface InForceReply {
  readonly inForce: readonly string[]
  readonly waiting: readonly string[]
}

const ACTIVATION_POLL_ATTEMPTS = 28
const ACTIVATION_POLL_INTERVAL_MS = 250

/** Reads and validates a deployment file; ends the process when it can't be read or is invalid. */
async function readDeployment (file: string) {
  const text = await readFile(file, 'utf8').catch((error: Error) => exitWith(EXIT_CODES.usage, error.message))
  const parsed = parseDeployment(text)
  if (parsed.ok) return parsed.value
  exitWith(EXIT_CODES.usage, parsed.error.map((problem) => formatProblem(file, problem)).join('\n'))
}

/**
 * Lists the documents in which a file differs from the active configuration.
 *
 * @example
 * const changes = await listChanges(client, 'examples/guild.jsonc')
 */
export async function listChanges (client: OperatorClient, file: string): Promise<DocumentChange[]> {
  const desired = listDocuments(await readDeployment(file))
  const reply = await client.callMethod<ConfigReply>('config.get', {})
  if (!reply.ok) exitWith(EXIT_CODES.failed, reply.error.message)
  const active = reply.value.documents
  const changed = desired
    .filter((document) => !isDeepStrictEqual(active[document.key]?.body, document.body))
    .map((document) => ({ ...document, base: active[document.key]?.version ?? 0 }))
  const keys = new Set(desired.map((document) => document.key))
  const removed = Object.keys(active).filter((key) => !keys.has(key)).map((key) => ({ key, base: active[key]!.version, body: null }))
  return [...changed, ...removed]
}

/**
 * Publishes a file as one change and prints on how many daemons it is active.
 *
 * @example
 * await applyFile(client, { file: 'examples/guild.jsonc', author: 'mona', changeId: undefined })
 */
export async function applyFile (client: OperatorClient, options: { readonly file: string, readonly author: string, readonly changeId: string | undefined }): Promise<void> {
  const documents = await listChanges(client, options.file)
  if (documents.length === 0) {
    process.stdout.write('no changes\n')
    return
  }
  const changeId = options.changeId ?? makeId('change')
  process.stdout.write(`change ${changeId}: ${documents.map((document) => document.key).join(', ')}\n`)
  const reply = await client.callMethod<ApplyReply>('config.apply', { author: options.author, changeId, documents })
  if (!reply.ok) exitWith(EXIT_CODES.unknown, `${reply.error.message}\noutcome unknown, the change may have been accepted; retry with --change-id ${changeId}`)
  const { verdict, outcome, message } = reply.value
  if (outcome === 'not-appended') exitWith(EXIT_CODES.failed, `the change was not published: ${message}`)
  if (verdict === null) exitWith(EXIT_CODES.unknown, `${message} (--change-id ${changeId})`)
  if (verdict.verdict === 'rejected') exitWith(EXIT_CODES.rejected, `rejected: ${verdict.reason}`)
  process.stdout.write(`accepted at offset ${verdict.offset}\n`)
  await waitUntilActive(client, verdict.offset)
}

async function waitUntilActive (client: OperatorClient, offset: number): Promise<void> {
  for (let attempt = 0; attempt < ACTIVATION_POLL_ATTEMPTS; attempt++) {
    const reply = await client.callMethod<InForceReply>('config.inForce', { offset })
    if (!reply.ok) exitWith(EXIT_CODES.failed, reply.error.message)
    const { inForce, waiting } = reply.value
    if (waiting.length === 0 || attempt === ACTIVATION_POLL_ATTEMPTS - 1) {
      const pending = waiting.length === 0 ? '' : `; waiting for ${waiting.join(', ')}`
      process.stdout.write(`active on ${inForce.length} of ${inForce.length + waiting.length} daemons${pending}\n`)
      return
    }
    await new Promise((resolve) => setTimeout(resolve, ACTIVATION_POLL_INTERVAL_MS))
  }
}
