/** Replays arrivals at daemons that choose among modelled runners, with loads as old as those that daemons exchange. */
import type { Clock } from 'figquay'
import { chooseRunner, FleetRunnerTable, PromptCacheIndex, type RunnerView, type InFlightRequest } from '../../index.js'
import { RunnerQueueModel } from './RunnerQueueModel.js'
import { makeRandom } from './SeededRandom.js'

/** Load and runners of a replay. */
export interface ReplayOptions {
  readonly seed: number
  readonly seconds: number
  readonly daemons: number
  /** Interval between two messages of a daemon; the load in them is one to two intervals old when it is used. */
  readonly exchangeMs: number
  /** Speed of each runner outside of spells. */
  readonly slowdowns: readonly number[]
  readonly models: number
  readonly longPerSecond: number
  readonly shortPerSecond: number
  /** What a runner reports; its slowdown by default. */
  readonly report?: (runner: number, slowdown: number) => number
  /** Views as the choice sees them. */
  readonly adaptViews?: (views: readonly RunnerView[]) => readonly RunnerView[]
}

const LONG = { promptTokens: 9_190, sharedTokens: 6_300, events: 9, objectiveMs: 1_015 }
const SHORT = { promptTokens: 826, sharedTokens: 198, events: 49, objectiveMs: 807 }
const MAX_PAUSE_MS = 500
const TICK_MS = 5
const SLOTS = 32
const PARTS_PER_MODEL = 12
const SPELL_FACTOR = 2.5

/** Clock that a replay advances. */
export class ReplayClock implements Clock {
  nowMs = 1_000
  now (): Date { return new Date(this.nowMs) }
  readMonotonicMs (): number { return this.nowMs }
  async waitFor (): Promise<void> {}
}

/** Slowdown of a VM over time, with spells of 0.3 to 1 s for a quarter of the time. */
export function makeSlowdown (usual: number, random: () => number): (nowMs: number) => number {
  let startMs = 0
  let endMs = 0
  return (nowMs) => {
    while (nowMs >= endMs) {
      startMs = endMs + 700 + 2_500 * random()
      endMs = startMs + 300 + 700 * random()
    }
    return nowMs >= startMs ? usual * SPELL_FACTOR : usual
  }
}

/** Draws one of some models: the first ones are in the highest demand, and have the most copies. */
function drawModel (count: number, random: () => number): number {
  return Math.floor(count * random() ** 2)
}

/** Views without what runners have reported of their speed: the choice as it is where runners report none. */
export function hideSpeeds (views: readonly RunnerView[]): readonly RunnerView[] {
  return views.map((view) => ({ ...view, slowdown: 1, usualSlowdown: undefined }))
}

/** Runs a replay; counts what was late or paused for too long. */
export function replayChoices ({ seed, seconds, daemons, exchangeMs, slowdowns, models: modelCount, longPerSecond, shortPerSecond, report = (_, slowdown) => slowdown, adaptViews = (views) => views }: ReplayOptions) {
  const random = makeRandom(seed)
  const draw = makeRandom(seed + 1)
  const clock = new ReplayClock()
  const runners = slowdowns.map((usual, index) => new RunnerQueueModel(makeSlowdown(usual, makeRandom(seed * 1_000 + index)), SLOTS))
  const models = slowdowns.map(() => [0, 1].map(() => drawModel(modelCount, random)))
  for (let model = 0; model < modelCount; model += 1) models[model % models.length]!.push(model)
  const fleet = Array.from({ length: daemons }, () => ({ table: FleetRunnerTable.create(clock), memory: PromptCacheIndex.create(clock) }))
  for (const { table } of fleet) {
    runners.forEach((_, index) => table.putRunner({ id: `r${index}`, service: 's', address: '127.0.0.1:1', zone: 'z', slots: SLOTS, isLeaving: false, bornMs: 0, holdings: { models: models[index]!.map((model) => ({ name: `m${model}`, adapters: [] })), coming: [], isBusy: false, inMemory: [], onDisk: [] } }, index + 1))
  }
  const counts = { arrivals: 0, lateLong: 0, lateShort: 0, longPauses: 0 }

  const arrive = (kind: typeof LONG): void => {
    const { table, memory } = fleet[Math.floor(random() * daemons)]!
    const model = `m${drawModel(modelCount, random)}`
    const sharedPart = `${kind.promptTokens}/${model}/${Math.floor(random() * PARTS_PER_MODEL)}`
    const requestId = String(counts.arrivals++)
    const parts = [{ id: sharedPart, tokens: kind.sharedTokens }, { id: requestId, tokens: kind.promptTokens - kind.sharedTokens }]
    const views = adaptViews(table.listRunnersWithModel('s', model, undefined))
    const request = { model, promptTokens: kind.promptTokens, parts, zone: 'z', triedRunners: new Set<string>(), objectiveMs: kind.objectiveMs, maxPauseMs: MAX_PAUSE_MS }
    const { id } = chooseRunner(views, request, (runner) => ({ cachedTokens: memory.countCachedTokens(runner.id, model, parts), isConnected: true }), draw)!.runner
    const arrivedAtMs = clock.nowMs
    const inFlight: InFlightRequest = { requestId, fingerprint: requestId, model, pendingTokens: kind.promptTokens - memory.countCachedTokens(id, model, parts), sentAtMs: arrivedAtMs, hasOutput: false, maxPauseMs: MAX_PAUSE_MS }
    const release = table.trackRequest(id, inFlight)
    memory.noteParts(id, model, parts)
    const runner = runners[Number(id.slice(1))]!
    runner.addStream({
      ...kind,
      sharedPart,
      noteFirstEvent: (nowMs) => {
        inFlight.hasOutput = true
        table.noteReportedLoad(id, { running: 0, waiting: 0, slots: SLOTS, slowdown: report(Number(id.slice(1)), runner.readSlowdown(nowMs)) })
        if (nowMs - arrivedAtMs <= kind.objectiveMs) return
        if (kind === LONG) counts.lateLong += 1
        else counts.lateShort += 1
      },
      noteEnd: (longestPauseMs) => {
        release()
        if (longestPauseMs > MAX_PAUSE_MS) counts.longPauses += 1
      }
    }, arrivedAtMs)
  }

  /** What each daemon says now arrives at the others one interval later. */
  let messages: Array<() => void> = []
  const exchange = (): void => {
    for (const deliver of messages) deliver()
    messages = fleet.flatMap(({ table }, index) => {
      const loads = table.exportLoads()
      const speeds = table.takeSpeeds('all', (branch) => branch === undefined)?.map(([runner, percent, ageMs, usual]) => [runner, percent, ageMs + exchangeMs, usual])
      return fleet.filter((_, other) => other !== index).map((receiver) => () => {
        receiver.table.putPeerLoads(`d${index}`, loads)
        receiver.table.putPeerSpeeds(`d${index}`, speeds)
      })
    })
  }

  for (let tick = 1; tick <= seconds * 1_000 / TICK_MS; tick += 1) {
    clock.nowMs += TICK_MS
    for (const runner of runners) runner.runUntil(clock.nowMs)
    if (tick % (exchangeMs / TICK_MS) === 0) exchange()
    if (random() < longPerSecond * TICK_MS / 1_000) arrive(LONG)
    if (random() < shortPerSecond * TICK_MS / 1_000) arrive(SHORT)
  }
  const processed = runners.map(({ processedTokens }) => processedTokens)
  const total = processed.reduce((sum, tokens) => sum + tokens, 0)
  return { ...counts, processedTokens: total, processed, busiest: Math.max(...processed) * processed.length / total }
}
