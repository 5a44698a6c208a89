/** JSON-RPC methods that a daemon exposes to operators. */
import { makeId, type Clock } from 'figquay'
import type { ConfigurationChange, ChangeVerdict, DocumentChange } from 'figquay-contracts'
import type { OperatorMethods } from 'figquay-gateway'
import type { PeerMesh } from 'figquay-peers'
import type { LeaseManager, MoveRecord, PlacementController } from 'figquay-placement'
import { calculateBurnRates, type BurnRateBucket, type BurnRateReport, type BurnRateTracker, type DaemonStatus, type StatusReport } from 'figquay-report'
import type { RequestTraces, RunnerReport, RunnerTable, TraceEvent } from 'figquay-routing'
import type { DaemonStreams } from './FigquaydStreams.js'

/** Dependencies of the operator methods. */
export interface OperatorMethodsOptions {
  readonly daemon: string
  readonly clock: Clock
  readonly streams: DaemonStreams
  readonly mesh: PeerMesh
  readonly table: RunnerTable
  readonly leases: LeaseManager
  readonly placement: PlacementController
  readonly traces: RequestTraces
  readonly burn: BurnRateTracker
  readonly readStatus: () => DaemonStatus
  readonly startDrain: () => void
}

/** Reply to `config.apply`. */
export interface ApplyReply {
  /** Whether the change was accepted; null without a verdict. */
  readonly verdict: ChangeVerdict | null
  /** `unknown` if the change may have been appended but no verdict was seen in time. */
  readonly outcome: 'ruled' | 'not-appended' | 'unknown'
  readonly message: string
}

/** Reply to `config.inForce`: daemons that have applied a change, and those that have not or did not reply. */
export interface InForceReply {
  readonly inForce: readonly string[]
  readonly waiting: readonly string[]
}

interface ApplyParams {
  readonly author: string
  readonly changeId: string
  readonly documents: readonly DocumentChange[]
}

/** How long `config.apply` waits for the verdict on a change. */
const VERDICT_TIMEOUT_MS = 5_000

/** Calls a method on all connected peers; collects the replies and the peers that did not reply. */
async function callConnectedPeers<T> (mesh: PeerMesh, method: string, params: unknown): Promise<{ readonly replies: ReadonlyMap<string, T>, readonly missing: string[] }> {
  const replies = new Map<string, T>()
  const missing: string[] = []
  await Promise.all(mesh.connectedPeers.map(async (peer) => {
    const reply = await mesh.callPeer<T>(peer, method, params)
    if (reply.ok) replies.set(peer, reply.value)
    else missing.push(peer)
  }))
  return { replies, missing }
}

/** Appends a change and waits for its verdict; an append that is not confirmed is not retried, as the verdict shows whether it took place. */
async function applyChange ({ streams, clock }: OperatorMethodsOptions, params: ApplyParams): Promise<ApplyReply> {
  const changeId = params.changeId ?? makeId('change')
  const { stateMachine } = streams.configuration
  const knownVerdict = stateMachine.findVerdict(changeId)
  if (knownVerdict !== undefined) return { verdict: knownVerdict, outcome: 'ruled', message: '' }
  const data: ConfigurationChange = { type: 'change', changeId, author: params.author, documents: params.documents }
  const deadlineMs = clock.readMonotonicMs() + VERDICT_TIMEOUT_MS
  const appended = await streams.configurationAppender.appendRecord({ id: changeId, data })
  if (!appended.ok && appended.error.sent === 'never') return { verdict: null, outcome: 'not-appended', message: appended.error.message }
  await streams.configuration.waitUntil(() => stateMachine.findVerdict(changeId) !== undefined, deadlineMs - clock.readMonotonicMs())
  const verdict = stateMachine.findVerdict(changeId) ?? null
  return verdict === null
    ? { verdict, outcome: 'unknown', message: 'the log did not confirm the change in time; retry with the same change id' }
    : { verdict, outcome: 'ruled', message: '' }
}

async function checkInForce (options: OperatorMethodsOptions, offset: number): Promise<InForceReply> {
  const { replies, missing } = await callConnectedPeers<number>(options.mesh, 'config.position', {})
  const positions = new Map([...replies, [options.daemon, options.streams.configuration.position]])
  const inForce = [...positions].filter(([, position]) => position > offset).map(([daemon]) => daemon)
  const waiting = [...positions].filter(([, position]) => position <= offset).map(([daemon]) => daemon)
  return { inForce: inForce.sort(), waiting: [...waiting, ...missing].sort() }
}

async function makeBurnReport (options: OperatorMethodsOptions): Promise<BurnRateReport> {
  const { replies, missing } = await callConnectedPeers<BurnRateBucket[]>(options.mesh, 'burn.list', {})
  const buckets = [...options.burn.listBuckets(), ...[...replies.values()].flat()]
  const { deployment } = options.streams.configuration.stateMachine.configuration
  const findObjective = (customer: string): number => deployment.contracts.find((contract) => contract.customer === customer)?.objective ?? 0.95
  const now = options.clock.now()
  return { madeAt: now.toISOString(), daemons: [options.daemon, ...replies.keys()].sort(), missing, rows: calculateBurnRates(buckets, findObjective, now.getTime()), buckets }
}

async function explainRequest (options: OperatorMethodsOptions, requestId: string): Promise<Array<TraceEvent & { readonly daemon: string }>> {
  const { replies } = await callConnectedPeers<TraceEvent[]>(options.mesh, 'explain.get', { requestId })
  const traces = new Map<string, readonly TraceEvent[]>([...replies, [options.daemon, options.traces.listEvents(requestId)]])
  return [...traces].flatMap(([daemon, events]) => events.map((event) => ({ daemon, ...event })))
}

async function listMoves (options: OperatorMethodsOptions): Promise<Array<MoveRecord & { readonly daemon: string }>> {
  const { replies } = await callConnectedPeers<MoveRecord[]>(options.mesh, 'moves.list', {})
  const moves = new Map<string, readonly MoveRecord[]>([...replies, [options.daemon, options.placement.history]])
  return [...moves].flatMap(([daemon, records]) => records.map((record) => ({ daemon, ...record }))).sort((a, b) => a.at < b.at ? -1 : 1)
}

function listRunners (options: OperatorMethodsOptions): Array<RunnerReport & { readonly active: number }> {
  return options.table.listReports().map((report) => ({ ...report, active: options.table.countInFlight(report) }))
}

/**
 * Makes the operator methods, keyed by their name on the wire.
 *
 * @example
 * const methods = makeOperatorMethods(options)
 */
export function makeOperatorMethods (options: OperatorMethodsOptions): OperatorMethods {
  const { stateMachine } = options.streams.configuration
  return {
    'config.get': () => ({ documents: Object.fromEntries(stateMachine.configuration.documents), position: options.streams.configuration.position }),
    'config.apply': (params: ApplyParams) => applyChange(options, params),
    'config.history': () => stateMachine.history,
    'config.inForce': (params: { offset: number }) => checkInForce(options, params.offset),
    'status.get': async (): Promise<StatusReport> => {
      const { replies, missing } = await callConnectedPeers<DaemonStatus>(options.mesh, 'status.get', {})
      return { daemons: [options.readStatus(), ...replies.values()].sort((a, b) => a.daemon < b.daemon ? -1 : 1), missing }
    },
    'runners.list': () => listRunners(options),
    'moves.list': () => listMoves(options),
    'explain.get': (params: { requestId: string }) => explainRequest(options, params.requestId),
    'burn.report': () => makeBurnReport(options),
    'drain.start': () => {
      options.startDrain()
      return { draining: true }
    }
  }
}
