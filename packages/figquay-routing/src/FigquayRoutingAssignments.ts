/** Assignments of requests to runners. */
import type { ModelDemand } from './FigquayRoutingModelDemand.js'
import type { InFlightRequest, RunnerReport, RunnerTable } from './FigquayRoutingRunnerTable.js'
import type { RoutedRequest } from './FigquayRoutingTypes.js'

/** A runner assigned to one request. */
export interface Assignment {
  readonly report: RunnerReport
  readonly entry: InFlightRequest
  /** Whether the request was in flight when an upstream crashed. */
  readonly isSuspect: boolean
  /** Records that the runner has processed the prompt. */
  readonly recordFirstToken: () => void
  /** Ends the assignment. */
  readonly release: () => void
}

/** A request to the dispatcher for a runner. */
export interface DispatchRequest {
  readonly request: RoutedRequest
  /** Ids of the acceptable model versions, in order of preference. */
  readonly modelIds: readonly string[]
  /** Whether an earlier attempt may have reached a runner; such a request is no longer refused for being slightly late. */
  readonly hasStarted: boolean
  readonly signal: AbortSignal
}

/** A selected runner, before the assignment is registered in the runner table. */
export interface RunnerChoice {
  readonly report: RunnerReport
  readonly request: RoutedRequest
  readonly isSuspect: boolean
  /** Prompt tokens that the runner has to process, without those in its cache. */
  readonly prefillTokens: number
  readonly predictedMs: number
  readonly releaseReservation: () => void
}

/** Dependencies of the assignment registry. */
export interface AssignmentRegistryOptions {
  readonly table: RunnerTable
  readonly demand: ModelDemand
  /** Called when a runner may have free capacity again. */
  readonly onCapacityFreed: () => void
}

/** Registers the assignments of one daemon. */
export class AssignmentRegistry {
  private constructor (private readonly options: AssignmentRegistryOptions) {}

  /**
   * @example
   * const assignments = AssignmentRegistry.create({ table, demand, onCapacityFreed })
   */
  static create (options: AssignmentRegistryOptions): AssignmentRegistry {
    return new AssignmentRegistry(options)
  }

  /**
   * Registers an assignment in the runner table until it is released.
   *
   * @example
   * const assignment = assignments.registerAssignment(choice)
   */
  registerAssignment ({ report, request, isSuspect, prefillTokens, predictedMs, releaseReservation }: RunnerChoice): Assignment {
    const entry: InFlightRequest = {
      requestId: request.requestId,
      fingerprint: request.fingerprint,
      promptTokens: prefillTokens,
      isBatch: request.kind.priority === 'batch',
      predictedMs,
      hasFirstToken: false
    }
    this.options.demand.recordUncachedFraction(request.model.name, prefillTokens / Math.max(1, request.promptTokens))
    const unregister = this.options.table.registerInFlight(report.runner, entry)
    const release = (): void => {
      if (!entry.hasFirstToken) releaseReservation()
      unregister()
      this.options.onCapacityFreed()
    }
    const recordFirstToken = (): void => {
      entry.hasFirstToken = true
      releaseReservation()
      this.options.onCapacityFreed()
    }
    return { report, entry, isSuspect, recordFirstToken, release }
  }

  /** Runners that hold the current version of a model, or an older version while no usable runner holds the current one. */
  listHolders (modelIds: readonly string[]): RunnerReport[] {
    for (const modelId of modelIds) {
      const holders = this.options.table.listHolders(modelId)
      if (holders.some((report) => this.options.table.isUsable(report))) return holders
    }
    return []
  }
}
