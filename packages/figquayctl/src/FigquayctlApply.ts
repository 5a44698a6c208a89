/** Publishes a deployment file: what differs from what is in force, as one change. */
import { readFile } from 'node:fs/promises'
import { isDeepStrictEqual } from 'node:util'
import { formatProblem, makeId } from 'figquay'
import { listDocuments, parseDeployment, type ChangeVerdict, type DocumentChange } from 'figquay-contracts'
import type { OperatorClient } from './FigquayctlClient.js'
import { EXIT_CODES, exitWith } from './FigquayctlOutput.js'

/** Documents in force, as the operator port gives them. */
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

const IN_FORCE_ATTEMPTS = 28
const IN_FORCE_PAUSE_MS = 250

/** Reads and checks a deployment file; ends the process when anything is wrong. */
async function readDeployment (file: string) {
  const text = await readFile(file, 'utf8').catch((error: Error) => exitWith(EXIT_CODES.usage, error.message))
  const parsed = parseDeployment(text)
  if (parsed.ok) return parsed.value
  exitWith(EXIT_CODES.usage, parsed.error.map((problem) => formatProblem(file, problem)).join('\n'))
}

/**
 * Lists the documents in which a file differs from what is in force.
 *
 * @example
 * const changes = await listChanges(client, 'examples/guild.jsonc')
 */
export async function listChanges (client: OperatorClient, file: string): Promise<DocumentChange[]> {
  const wanted = listDocuments(await readDeployment(file))
  const reply = await client.callMethod<ConfigReply>('config.get', {})
  if (!reply.ok) exitWith(EXIT_CODES.failed, reply.error.message)
  const inForce = reply.value.documents
  const changed = wanted
    .filter((document) => !isDeepStrictEqual(inForce[document.key]?.body, document.body))
    .map((document) => ({ ...document, base: inForce[document.key]?.version ?? 0 }))
  const keys = new Set(wanted.map((document) => document.key))
  const removed = Object.keys(inForce).filter((key) => !keys.has(key)).map((key) => ({ key, base: inForce[key]!.version, body: null }))
  return [...changed, ...removed]
}

/**
 * Publishes a file, and shows on how many daemons it is in force.
 *
 * @example
 * await applyFile(client, { file: 'examples/guild.jsonc', author: 'mona', changeId: undefined })
 */
export async function applyFile (client: OperatorClient, options: { readonly file: string, readonly author: string, readonly changeId: string | undefined }): Promise<void> {
  const documents = await listChanges(client, options.file)
  if (documents.length === 0) {
    process.stdout.write('nothing to change\n')
    return
  }
  const changeId = options.changeId ?? makeId('change')
  process.stdout.write(`change ${changeId}: ${documents.map((document) => document.key).join(', ')}\n`)
  const reply = await client.callMethod<ApplyReply>('config.apply', { author: options.author, changeId, documents })
  if (!reply.ok) exitWith(EXIT_CODES.unknown, `${reply.error.message}\nnot known whether it was accepted; ask again with --change-id ${changeId}`)
  const { verdict, outcome, message } = reply.value
  if (outcome === 'not-appended') exitWith(EXIT_CODES.failed, `not accepted, nothing changed: ${message}`)
  if (verdict === null) exitWith(EXIT_CODES.unknown, `${message} (--change-id ${changeId})`)
  if (verdict.verdict === 'rejected') exitWith(EXIT_CODES.rejected, `rejected: ${verdict.reason}`)
  process.stdout.write(`accepted at offset ${verdict.offset}\n`)
  await showInForce(client, verdict.offset)
}

async function showInForce (client: OperatorClient, offset: number): Promise<void> {
  for (let attempt = 0; attempt < IN_FORCE_ATTEMPTS; attempt++) {
    const reply = await client.callMethod<InForceReply>('config.inForce', { offset })
    if (!reply.ok) exitWith(EXIT_CODES.failed, reply.error.message)
    const { inForce, waiting } = reply.value
    if (waiting.length === 0 || attempt === IN_FORCE_ATTEMPTS - 1) {
      const rest = waiting.length === 0 ? '' : `; waiting for ${waiting.join(', ')}`
      process.stdout.write(`in force on ${inForce.length} of ${inForce.length + waiting.length} daemons${rest}\n`)
      return
    }
    await new Promise((resolve) => setTimeout(resolve, IN_FORCE_PAUSE_MS))
  }
}
