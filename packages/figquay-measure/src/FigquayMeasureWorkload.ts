/** Open-loop arrivals of a deployment's kinds of request: bursty, skewed, with demand that moves. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { DeploymentName } from './FigquayMeasureDeployments.js'

/** Requests of one kind. */
export interface TrafficKind {
  readonly name: string
  /** Kind as the contract names it; several sorts of traffic may share one. */
  readonly kind: string
  readonly key: string
  /** Requests per second at load 1. */
  readonly rate: number
  readonly target: ModelTarget | ServiceTarget
  /** What the contract promises, in milliseconds. */
  readonly firstTokenWithinMs: number
  readonly answerWithinMs: number
}

/** A completion. */
export interface ModelTarget {
  readonly type: 'model'
  readonly models: readonly string[]
  readonly promptTokens: number
  readonly outputTokens: number
}

/** A call to a plain service. */
export interface ServiceTarget {
  readonly type: 'service'
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly isGuarded: boolean
}

/** One request that is due. */
export interface Arrival {
  readonly atMs: number
  readonly traffic: TrafficKind
  /** Index of the model, for completions. */
  readonly model: string
  readonly index: number
}

function makeNames (prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index + 1}`)
}

const MINUTES_10 = 600_000
const MANUALS = makeNames('manual', 14)
const SHOPS = makeNames('shop', 6)
const PLANS = makeNames('plan', 28)
const STITCHING = makeNames('stitching', 12)
const COUNTER: ModelTarget = { type: 'model', models: MANUALS, promptTokens: 5_000, outputTokens: 40 }
const SHOP: ModelTarget = { type: 'model', models: SHOPS, promptTokens: 150, outputTokens: 30 }

/** The brief's kinds of request. */
export const TRAFFIC: Readonly<Record<DeploymentName, readonly TrafficKind[]>> = {
  guild: [
    { name: 'counter-cairo', kind: 'counter', key: 'key-workshop-cairo', rate: 4, target: COUNTER, firstTokenWithinMs: 1_200, answerWithinMs: 6_000 },
    { name: 'counter-alexandria', kind: 'counter', key: 'key-workshop-alexandria', rate: 3, target: COUNTER, firstTokenWithinMs: 1_200, answerWithinMs: 6_000 },
    { name: 'shop', kind: 'shop', key: 'key-workshop-cairo', rate: 6, target: SHOP, firstTokenWithinMs: 1_200, answerWithinMs: 4_000 },
    { name: 'overnight', kind: 'overnight', key: 'key-wholesale', rate: 2, target: { ...COUNTER, outputTokens: 80 }, firstTokenWithinMs: MINUTES_10, answerWithinMs: MINUTES_10 },
    { name: 'order', kind: 'order', key: 'key-workshop-cairo', rate: 2, target: { type: 'service', method: 'POST', path: '/services/ledger/orders', isGuarded: true }, firstTokenWithinMs: 3_000, answerWithinMs: 3_000 },
    { name: 'stock', kind: 'stock', key: 'key-workshop-alexandria', rate: 4, target: { type: 'service', method: 'GET', path: '/services/ledger/stock/hinge-4', isGuarded: false }, firstTokenWithinMs: 2_000, answerWithinMs: 2_000 }
  ],
  fundacion: [
    { name: 'bench-plan', kind: 'bench-plan', key: 'key-coordinators', rate: 12, target: { type: 'model', models: PLANS, promptTokens: 3_000, outputTokens: 40 }, firstTokenWithinMs: 1_200, answerWithinMs: 6_000 },
    { name: 'stitching', kind: 'stitching', key: 'key-volunteers', rate: 6, target: { type: 'model', models: STITCHING, promptTokens: 200, outputTokens: 40 }, firstTokenWithinMs: 1_200, answerWithinMs: 4_000 },
    { name: 'overnight-plan', kind: 'overnight-plan', key: 'key-coordinators', rate: 3, target: { type: 'model', models: PLANS, promptTokens: 3_000, outputTokens: 80 }, firstTokenWithinMs: MINUTES_10, answerWithinMs: MINUTES_10 },
    { name: 'pickup', kind: 'pickup', key: 'key-coordinators', rate: 1, target: { type: 'service', method: 'POST', path: '/services/refill-desk/pickups', isGuarded: true }, firstTokenWithinMs: 3_000, answerWithinMs: 3_000 },
    { name: 'donation', kind: 'donation', key: 'key-coordinators', rate: 4, target: { type: 'service', method: 'GET', path: '/services/refill-desk/donations/17', isGuarded: false }, firstTokenWithinMs: 2_000, answerWithinMs: 2_000 }
  ]
}

/** Skew of the demand for models. */
const ZIPF_EXPONENT = 1.1
/** The ranking of models changes this many times in a run. */
const SHIFTS = 3
const BURST_FACTOR = 2.5
const CALM_FACTOR = 0.6
const MEAN_BURST_MS = 1_500
const MEAN_CALM_MS = 5_600

/** Draws from a seeded generator. */
class Random {
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

/** A model by Zipf's law; at each shift another model becomes the most wanted. */
function drawModel (models: readonly string[], random: Random, shift: number): string {
  const weights = models.map((_, rank) => 1 / (rank + 1) ** ZIPF_EXPONENT)
  let left = random.drawUniform() * weights.reduce((sum, weight) => sum + weight, 0)
  const rank = weights.findIndex((weight) => (left -= weight) <= 0)
  return models[(Math.max(0, rank) + shift * 5) % models.length]!
}

/** Arrivals of one kind: calm and bursts take turns. */
function makeKindArrivals (traffic: TrafficKind, load: number, durationMs: number, random: Random): Arrival[] {
  const arrivals: Arrival[] = []
  let isBurst = false
  let phaseEndMs = random.drawExponential(MEAN_CALM_MS)
  let atMs = 0
  for (let index = 0; ; index++) {
    const rate = traffic.rate * load * (isBurst ? BURST_FACTOR : CALM_FACTOR)
    atMs += random.drawExponential(1_000 / rate)
    if (atMs >= durationMs) return arrivals
    if (atMs > phaseEndMs) {
      isBurst = !isBurst
      phaseEndMs = atMs + random.drawExponential(isBurst ? MEAN_BURST_MS : MEAN_CALM_MS)
    }
    const shift = Math.floor(atMs / durationMs * SHIFTS)
    const model = traffic.target.type === 'model' ? drawModel(traffic.target.models, random, shift) : ''
    arrivals.push({ atMs, traffic, model, index })
  }
}

/**
 * All arrivals of a run, in order; the same for the same seed.
 *
 * @example
 * const arrivals = makeArrivals('guild', { load: 1, durationMs: 60_000, seed: 7 })
 */
export function makeArrivals (deployment: DeploymentName, options: { readonly load: number, readonly durationMs: number, readonly seed: number }): Arrival[] {
  return TRAFFIC[deployment]
    .flatMap((traffic, position) => makeKindArrivals(traffic, options.load, options.durationMs, new Random(options.seed * 1_000 + position)))
    .sort((a, b) => a.atMs - b.atMs)
}

const CHARACTERS_PER_TOKEN = 4

/**
 * A prompt of some length that begins like every prompt for its model.
 *
 * @example
 * makePrompt('manual-3', 5_000, 17)
 */
export function makePrompt (model: string, tokens: number, index: number): string {
  const page = `Parts manual ${model}: hinge clamps, chain tensioners, seat posts. `
  const length = tokens * CHARACTERS_PER_TOKEN
  return `${page.repeat(Math.ceil(length / page.length)).slice(0, Math.max(0, length - 60))} Question ${index}: which part fits?`
}
