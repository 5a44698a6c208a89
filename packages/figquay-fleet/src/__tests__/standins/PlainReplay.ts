/** Replays requests of many daemons to the runners of a plain service, which reject what doesn't fit into their queues. */
import { chooseRunner, FleetRunnerTable, type RunnerView } from '../../index.js'
import { makeSlowdown, ReplayClock } from './ChoiceReplay.js'
import { makeRandom } from './SeededRandom.js'

/** Load and runners of a replay. */
export interface PlainReplayOptions {
  readonly seed: number
  readonly seconds: number
  readonly daemons: number
  readonly exchangeMs: number
  readonly slowdowns: readonly number[]
  readonly requestsPerSecond: number
  /** Views as the choice sees them. */
  readonly adaptViews?: (views: readonly RunnerView[]) => readonly RunnerView[]
}

interface PlainRunner {
  readonly readSlowdown: (nowMs: number) => number
  running: Array<{ leftMs: number, readonly finish: () => void }>
  readonly queue: Array<() => void>
}

const WORK_MS = 42.9
const OBJECTIVE_MS = 199
const SLOTS = 6
const MAX_QUEUED = 24
const TICK_MS = 5

function runTick (runner: PlainRunner, nowMs: number): void {
  const doneMs = TICK_MS / runner.readSlowdown(nowMs)
  for (const request of runner.running) request.leftMs -= doneMs
  for (const { finish } of runner.running.filter(({ leftMs }) => leftMs <= 0)) finish()
  runner.running = runner.running.filter(({ leftMs }) => leftMs > 0)
  while (runner.running.length < SLOTS && runner.queue.length > 0) runner.running.push({ leftMs: WORK_MS, finish: runner.queue.shift()! })
}

/** Runs a replay; counts what was rejected or late. */
export function replayPlainRequests ({ seed, seconds, daemons, exchangeMs, slowdowns, requestsPerSecond, adaptViews = (views) => views }: PlainReplayOptions) {
  const random = makeRandom(seed)
  const draw = makeRandom(seed + 1)
  const clock = new ReplayClock()
  const runners = slowdowns.map((usual, index): PlainRunner => ({ readSlowdown: makeSlowdown(usual, makeRandom(seed * 1_000 + index)), running: [], queue: [] }))
  const fleet = Array.from({ length: daemons }, () => FleetRunnerTable.create(clock))
  for (const table of fleet) runners.forEach((_, index) => table.putRunner({ id: `r${index}`, service: 's', address: '127.0.0.1:1', zone: 'z', slots: SLOTS, isLeaving: false, bornMs: 0, holdings: undefined }, index + 1))
  const counts = { arrivals: 0, rejected: 0, late: 0 }

  const arrive = (): void => {
    const table = fleet[Math.floor(random() * daemons)]!
    const arrivedAtMs = clock.nowMs
    const request = { model: undefined, promptTokens: 0, parts: [], zone: 'z', triedRunners: new Set<string>(), objectiveMs: OBJECTIVE_MS, maxPauseMs: 0 }
    const { id } = chooseRunner(adaptViews(table.listCandidates('s')), request, () => ({ cachedTokens: 0, isConnected: true }), draw)!.runner
    const runner = runners[Number(id.slice(1))]!
    const requestId = String(counts.arrivals++)
    if (runner.running.length + runner.queue.length >= SLOTS + MAX_QUEUED) {
      counts.rejected += 1
      return
    }
    const release = table.trackRequest(id, { requestId, fingerprint: requestId, model: undefined, pendingTokens: 0, sentAtMs: arrivedAtMs, hasOutput: false })
    runner.queue.push(() => {
      release()
      table.noteReportedLoad(id, { running: 0, waiting: 0, slots: SLOTS, slowdown: runner.readSlowdown(clock.nowMs) })
      if (clock.nowMs - arrivedAtMs > OBJECTIVE_MS) counts.late += 1
    })
  }

  /** What each daemon says now arrives at the others one interval later. */
  let messages: Array<() => void> = []
  for (let tick = 1; tick <= seconds * 1_000 / TICK_MS; tick += 1) {
    clock.nowMs += TICK_MS
    for (const runner of runners) runTick(runner, clock.nowMs)
    if (tick % (exchangeMs / TICK_MS) === 0) {
      for (const deliver of messages) deliver()
      messages = fleet.flatMap((table, index) => {
        const loads = table.exportLoads()
        return fleet.filter((_, other) => other !== index).map((receiver) => () => receiver.putPeerLoads(`d${index}`, loads))
      })
    }
    if (random() < requestsPerSecond * TICK_MS / 1_000) arrive()
  }
  return counts
}
