/**
 * Which models are loaded and unloaded where. Pure: no clock, no I/O.
 *
 * Answers these load patterns: a rarely used model that is asked for while no runner holds it (loaded where that is
 * quickest, in place of what is missed least); demand that moves to another model within seconds (further copies as
 * soon as requests pile up on the copies there are); a runner that is lost with the only copy of a model; more models
 * asked for all the time than there are places, so that no copy is ever idle (they take turns, the more asked for longer).
 */
import { findSource, measureLoadMs } from './FigquayFleetCopies.js'
import type { ModelSpec } from './FigquayFleetTypes.js'

/** A model on a runner, as the plan sees it. */
export interface PlannedCopy {
  readonly model: string
  /** Requests under way on it. */
  readonly openRequests: number
  /** Time since it was loaded here, in milliseconds. */
  readonly ageMs: number
}

/** A runner, as the plan sees it. */
export interface PlannedRunner {
  readonly id: string
  /** Time until it may be given an order, in milliseconds; infinite when that can't be told. */
  readonly freeInMs: number
  /** Takes requests: its copies count. */
  readonly isServing: boolean
  readonly freeMb: number
  readonly copies: readonly PlannedCopy[]
  readonly inMemory: readonly string[]
  readonly onDisk: readonly string[]
  readonly openRequests: number
  /** Prompt tokens that wait there. */
  readonly pendingTokens: number
}

/** A model, as the plan sees it. */
export interface PlannedModel {
  readonly spec: ModelSpec
  /** Requests a second. */
  readonly rate: number
  /** Prompt tokens a second. */
  readonly tokenRate: number
  /** Requests that wait for a copy. */
  readonly waiting: number
  /** Time for which requests have found no copy, in milliseconds; 0 while there is one. */
  readonly missingMs: number
  /** Time until a copy that is being made is ready, in milliseconds; undefined when none is. */
  readonly comingInMs: number | undefined
  /** Copies that are being made. */
  readonly comingCopies: number
}

/** What a plan is made from. */
export interface ModelPlanView {
  /** Requests that one runner works on at once. */
  readonly slots: number
  readonly runners: readonly PlannedRunner[]
  readonly models: readonly PlannedModel[]
  /** Whether one more load from the weight store may begin. */
  readonly canLoadFromStore: boolean
  /** Loads from the weight store that are under way. */
  readonly storeLoads: number
}

/** One step: a load, or an unload that makes room for it. */
export interface ModelMove {
  readonly action: 'load' | 'unload'
  readonly runner: string
  /** Model that is loaded or unloaded. */
  readonly model: string
  /** Model that the step is for. */
  readonly beneficiary: string
  /** Whether the beneficiary comes from the weight store. */
  readonly fromStore: boolean
  readonly reason: string
}

/** Part of a runner's slots that the requests on one copy may take before one more copy pays: a batch slows little until then. */
const CROWDED_PART = 0.4
/** Prompt tokens of the requests on one copy above which one more copy pays: about a second of a runner's work. */
const CROWDED_TOKENS = 45_000
/** Requests under way on a runner that weigh as much as a second of loading time. */
const REQUESTS_PER_SECOND_OF_LOADING = 8
/** Prompt tokens a second that one copy takes without holding up the streams beside it: a third of a runner's speed. */
const TOKENS_PER_COPY = 14_000
/** Copies that are made of a model at once, as a part of those it has: a steep rise is met within a few loading times. */
const COMING_PART = 1
/** Copies that may be made of a model at once however few it has. */
const FEWEST_COMING = 2
/** Weight of a runner's waiting prompt tokens against a second of loading time. */
const SECONDS_PER_PENDING_TOKEN = 1 / 10_000
/** A copy that was loaded less long ago stays, in milliseconds, or two models would push each other out in turn. */
const SETTLING_MS = 4_000
/** Weight of a second of loading time against one request a second that loses its copy. */
const LOSS_PER_REQUEST_RATE = 1
/** Least loss in giving up a further copy: it was put there for a demand that may not have come yet. */
const SURPLUS_LOSS = 0.05
/** Loss that is borne to bring a model near that could only come from the weight store, before anyone asks for it. */
const FETCH_LOSS = 0.3
/** Loss in giving up the only copy of a model, in seconds of loading, however seldom it is asked for. */
const LAST_COPY_LOSS = 0.5
/** Part of the runners that may be held up by loads from the weight store that no request waits for. */
const HELD_UP_PART = 0.25
/** A second load of a model that requests wait for pays when it is ready this much sooner than the first, in seconds. */
const WORTHWHILE_SECONDS = 2
/** Time that a copy in use takes to finish its requests before it makes way, in seconds. */
const DRAIN_SECONDS = 2
/** Loss in a copy in use that is borne for each second in which a model's requests have found no copy: all get their turn. */
const GAIN_PER_MISSING_SECOND = 0.5
const MS_PER_SECOND = 1_000

/** Why a model that requests wait for gets no copy now. */
export type UnplacedReason =
  /** The runner that would be best has an order to carry out first. */
  | 'its runner is busy'
  /** Every copy that could make way has just come, or is worth more. */
  | 'no copy makes way'
  /** A load that is under way is ready nearly as soon. */
  | 'a copy is coming'
  /** It could come from the weight store only, which takes no more loads now. */
  | 'the weight store is at its limit'

interface Option {
  readonly move: ModelMove
  readonly cost: number
  /** Time until the model could be ready, in seconds. */
  readonly readyInSeconds: number
  /** The runner is still busy: better to wait for it than to take a worse one. */
  readonly isLater: boolean
}

/** What a view says of each model, gathered in one pass over its runners. */
class ModelIndex {
  /** Copies on runners that serve. */
  private readonly copies = new Map<string, number>()
  /** Requests under way, over all copies. */
  private readonly open = new Map<string, number>()
  /** Runners that have a copy at hand, or hold one. */
  private readonly atHand = new Map<string, PlannedRunner[]>()
  readonly servingCount: number

  constructor (runners: readonly PlannedRunner[]) {
    this.servingCount = runners.filter((runner) => runner.isServing).length
    for (const runner of runners) {
      for (const { model, openRequests } of runner.copies) {
        this.open.set(model, (this.open.get(model) ?? 0) + openRequests)
        if (runner.isServing) this.copies.set(model, (this.copies.get(model) ?? 0) + 1)
      }
      for (const model of new Set([...runner.inMemory, ...runner.onDisk])) {
        const known = this.atHand.get(model) ?? []
        this.atHand.set(model, known)
        known.push(runner)
      }
    }
  }

  countCopies (model: string): number {
    return this.copies.get(model) ?? 0
  }

  sumOpen (model: string): number {
    return this.open.get(model) ?? 0
  }

  listAtHand (model: string): readonly PlannedRunner[] {
    return this.atHand.get(model) ?? []
  }
}

interface Victim {
  readonly model: string
  readonly loss: number
  readonly isInUse: boolean
}

/** What is asked of the way to a further copy. */
interface CopyWish {
  readonly reason: string
  /** Loss that may be borne for it in an idle copy. */
  readonly mostLoss: number
  /** The same in a copy that is in use. */
  readonly mostLossInUse: number
}

/** One way of planning, over a view that doesn't change meanwhile. */
class ModelPlanner {
  private readonly index: ModelIndex
  private readonly models: ReadonlyMap<string, PlannedModel>
  private readonly taken = new Set<string>()
  private readonly victims = new Map<string, Victim | undefined>()
  private canLoadFromStore: boolean

  constructor (private readonly view: ModelPlanView, private readonly noteUnplaced: (model: string, reason: UnplacedReason, runner: string | undefined) => void) {
    this.index = new ModelIndex(view.runners)
    this.models = new Map(view.models.map((model) => [model.spec.name, model]))
    this.canLoadFromStore = view.canLoadFromStore
  }

  planMoves (): ModelMove[] {
    const missing = this.view.models.filter((model) => this.countCopies(model) === 0)
    const wanted = missing.filter((model) => model.waiting > 0).sort((a, b) => b.waiting - a.waiting || b.rate - a.rate)
    const crowded = this.view.models.filter((model) => this.countLacking(model) > 0).sort((a, b) => b.rate - a.rate)
    const unwanted = missing.filter((model) => model.waiting === 0 && model.comingInMs === undefined).sort((a, b) => b.rate - a.rate)
    return [
      ...wanted.flatMap((model) => this.planWanted(model)),
      ...crowded.flatMap((model) => this.planFurtherCopies(model)),
      ...unwanted.flatMap((model) => this.planCopy(model, { reason: 'no runner holds it', mostLoss: this.isNear(model) ? 0 : FETCH_LOSS, mostLossInUse: 0 }))
    ]
  }

  private planWanted (model: PlannedModel): ModelMove[] {
    // A copy in use keeps its runner from other orders until it has drained: mostly an idle one turns up before that pays.
    const mostLossInUse = GAIN_PER_MISSING_SECOND * model.missingMs / MS_PER_SECOND
    const wish = { reason: 'requests wait and no runner holds it', mostLoss: Number.POSITIVE_INFINITY, mostLossInUse }
    return this.planCopy(model, wish, (reason, runner) => this.noteUnplaced(model.spec.name, reason, runner))
  }

  private countCopies (model: PlannedModel): number {
    return this.index.countCopies(model.spec.name)
  }

  /** Whether a runner has a copy at hand from which the model would be ready soon. */
  private isNear ({ spec }: PlannedModel): boolean {
    return this.index.listAtHand(spec.name).some((runner) => runner.isServing)
  }

  /** Copies beyond those that there are and are being made, as many as may be begun now; none for a model without a copy. */
  private countLacking (model: PlannedModel): number {
    const copies = this.countCopies(model)
    if (copies === 0) return 0
    const wantedByRate = 1 + Math.floor(model.tokenRate / TOKENS_PER_COPY)
    const wantedByCrowd = Math.ceil((this.index.sumOpen(model.spec.name) + model.waiting) / this.countBearable(model))
    const mostComing = Math.max(FEWEST_COMING, Math.floor(copies * COMING_PART))
    return Math.min(Math.max(wantedByRate, wantedByCrowd) - copies, mostComing) - model.comingCopies
  }

  /** Requests that one copy of a model bears: few with long prompts, which hold up each other and the streams beside them. */
  private countBearable ({ rate, tokenRate }: PlannedModel): number {
    const tokensPerRequest = rate > 0 ? tokenRate / rate : 0
    return Math.max(1, Math.min(this.view.slots * CROWDED_PART, CROWDED_TOKENS / Math.max(1, tokensPerRequest)))
  }

  private planFurtherCopies (model: PlannedModel): ModelMove[] {
    return Array.from({ length: this.countLacking(model) }).flatMap(() => this.planCopy({ ...model, comingInMs: undefined }, { reason: 'its copies are crowded', mostLoss: model.rate, mostLossInUse: 0 }))
  }

  /** The cheapest way to a further copy, if there is one that the wish allows and that can begin now. */
  private planCopy (model: PlannedModel, wish: CopyWish, explain: (reason: UnplacedReason, runner: string | undefined) => void = () => {}): ModelMove[] {
    const best = this.findBest(model, wish)
    const objection = this.judgeOption(model, best)
    // What waits for a runner has its next order: others look elsewhere.
    if (best?.isLater === true) this.taken.add(best.move.runner)
    if (objection !== undefined) explain(objection, best?.move.runner)
    if (objection !== undefined || best === undefined) return []
    this.taken.add(best.move.runner)
    if (best.move.fromStore) this.canLoadFromStore = false
    return [best.move]
  }

  private findBest (model: PlannedModel, wish: CopyWish): Option | undefined {
    let best: Option | undefined
    for (const runner of this.canFetch(model) ? this.view.runners : this.index.listAtHand(model.spec.name)) {
      if (!this.canTake(runner, model)) continue
      const option = this.weighOption(model, runner, wish)
      if (option !== undefined && (best === undefined || option.cost < best.cost)) best = option
    }
    return best
  }

  private canTake (runner: PlannedRunner, { spec }: PlannedModel): boolean {
    return Number.isFinite(runner.freeInMs) && !this.taken.has(runner.id) && !runner.copies.some((copy) => copy.model === spec.name)
  }

  /** Why the best option isn't taken now. */
  private judgeOption (model: PlannedModel, best: Option | undefined): UnplacedReason | undefined {
    if (best === undefined) return this.canFetch(model) || this.isNear(model) ? 'no copy makes way' : 'the weight store is at its limit'
    if (best.isLater) return 'its runner is busy'
    return this.isSooner(model, best) ? undefined : 'a copy is coming'
  }

  /** Whether an option is ready well before a copy that is already being made. */
  private isSooner ({ comingInMs }: PlannedModel, option: Option): boolean {
    return comingInMs === undefined || comingInMs / MS_PER_SECOND > option.readyInSeconds + WORTHWHILE_SECONDS
  }

  /** A load from the weight store takes long and keeps its runner from other orders. */
  private canFetch (model: PlannedModel): boolean {
    const isNeeded = model.waiting > 0 && this.countCopies(model) === 0
    return this.canLoadFromStore && (isNeeded || this.view.storeLoads < Math.max(1, this.index.servingCount * HELD_UP_PART))
  }

  private weighOption (model: PlannedModel, runner: PlannedRunner, wish: CopyWish): Option | undefined {
    const { spec } = model
    const source = findSource(spec, runner)
    const fromStore = source === 'store'
    const loadSeconds = measureLoadMs(spec, source) / MS_PER_SECOND + runner.freeInMs / MS_PER_SECOND
    const isLater = runner.freeInMs > 0
    const crowding = runner.openRequests / REQUESTS_PER_SECOND_OF_LOADING + runner.pendingTokens * SECONDS_PER_PENDING_TOKEN
    const move = { runner: runner.id, beneficiary: spec.name, fromStore, reason: wish.reason }
    if (runner.freeMb >= spec.weightsMb) {
      return { cost: loadSeconds + crowding, readyInSeconds: loadSeconds, isLater, move: { ...move, action: 'load', model: spec.name } }
    }
    const victim = this.findVictim(runner)
    if (victim === undefined || victim.loss > (victim.isInUse ? wish.mostLossInUse : wish.mostLoss)) return undefined
    const readyInSeconds = loadSeconds + (victim.isInUse ? DRAIN_SECONDS : 0)
    return { cost: readyInSeconds + crowding + victim.loss, readyInSeconds, isLater, move: { ...move, action: 'unload', model: victim.model } }
  }

  /** The copy on a runner that is missed least, one in use only if none is idle; none that waits or has just come. */
  private findVictim (runner: PlannedRunner): Victim | undefined {
    if (this.victims.has(runner.id)) return this.victims.get(runner.id)
    const [victim] = runner.copies
      .filter((copy) => copy.ageMs >= SETTLING_MS && (this.models.get(copy.model)?.waiting ?? 0) === 0)
      .map((copy) => ({ model: copy.model, loss: this.measureLoss(copy.model), isInUse: copy.openRequests > 0 }))
      .sort((a, b) => Number(a.isInUse) - Number(b.isInUse) || a.loss - b.loss)
    this.victims.set(runner.id, victim)
    return victim
  }

  /** What giving up a copy costs, in seconds of loading weighed by the requests that would miss it. */
  private measureLoss (name: string): number {
    const model = this.models.get(name)
    if (model === undefined) return 0
    const copies = this.countCopies(model)
    if (copies > 1) return SURPLUS_LOSS + LOSS_PER_REQUEST_RATE * model.rate / copies
    // A copy stays on the runner's disk, but the runner is mostly busy when the model is missed: another fetches it.
    return LAST_COPY_LOSS + LOSS_PER_REQUEST_RATE * model.rate * (1 + model.spec.storeLoadMs / MS_PER_SECOND)
  }
}

/**
 * Plans the next loads and unloads; each runner gets one at most. The work grows with the runners and with the models,
 * not with their product: what is at hand is looked up, and a plan fetches at most one model from the weight store.
 *
 * @param noteUnplaced Told of each model that requests wait for and that gets no copy by this plan, with the runner that
 * would have been best.
 * @example
 * planModels(view).forEach((move) => orders.runMove(move))
 */
export function planModels (view: ModelPlanView, noteUnplaced: (model: string, reason: UnplacedReason, runner: string | undefined) => void = () => {}): ModelMove[] {
  return new ModelPlanner(view, noteUnplaced).planMoves()
}
