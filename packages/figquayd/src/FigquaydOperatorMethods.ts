/** What operators may ask of a daemon over JSON-RPC. */
import { makeId, type Clock } from 'figquay'
import type { ChangeData, ChangeVerdict, DocumentChange } from 'figquay-contracts'
import type { OperatorMethods } from 'figquay-gateway'
import type { PeerMesh } from 'figquay-peers'
import type { LeaseManager, MoveRecord, PlacementController } from 'figquay-placement'
import { summariseBurn, type BurnBucket, type BurnReport, type BurnTracker, type DaemonStatus, type StatusReport } from 'figquay-report'
import type { RequestTraces, RunnerReport, RunnerTable, TraceEvent } from 'figquay-routing'
import type { DaemonStreams } from './FigquaydStreams.js'

/** What the methods need. */
export interface OperatorMethodsOptions {
  readonly daemon: string
  readonly clock: Clock
  readonly streams: DaemonStreams
  readonly mesh: PeerMesh
  readonly table: RunnerTable
  readonly leases: LeaseManager
  readonly placement: PlacementController
  readonly traces: RequestTraces
  readonly burn: BurnTracker
  readonly readStatus: () => DaemonStatus
  readonly startDrain: () => void
}

/** Answer to a change. */
export interface ApplyReply {
  readonly verdict: ChangeVerdict | null
  /** What is known when there is no ruling. */
  readonly outcome: 'ruled' | 'not-appended' | 'unknown'
  readonly message: string
}

/** Where a change is in force. */
export interface InForceReply {
  readonly inForce: readonly string[]
  readonly waiting: readonly string[]
}

interface ApplyParams {
  readonly author: string
  readonly changeId: string
  readonly documents: readonly DocumentChange[]
}

/** How long an operator waits for the ruling on a change, in milliseconds. */
const RULING_MS = 5_000

/** Gathers an answer from every peer that answers. */
async function gatherFromPeers<T> (mesh: PeerMesh, method: string, params: unknown): Promise<{ readonly answers: ReadonlyMap<string, T>, readonly missing: string[] }> {
  const answers = new Map<string, T>()
  const missing: string[] = []
  await Promise.all(mesh.connectedPeers.map(async (peer) => {
    const answer = await mesh.callPeer<T>(peer, method, params)
    if (answer.ok) answers.set(peer, answer.value)
    else missing.push(peer)
  }))
  return { answers, missing }
}

/** Appends a change and waits for the ruling; an append without an answer is looked up, not repeated. */
async function applyChange ({ streams, clock }: OperatorMethodsOptions, params: ApplyParams): Promise<ApplyReply> {
  const changeId = params.changeId ?? makeId('change')
  const { fold } = streams.configuration
  const known = fold.findVerdict(changeId)
  if (known !== undefined) return { verdict: known, outcome: 'ruled', message: '' }
  const data: ChangeData = { type: 'change', changeId, author: params.author, documents: params.documents }
  const deadline = clock.readMonotonicMs() + RULING_MS
  const appended = await streams.configurationAppender.appendRecord({ id: changeId, data })
  if (!appended.ok && appended.error.sent === 'never') return { verdict: null, outcome: 'not-appended', message: appended.error.message }
  await streams.configuration.waitUntil(() => fold.findVerdict(changeId) !== undefined, deadline - clock.readMonotonicMs())
  const verdict = fold.findVerdict(changeId) ?? null
  return verdict === null
    ? { verdict, outcome: 'unknown', message: 'the log did not confirm the change; ask again with the same change id' }
    : { verdict, outcome: 'ruled', message: '' }
}

async function findInForce (options: OperatorMethodsOptions, offset: number): Promise<InForceReply> {
  const { answers, missing } = await gatherFromPeers<number>(options.mesh, 'config.position', {})
  const positions = new Map([...answers, [options.daemon, options.streams.configuration.position]])
  const inForce = [...positions].filter(([, position]) => position > offset).map(([daemon]) => daemon)
  const waiting = [...positions].filter(([, position]) => position <= offset).map(([daemon]) => daemon)
  return { inForce: inForce.sort(), waiting: [...waiting, ...missing].sort() }
}

async function reportBurn (options: OperatorMethodsOptions): Promise<BurnReport> {
  const { answers, missing } = await gatherFromPeers<BurnBucket[]>(options.mesh, 'burn.list', {})
  const buckets = [...options.burn.listBuckets(), ...[...answers.values()].flat()]
  const { deployment } = options.streams.configuration.fold.configuration
  const readObjective = (customer: string): number => deployment.contracts.find((contract) => contract.customer === customer)?.objective ?? 0.95
  const madeAt = options.clock.now()
  return { madeAt: madeAt.toISOString(), daemons: [options.daemon, ...answers.keys()].sort(), missing, rows: summariseBurn(buckets, readObjective, madeAt.getTime()), buckets }
}

async function explainRequest (options: OperatorMethodsOptions, requestId: string): Promise<Array<TraceEvent & { readonly daemon: string }>> {
  const { answers } = await gatherFromPeers<TraceEvent[]>(options.mesh, 'explain.get', { requestId })
  const traces = new Map<string, readonly TraceEvent[]>([...answers, [options.daemon, options.traces.listEvents(requestId)]])
  return [...traces].flatMap(([daemon, events]) => events.map((event) => ({ daemon, ...event })))
}

async function listMoves (options: OperatorMethodsOptions): Promise<Array<MoveRecord & { readonly daemon: string }>> {
  const { answers } = await gatherFromPeers<MoveRecord[]>(options.mesh, 'moves.list', {})
  const moves = new Map<string, readonly MoveRecord[]>([...answers, [options.daemon, options.placement.history]])
  return [...moves].flatMap(([daemon, records]) => records.map((record) => ({ daemon, ...record }))).sort((a, b) => a.at < b.at ? -1 : 1)
}

function listRunners (options: OperatorMethodsOptions): Array<RunnerReport & { readonly active: number }> {
  return options.table.listReports().map((report) => ({ ...report, active: options.table.countInFlight(report) }))
}

/**
 * Makes the methods of the operator port.
 *
 * @example
 * const methods = makeOperatorMethods(options)
 */
export function makeOperatorMethods (options: OperatorMethodsOptions): OperatorMethods {
  const { fold } = options.streams.configuration
  return {
    'config.get': () => ({ documents: Object.fromEntries(fold.configuration.documents), position: options.streams.configuration.position }),
    'config.apply': (params: ApplyParams) => applyChange(options, params),
    'config.history': () => fold.history,
    'config.inForce': (params: { offset: number }) => findInForce(options, params.offset),
    'status.get': async (): Promise<StatusReport> => {
      const { answers, missing } = await gatherFromPeers<DaemonStatus>(options.mesh, 'status.get', {})
      return { daemons: [options.readStatus(), ...answers.values()].sort((a, b) => a.daemon < b.daemon ? -1 : 1), missing }
    },
    'runners.list': () => listRunners(options),
    'moves.list': () => listMoves(options),
    'explain.get': (params: { requestId: string }) => explainRequest(options, params.requestId),
    'burn.report': () => reportBurn(options),
    'drain.start': () => {
      options.startDrain()
      return { draining: true }
    }
  }
}
