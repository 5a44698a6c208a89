/** Generates open-loop arrivals for a deployment: bursty, with a skewed demand for models that shifts during the run. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { DeploymentName } from './FigquayMeasureDeployments.js'

/** A stream of requests with the same target and latency targets. */
export interface TrafficKind {
  readonly name: string
  /** Kind of request in the contract; several streams of traffic may share one. */
  readonly kind: string
  /** API key of the customer. */
  readonly key: string
  /** Mean number of requests per second at load 1. */
  readonly rate: number
  readonly target: ModelTarget | ServiceTarget
  /** Latency target of the contract, in milliseconds. */
  readonly firstTokenWithinMs: number
  readonly answerWithinMs: number
}

/** Parameters of completions. */
export interface ModelTarget {
  readonly type: 'model'
  readonly models: readonly string[]
  readonly promptTokens: number
  readonly outputTokens: number
}

/** Parameters of calls to a service that is not a model. */
export interface ServiceTarget {
  readonly type: 'service'
  readonly method: 'GET' | 'POST'
  readonly path: string
  /** Whether each call carries an idempotency key. */
  readonly hasIdempotencyKey: boolean
}

/** A request and the time at which it is due. */
export interface Arrival {
  /** Time since the start of the run, in milliseconds. */
  readonly atMs: number
  readonly traffic: TrafficKind
  /** Name of the model; empty for service calls. */
  readonly model: string
  readonly index: number
}

function makeModelNames (prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index + 1}`)
}

const TEN_MINUTES_MS = 600_000
const MANUAL_MODELS = makeModelNames('manual', 14)
const SHOP_MODELS = makeModelNames('shop', 6)
const PLAN_MODELS = makeModelNames('plan', 28)
const STITCHING_MODELS = makeModelNames('stitching', 12)
const COUNTER_TARGET: ModelTarget = { type: 'model', models: MANUAL_MODELS, promptTokens: 5_000, outputTokens: 40 }
const SHOP_TARGET: ModelTarget = { type: 'model', models: SHOP_MODELS, promptTokens: 150, outputTokens: 30 }

/** Traffic of the deployments in `examples/`. */
export const TRAFFIC: Readonly<Record<DeploymentName, readonly TrafficKind[]>> = {
  guild: [
    { name: 'counter-cairo', kind: 'counter', key: 'key-workshop-cairo', rate: 4, target: COUNTER_TARGET, firstTokenWithinMs: 1_200, answerWithinMs: 6_000 },
    { name: 'counter-alexandria', kind: 'counter', key: 'key-workshop-alexandria', rate: 3, target: COUNTER_TARGET, firstTokenWithinMs: 1_200, answerWithinMs: 6_000 },
    { name: 'shop', kind: 'shop', key: 'key-workshop-cairo', rate: 6, target: SHOP_TARGET, firstTokenWithinMs: 1_200, answerWithinMs: 4_000 },
    { name: 'overnight', kind: 'overnight', key: 'key-wholesale', rate: 2, target: { ...COUNTER_TARGET, outputTokens: 80 }, firstTokenWithinMs: TEN_MINUTES_MS, answerWithinMs: TEN_MINUTES_MS },
    { name: 'order', kind: 'order', key: 'key-workshop-cairo', rate: 2, target: { type: 'service', method: 'POST', path: '/services/ledger/orders', hasIdempotencyKey: true }, firstTokenWithinMs: 3_000, answerWithinMs: 3_000 },
    { name: 'stock', kind: 'stock', key: 'key-workshop-alexandria', rate: 4, target: { type: 'service', method: 'GET', path: '/services/ledger/stock/hinge-4', hasIdempotencyKey: false }, firstTokenWithinMs: 2_000, answerWithinMs: 2_000 }
  ],
  fundacion: [
    { name: 'bench-plan', kind: 'bench-plan', key: 'key-coordinators', rate: 12, target: { type: 'model', models: PLAN_MODELS, promptTokens: 3_000, outputTokens: 40 }, firstTokenWithinMs: 1_200, answerWithinMs: 6_000 },
    { name: 'stitching', kind: 'stitching', key: 'key-volunteers', rate: 6, target: { type: 'model', models: STITCHING_MODELS, promptTokens: 200, outputTokens: 40 }, firstTokenWithinMs: 1_200, answerWithinMs: 4_000 },
    { name: 'overnight-plan', kind: 'overnight-plan', key: 'key-coordinators', rate: 3, target: { type: 'model', models: PLAN_MODELS, promptTokens: 3_000, outputTokens: 80 }, firstTokenWithinMs: TEN_MINUTES_MS, answerWithinMs: TEN_MINUTES_MS },
    { name: 'pickup', kind: 'pickup', key: 'key-coordinators', rate: 1, target: { type: 'service', method: 'POST', path: '/services/refill-desk/pickups', hasIdempotencyKey: true }, firstTokenWithinMs: 3_000, answerWithinMs: 3_000 },
    { name: 'donation', kind: 'donation', key: 'key-coordinators', rate: 4, target: { type: 'service', method: 'GET', path: '/services/refill-desk/donations/17', hasIdempotencyKey: false }, firstTokenWithinMs: 2_000, answerWithinMs: 2_000 }
  ]
}

/** Exponent of the Zipf distribution of the demand over models. */
const ZIPF_EXPONENT = 1.1
/** Number of periods in a run; each has another ranking of the models by demand. */
const DEMAND_PERIODS = 3
/** Factors on the rate during bursts and between them; with the mean durations below, the mean rate is that of the traffic. */
const BURST_RATE_FACTOR = 2.5
const CALM_RATE_FACTOR = 0.6
const MEAN_BURST_MS = 1_500
const MEAN_CALM_MS = 5_600

/** Draws random numbers from a seeded generator. */
class SeededRandom {
  private readonly generator

  constructor (seed: number) {
    this.generator = xoroshiro128plus(seed)
  }

  drawUniform (): number {
    return uniformFloat64(this.generator)
  }

  drawExponential (mean: number): number {
    return -mean * Math.log(1 - this.drawUniform())
  }
}

/** Draws a model from a Zipf distribution; in each period of the run another model is the most popular. */
function drawModel (models: readonly string[], random: SeededRandom, period: number): string {
  const weights = models.map((_, rank) => 1 / (rank + 1) ** ZIPF_EXPONENT)
  let remainingWeight = random.drawUniform() * weights.reduce((sum, weight) => sum + weight, 0)
  const rank = weights.findIndex((weight) => (remainingWeight -= weight) <= 0)
  return models[(Math.max(0, rank) + period * 5) % models.length]!
}

/** Generates the arrivals of one kind of traffic; calm phases and bursts alternate. */
function makeKindArrivals (traffic: TrafficKind, load: number, durationMs: number, random: SeededRandom): Arrival[] {
  const arrivals: Arrival[] = []
  let isBurst = false
  let phaseEndMs = random.drawExponential(MEAN_CALM_MS)
  let atMs = 0
  for (let index = 0; ; index++) {
    const rate = traffic.rate * load * (isBurst ? BURST_RATE_FACTOR : CALM_RATE_FACTOR)
    atMs += random.drawExponential(1_000 / rate)
    if (atMs >= durationMs) return arrivals
    if (atMs > phaseEndMs) {
      isBurst = !isBurst
      phaseEndMs = atMs + random.drawExponential(isBurst ? MEAN_BURST_MS : MEAN_CALM_MS)
    }
    const period = Math.floor(atMs / durationMs * DEMAND_PERIODS)
    const model = traffic.target.type === 'model' ? drawModel(traffic.target.models, random, period) : ''
    arrivals.push({ atMs, traffic, model, index })
  }
}

/**
 * Generates all arrivals of a run, in order of time; the same seed gives the same arrivals.
 *
 * @example
 * const arrivals = makeArrivals('guild', { load: 1, durationMs: 60_000, seed: 7 })
 */
export function makeArrivals (deployment: DeploymentName, options: { readonly load: number, readonly durationMs: number, readonly seed: number }): Arrival[] {
  return TRAFFIC[deployment]
    .flatMap((traffic, position) => makeKindArrivals(traffic, options.load, options.durationMs, new SeededRandom(options.seed * 1_000 + position)))
    .sort((a, b) => a.atMs - b.atMs)
}

const CHARACTERS_PER_TOKEN = 4

/**
 * Makes a prompt of about the given number of tokens; all prompts for a model share their prefix, so that engines can cache it.
 *
 * @example
 * makePrompt('manual-3', 5_000, 17)
 */
export function makePrompt (model: string, tokens: number, index: number): string {
  const preamble = `Parts manual ${model}: hinge clamps, chain tensioners, seat posts. `
  const length = tokens * CHARACTERS_PER_TOKEN
  return `${preamble.repeat(Math.ceil(length / preamble.length)).slice(0, Math.max(0, length - 60))} Question ${index}: which part fits?`
}
