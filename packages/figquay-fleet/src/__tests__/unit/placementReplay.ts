/**
 * Replays load on a fleet of runners on virtual time, under any plan of models: skewed demand that shifts, bursts, rare
 * models, and runners of uneven speed. The load depends on the seed alone.
 */
import type { Clock } from 'figquay'
import { estimateProcessedTokens, FleetDemand, type ModelPlanInput, type ModelPlanStep, type PlannerModel, type PlannerRunner } from '../../index.js'

/** What is replayed. */
export interface ReplayScenario {
  readonly seed: number
  readonly seconds: number
  readonly runnerMb: number
  /** Usual slowdown of each runner. */
  readonly slowdowns: readonly number[]
  /** Size of each model. */
  readonly modelsMb: readonly number[]
  /** Models that are asked for once in a while: the last ones. */
  readonly rareModels: number
  readonly requestsPerSecond: number
  /** Places by which demand shifts every 8 s; 0 for steady demand. */
  readonly shiftPlaces: number
  readonly storeLoadMs: number
  readonly storeLoadsPerSecond: number
  /** Fraction of the requests that are for rare models; one in 60 by default. */
  readonly rareFraction?: number
  /** Time for which requests for rare models wait, in milliseconds; as long as others by default. */
  readonly rarePatienceMs?: number
  /** Adapters of each model that isn't rare; half of its requests name one. */
  readonly adaptersPerModel?: number
  /** Whether requests that can't wait for a load are refused as they arrive. */
  readonly isRefusedAtOnce?: boolean
  /** Runners that leave for good, by index, with the time at which they do. */
  readonly leavingAtMs?: ReadonlyMap<number, number>
}

/** A model as input of a plan, with what a plan by thresholds needs. */
export interface ReplayModel extends PlannerModel {
  readonly promptTokensPerSecond: number
}

/** What callers saw, and what it cost. */
export interface ReplayResult {
  requests: number
  /** First outputs after the objective, of requests that found a replica at once. */
  lateOutputs: number
  /** Requests that arrived while no replica was loaded. */
  withoutReplica: number
  /** Requests that waited in vain for a replica. */
  refused: number
  /** Streams with a pause over the allowed one. */
  paused: number
  loads: number
  /** Loads of models that no request waited for. */
  prefetches: number
  /** Models that were asked for and never served. */
  starvedModels: number
  /** Models and adapters that were asked for four times or more, over 8 s or more, and never served. */
  neverServed: number
}

interface ReplayRequest {
  readonly model: number
  /** The model and, if the request names one, its adapter. */
  readonly names: readonly string[]
  readonly isLong: boolean
  readonly arrivedAtMs: number
  sentAtMs: number
  foundReplica: boolean
  /** Prompt tokens that are still to be processed. */
  tokens: number
  steps: number
  stepsToEvent: number
  lastEventAtMs: number
  isPaused: boolean
}

interface ReplayRunner {
  readonly id: string
  readonly usualSlowdown: number
  slowdown: number
  slowUntilMs: number
  readonly loadedAtMs: Map<number, number>
  disk: number[]
  readonly cachedAtMs: Map<number, number>
  queue: ReplayRequest[]
  streams: ReplayRequest[]
  /** The order under way: drains the victims, then loads. */
  order: { readonly beneficiary: number, victims: number[], loadMs: number, readyAtMs: number | undefined, expectedAtMs: number } | undefined
}

const SLOTS = 32
const TICK_MS = 10
const PLAN_TICKS = 10
const PREFILL_TOKENS_PER_MS = 38
const CHUNK_TOKENS = 2_048
const STEP_MS = 5
const STEPS_PER_EVENT = 6
const MAX_PAUSE_MS = 500
const PATIENCE_MS = 2_000
const REPORT_LAG_MS = 200
const CACHE_TTL_MS = 20_000
const SHIFT_MS = 8_000
const LONG = { tokens: 9_190, shared: 6_300, events: 9, objectiveMs: 1_015 }
const SHORT = { tokens: 826, shared: 198, events: 49, objectiveMs: 807 }
const LONG_FRACTION = 0.4
const RARE_FRACTION = 1 / 60
/** For how long the leader knows of a need whose requests are refused as they arrive. */
const MISSED_NEED_MS = 2_000
const NEVER_SERVED_REQUESTS = 4
const NEVER_SERVED_SPAN_MS = 8_000
const DISK_MODELS = 8

/** Pseudorandom numbers from 0 to 1 (mulberry32). */
export function makeRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6D2B79F5) | 0
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32
  }
}

class Replay {
  private nowMs = 0
  private readonly random: () => number
  private readonly noise: () => number
  private readonly demand: FleetDemand
  private readonly runners: ReplayRunner[]
  private waiting: ReplayRequest[] = []
  private readonly missingSinceMs = new Map<number, number>()
  /** Time of the last request that was refused as it arrived, by model. */
  private readonly missedAtMs = new Map<number, number>()
  private readonly served = new Set<number>()
  private readonly asked = new Set<number>()
  /** Times of the requests for each model and adapter. */
  private readonly askedAtMs = new Map<string, number[]>()
  private readonly servedNames = new Set<string>()
  private readonly adapterRandom: () => number
  private storeLoadsAtMs: number[] = []
  private burstFactor = 1
  private readonly result: ReplayResult = { requests: 0, lateOutputs: 0, withoutReplica: 0, refused: 0, paused: 0, loads: 0, prefetches: 0, starvedModels: 0, neverServed: 0 }

  constructor (private readonly scenario: ReplayScenario, private readonly plan: (input: ModelPlanInput) => ModelPlanStep[]) {
    this.random = makeRandom(scenario.seed)
    this.noise = makeRandom(scenario.seed + 1)
    this.adapterRandom = makeRandom(scenario.seed + 2)
    this.demand = FleetDemand.create({ readMonotonicMs: () => this.nowMs } as Clock)
    this.runners = scenario.slowdowns.map((slowdown, index) => ({ id: `r${index}`, usualSlowdown: slowdown, slowdown, slowUntilMs: 0, loadedAtMs: new Map(), disk: [], cachedAtMs: new Map(), queue: [], streams: [], order: undefined }))
    this.fillRunners()
  }

  /** Loads each model once, as a fleet does that has been idle. */
  private fillRunners (): void {
    this.scenario.modelsMb.forEach((mb, model) => {
      const runner = [...this.runners].sort((a, b) => this.measureFreeMb(b) - this.measureFreeMb(a))[0]!
      if (this.measureFreeMb(runner) < mb) return
      runner.loadedAtMs.set(model, -60_000)
      runner.disk.push(model)
    })
  }

  private measureFreeMb (runner: ReplayRunner): number {
    return this.scenario.runnerMb - [...runner.loadedAtMs.keys()].reduce((sum, model) => sum + this.scenario.modelsMb[model]!, 0)
  }

  run (): ReplayResult {
    for (let tick = 0; this.nowMs < this.scenario.seconds * 1_000; tick += 1) {
      this.drawArrivals()
      this.removeLeavingRunners()
      for (const runner of this.runners) this.advanceRunner(runner)
      this.dispatchWaiting()
      if (tick % PLAN_TICKS === 0) this.runPlan()
      this.nowMs += TICK_MS
    }
    const isAskedThroughout = (atMs: readonly number[]): boolean => atMs.length >= NEVER_SERVED_REQUESTS && atMs.at(-1)! - atMs[0]! >= NEVER_SERVED_SPAN_MS
    this.result.neverServed = [...this.askedAtMs].filter(([name, atMs]) => isAskedThroughout(atMs) && !this.servedNames.has(name)).length
    this.result.starvedModels = [...this.asked].filter((model) => !this.served.has(model)).length
    return this.result
  }

  /** Requests on a runner that leaves are lost. */
  private removeLeavingRunners (): void {
    const { leavingAtMs } = this.scenario
    const gone = this.runners.filter(({ id }) => this.nowMs >= (leavingAtMs?.get(Number(id.slice(1))) ?? Number.POSITIVE_INFINITY))
    for (const runner of gone) this.runners.splice(this.runners.indexOf(runner), 1)
  }

  private drawArrivals (): void {
    // Bursts of 1.4 to 4 times the usual rate last for about two seconds, every 10 s or so.
    if (this.nowMs % 2_000 === 0) this.burstFactor = this.random() < 0.2 ? 1.4 + 2.6 * this.random() ** 2 : 1
    const mean = this.scenario.requestsPerSecond * this.burstFactor * TICK_MS / 1_000
    let count = 0
    for (let product = this.random(); product > Math.exp(-mean); product *= this.random()) count += 1
    for (let index = 0; index < count; index += 1) this.addRequest()
  }

  private addRequest (): void {
    const model = this.drawModel()
    const isLong = this.random() < LONG_FRACTION
    const kind = isLong ? LONG : SHORT
    const request: ReplayRequest = { model, names: this.drawNames(model), isLong, arrivedAtMs: this.nowMs, sentAtMs: this.nowMs, foundReplica: true, tokens: kind.tokens, steps: kind.events * STEPS_PER_EVENT, stepsToEvent: STEPS_PER_EVENT, lastEventAtMs: 0, isPaused: false }
    this.result.requests += 1
    for (const name of request.names) this.askedAtMs.set(name, [...this.askedAtMs.get(name) ?? [], this.nowMs])
    // Who asks at the end may still be waiting.
    if (this.nowMs < this.scenario.seconds * 1_000 - PATIENCE_MS) this.asked.add(model)
    this.demand.noteArrival(`m${model}`, kind.tokens)
    if (this.sendRequest(request)) return
    request.foundReplica = false
    this.result.withoutReplica += 1
    if (this.scenario.isRefusedAtOnce === true && this.choosePatience(request) < this.estimateLoadMs(model)) {
      this.result.refused += 1
      this.missedAtMs.set(model, this.nowMs)
    } else this.waiting.push(request)
  }

  /** Some requests are for rare models; the others follow a Zipf distribution that shifts. */
  private drawModel (): number {
    const { modelsMb, rareModels, shiftPlaces } = this.scenario
    const common = modelsMb.length - rareModels
    if (rareModels > 0 && this.random() < (this.scenario.rareFraction ?? RARE_FRACTION)) return common + Math.floor(this.random() * rareModels)
    const harmonic = Math.log(common) + 0.58
    const rank = Math.min(common - 1, Math.floor(Math.exp(this.random() * harmonic - 0.58 * 0.9)))
    return (rank * 7 + shiftPlaces * 7 * Math.floor(this.nowMs / SHIFT_MS)) % common
  }

  private drawNames (model: number): string[] {
    const { modelsMb, rareModels, adaptersPerModel = 0 } = this.scenario
    const adapter = Math.floor(2 * adaptersPerModel * this.adapterRandom())
    return model < modelsMb.length - rareModels && adapter < adaptersPerModel ? [`m${model}`, `m${model}/a${adapter}`] : [`m${model}`]
  }

  private sendRequest (request: ReplayRequest): boolean {
    const kind = request.isLong ? LONG : SHORT
    let best: ReplayRunner | undefined
    let lowestCost = Number.POSITIVE_INFINITY
    const cacheKey = request.model * 2 + (request.isLong ? 1 : 0)
    const countUncached = (runner: ReplayRunner): number => kind.tokens - (this.nowMs - (runner.cachedAtMs.get(cacheKey) ?? -Infinity) < CACHE_TTL_MS ? kind.shared : 0)
    for (const runner of this.runners) {
      if (!runner.loadedAtMs.has(request.model)) continue
      const pending = runner.queue.reduce((sum, queued) => sum + queued.tokens, 0)
      const cost = runner.usualSlowdown * (pending + countUncached(runner)) + (runner.streams.length + runner.queue.length) * (request.isLong ? 200 : 60)
      if (cost >= lowestCost) continue
      best = runner
      lowestCost = cost
    }
    if (best === undefined) return false
    request.tokens = countUncached(best)
    request.sentAtMs = this.nowMs
    best.cachedAtMs.set(cacheKey, this.nowMs)
    best.queue.push(request)
    this.served.add(request.model)
    for (const name of request.names) this.servedNames.add(name)
    return true
  }

  private dispatchWaiting (): void {
    this.waiting = this.waiting.filter((request) => {
      if (this.nowMs - request.arrivedAtMs > this.choosePatience(request)) {
        this.result.refused += 1
        return false
      }
      return !this.sendRequest(request)
    })
  }

  private estimateLoadMs (model: number): number {
    return this.runners.some(({ disk }) => disk.includes(model)) ? this.scenario.storeLoadMs / 5 : this.scenario.storeLoadMs
  }

  private choosePatience ({ model }: ReplayRequest): number {
    const { modelsMb, rareModels, rarePatienceMs } = this.scenario
    return model >= modelsMb.length - rareModels ? rarePatienceMs ?? PATIENCE_MS : PATIENCE_MS
  }

  private advanceRunner (runner: ReplayRunner): void {
    // A tenth of the time everything takes 2.5 times as long, for 0.4 s each.
    if (this.nowMs >= runner.slowUntilMs) runner.slowdown = runner.usualSlowdown
    if (this.noise() < 0.1 * TICK_MS / 400) Object.assign(runner, { slowdown: 2.5 * runner.usualSlowdown, slowUntilMs: this.nowMs + 400 })
    let budget = PREFILL_TOKENS_PER_MS * TICK_MS / runner.slowdown
    let isPrefilling = false
    while (budget > 0 && runner.queue.length > 0 && runner.streams.length < SLOTS) {
      const [request] = runner.queue
      const done = Math.min(budget, request!.tokens)
      request!.tokens -= done
      budget -= done
      isPrefilling = true
      if (request!.tokens <= 0) this.startStream(runner)
    }
    const stepMs = (isPrefilling ? CHUNK_TOKENS / PREFILL_TOKENS_PER_MS : STEP_MS) * runner.slowdown
    runner.streams = runner.streams.filter((stream) => this.advanceStream(stream, TICK_MS / stepMs))
    this.advanceOrder(runner)
  }

  private startStream (runner: ReplayRunner): void {
    const request = runner.queue.shift()!
    const { objectiveMs, tokens } = request.isLong ? LONG : SHORT
    this.demand.noteProcessedPrompt(`m${request.model}`, estimateProcessedTokens(tokens, this.nowMs - request.sentAtMs, runner.usualSlowdown))
    if (request.foundReplica && this.nowMs - request.arrivedAtMs > objectiveMs) this.result.lateOutputs += 1
    request.lastEventAtMs = this.nowMs
    runner.streams.push(request)
  }

  private advanceStream (stream: ReplayRequest, steps: number): boolean {
    stream.steps -= steps
    stream.stepsToEvent -= steps
    if (stream.stepsToEvent <= 0 || stream.steps <= 0) {
      if (this.nowMs - stream.lastEventAtMs > MAX_PAUSE_MS && !stream.isPaused) {
        stream.isPaused = true
        this.result.paused += 1
      }
      stream.lastEventAtMs = this.nowMs
      stream.stepsToEvent += STEPS_PER_EVENT
    }
    return stream.steps > 0
  }

  private advanceOrder (runner: ReplayRunner): void {
    const { order } = runner
    if (order === undefined) return
    if (order.readyAtMs === undefined) {
      const isDraining = [...runner.queue, ...runner.streams].some(({ model }) => order.victims.includes(model))
      if (!isDraining) order.readyAtMs = this.nowMs + REPORT_LAG_MS * (order.victims.length + 1) + order.loadMs
    } else if (this.nowMs >= order.readyAtMs) {
      runner.loadedAtMs.set(order.beneficiary, this.nowMs)
      runner.disk = [order.beneficiary, ...runner.disk.filter((model) => model !== order.beneficiary)].slice(0, DISK_MODELS)
      runner.order = undefined
    }
  }

  private countStoreLoads (): number {
    this.storeLoadsAtMs = this.storeLoadsAtMs.filter((atMs) => this.nowMs - atMs < 5_000)
    return this.storeLoadsAtMs.length
  }

  private runPlan (): void {
    const windowLoads = this.scenario.storeLoadsPerSecond * 5
    const orders = this.runners.flatMap(({ order }) => order ?? [])
    const input: ModelPlanInput = {
      slotsPerRunner: SLOTS,
      objectiveMs: SHORT.objectiveMs,
      maxPauseMs: MAX_PAUSE_MS,
      storeLoadsAllowed: Math.max(0, Math.ceil(windowLoads - this.countStoreLoads())),
      storeLoadsAheadAllowed: Math.max(0, Math.ceil(0.8 * windowLoads - this.countStoreLoads())),
      storeWaitMs: 0,
      activeStoreLoads: orders.filter(({ loadMs }) => loadMs === this.scenario.storeLoadMs).length,
      runners: this.runners.map((runner) => this.makePlannerRunner(runner)),
      models: this.scenario.modelsMb.map((_, model) => this.makePlannerModel(model, orders))
    }
    for (const step of this.plan(input)) this.startStep(step)
  }

  private startStep (step: ModelPlanStep): void {
    const runner = this.runners.find(({ id }) => id === step.runner)!
    const beneficiary = Number(step.beneficiary.slice(1))
    const victims = step.action === 'load' ? [] : [step.model, ...step.furtherVictims ?? []].map((name) => Number(name.slice(1)))
    const loadMs = runner.disk.includes(beneficiary) ? this.scenario.storeLoadMs / 5 : this.scenario.storeLoadMs
    if (loadMs === this.scenario.storeLoadMs) this.storeLoadsAtMs.push(this.nowMs)
    for (const victim of victims) runner.loadedAtMs.delete(victim)
    // What a plan evicts may not be enough; the runner then refuses the load, and the leader plans again.
    if (this.measureFreeMb(runner) < this.scenario.modelsMb[beneficiary]!) return
    this.result.loads += 1
    if (!this.waiting.some(({ model }) => model === beneficiary) && !this.isLoaded(beneficiary)) this.result.prefetches += 1
    runner.order = { beneficiary, victims, loadMs, readyAtMs: undefined, expectedAtMs: this.nowMs + 50 + loadMs }
  }

  private isLoaded (model: number): boolean {
    return this.runners.some((runner) => runner.loadedAtMs.has(model))
  }

  private makePlannerRunner (runner: ReplayRunner): PlannerRunner {
    const open = [...runner.queue, ...runner.streams]
    const remainingMs = runner.order === undefined ? 0 : Math.max(100, Math.abs(runner.order.expectedAtMs - this.nowMs))
    const reservedMb = runner.order === undefined ? 0 : this.scenario.modelsMb[runner.order.beneficiary]!
    return {
      id: runner.id,
      freeInMs: remainingMs,
      isServing: true,
      freeMb: this.measureFreeMb(runner) - reservedMb,
      slowdown: runner.usualSlowdown,
      loading: runner.order === undefined ? undefined : `m${runner.order.beneficiary}`,
      replicas: [...runner.loadedAtMs].map(([model, atMs]) => ({ model: `m${model}`, openRequests: open.filter((request) => request.model === model).length, ageMs: this.nowMs - atMs })),
      inMemory: [],
      onDisk: runner.disk.map((model) => `m${model}`),
      openRequests: open.length,
      pendingTokens: runner.queue.reduce((sum, request) => sum + request.tokens, 0)
    }
  }

  private makePlannerModel (model: number, orders: ReadonlyArray<NonNullable<ReplayRunner['order']>>): ReplayModel {
    const name = `m${model}`
    const wasMissed = !this.isLoaded(model) && this.nowMs - (this.missedAtMs.get(model) ?? -Infinity) < MISSED_NEED_MS
    const waitingRequests = Math.max(this.waiting.filter((request) => request.model === model).length, wasMissed ? 1 : 0)
    if (this.isLoaded(model) || waitingRequests === 0) this.missingSinceMs.delete(model)
    else this.missingSinceMs.set(model, this.missingSinceMs.get(model) ?? this.nowMs)
    const rate = this.demand.measureRate(name)
    const pending = orders.filter((order) => order.beneficiary === model).map((order) => Math.max(0, order.expectedAtMs - this.nowMs))
    return {
      spec: { name, weightsMb: this.scenario.modelsMb[model]!, storeLoadMs: this.scenario.storeLoadMs, diskLoadMs: this.scenario.storeLoadMs / 5, memoryLoadMs: this.scenario.storeLoadMs / 5, adapterCount: 0, adapterMb: 0 },
      requestsPerSecond: rate.requests,
      promptTokensPerSecond: rate.promptTokens,
      uncachedTokensPerSecond: rate.uncachedTokens,
      longTermRequestsPerSecond: rate.longTermRequests,
      waitingRequests,
      unavailableMs: this.nowMs - (this.missingSinceMs.get(model) ?? this.nowMs),
      readyInMs: pending.length === 0 ? undefined : Math.min(...pending),
      loadingReplicas: pending.length
    }
  }
}

/** Replays a scenario under a plan. */
export function replayPlacement (scenario: ReplayScenario, plan: (input: ModelPlanInput) => ModelPlanStep[]): ReplayResult {
  return new Replay(scenario, plan).run()
}

/** 21 runners of uneven speed with room for two to four of 52 models each, demand that shifts, and bursts. */
export function makeScarceScenario (seed: number): ReplayScenario {
  const random = makeRandom(seed + 99)
  return {
    seed,
    seconds: 64,
    runnerMb: 83_000,
    slowdowns: Array.from({ length: 21 }, (_, index) => index % 2 === 0 ? 0.55 : 1.2),
    modelsMb: Array.from({ length: 52 }, () => 16_100 + Math.floor(random() * 18_200)),
    rareModels: 16,
    requestsPerSecond: 60,
    shiftPlaces: 3,
    storeLoadMs: 1_200,
    storeLoadsPerSecond: 4
  }
}

/** 13 equal runners with room for three times the models, and steady demand. */
export function makeRoomyScenario (seed: number): ReplayScenario {
  return { ...makeScarceScenario(seed), runnerMb: 230_000, slowdowns: Array.from({ length: 13 }, () => 1), modelsMb: Array.from({ length: 39 }, () => 21_000), rareModels: 8, requestsPerSecond: 25, shiftPlaces: 1, storeLoadMs: 7_600, storeLoadsPerSecond: 1.1 }
}

/** Six runners with room for 18 models of which twelve are rare; some of the runners leave. */
export function makeLeavingScenario (seed: number): ReplayScenario {
  const random = makeRandom(seed + 99)
  return {
    seed,
    seconds: 48,
    runnerMb: 230_000,
    slowdowns: [1, 1, 1.3, 1, 1, 1.3],
    modelsMb: Array.from({ length: 18 }, () => random() < 0.5 ? 65_100 : 72_700),
    rareModels: 12,
    requestsPerSecond: 25,
    shiftPlaces: 1,
    storeLoadMs: 8_200,
    storeLoadsPerSecond: 1.1,
    rareFraction: 0.08,
    rarePatienceMs: 15_000,
    isRefusedAtOnce: true,
    adaptersPerModel: 7,
    leavingAtMs: new Map([[0, 6_000], [3, 16_000], [5, 19_000]])
  }
}
