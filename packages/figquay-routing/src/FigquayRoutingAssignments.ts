/** Runners set aside for requests. */
import type { ModelDemand } from './FigquayRoutingModelDemand.js'
import type { InFlight, RunnerReport, RunnerTable } from './FigquayRoutingRunnerTable.js'
import type { RoutedRequest } from './FigquayRoutingTypes.js'

/** A runner set aside for one request. */
export interface Assignment {
  readonly report: RunnerReport
  readonly entry: InFlight
  /** The request was in flight at a crash before. */
  readonly isCharged: boolean
  /** The prompt has been processed. */
  readonly noteFirstToken: () => void
  /** Ends the assignment. */
  readonly release: () => void
}

/** What a request asks of the dispatcher. */
export interface DispatchRequest {
  readonly request: RoutedRequest
  /** Model ids that will do, the best first. */
  readonly modelIds: readonly string[]
  /** An attempt was made already: such a request is no longer refused for being a little late. */
  readonly hasStarted: boolean
  readonly signal: AbortSignal
}

/** A choice, before it is noted in the table. */
export interface ChosenRunner {
  readonly report: RunnerReport
  readonly request: RoutedRequest
  readonly isCharged: boolean
  /** What the runner has to process of the prompt. */
  readonly promptTokens: number
  readonly predictedMs: number
  readonly endReservation: () => void
}

/** What assignments need. */
export interface AssignmentBookOptions {
  readonly table: RunnerTable
  readonly demand: ModelDemand
  /** Called when a runner may have room again. */
  readonly onRoom: () => void
}

/** The assignments of one daemon. */
export class AssignmentBook {
  private constructor (private readonly options: AssignmentBookOptions) {}

  /**
   * @example
   * const assignments = AssignmentBook.create({ table, demand, onRoom })
   */
  static create (options: AssignmentBookOptions): AssignmentBook {
    return new AssignmentBook(options)
  }

  /**
   * Notes a choice in the table, until it is released.
   *
   * @example
   * const assignment = assignments.makeAssignment(chosen)
   */
  makeAssignment ({ report, request, isCharged, promptTokens, predictedMs, endReservation }: ChosenRunner): Assignment {
    const entry: InFlight = {
      requestId: request.requestId,
      fingerprint: request.fingerprint,
      promptTokens,
      isBatch: request.kind.priority === 'batch',
      predictedMs,
      hasFirstToken: false
    }
    this.options.demand.notePrompt(request.model.name, promptTokens / Math.max(1, request.promptTokens))
    const unregister = this.options.table.registerInFlight(report.runner, entry)
    const release = (): void => {
      if (!entry.hasFirstToken) endReservation()
      unregister()
      this.options.onRoom()
    }
    const noteFirstToken = (): void => {
      entry.hasFirstToken = true
      endReservation()
      this.options.onRoom()
    }
    return { report, entry, isCharged, noteFirstToken, release }
  }

  /** Holders of the current version, or of an older one while the current is not ready anywhere. */
  listHolders (modelIds: readonly string[]): RunnerReport[] {
    for (const modelId of modelIds) {
      const holders = this.options.table.listHolders(modelId)
      if (holders.some((report) => this.options.table.isUsable(report))) return holders
    }
    return []
  }
}
