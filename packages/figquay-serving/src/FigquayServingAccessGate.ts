/** Applies decisions on access to requests: as they arrive, before each attempt, and to those that wait when a configuration comes into force. */
import type { Clock, Refusal } from 'figquay'
import { shortenDigest, type ConfigurationHolder } from 'figquay-fleet'
import { choosePriority, decideAccess, type Access, type AccessQuery, type GrantedAccess, type RefusedAccess } from './FigquayServingAccess.js'
import type { LoggedRequest, ServingTelemetry } from './FigquayServingTelemetry.js'
import type { ServedRequest } from './FigquayServingTypes.js'

/** Dependencies of the gate. */
export interface AccessGateOptions {
  readonly clock: Clock
  readonly configurations: ConfigurationHolder
  /** Whether the configuration in force is the newest that is known. */
  readonly isNewest: () => boolean
  readonly telemetry: ServingTelemetry
}

/** A request that is being served, with the decision on its access. */
export interface AccessSubject {
  /** Replaced when its customer changes. */
  request: ServedRequest
  /** Undefined before the first decision. */
  access: GrantedAccess | undefined
  /** Set once access was refused; it isn't granted again. */
  accessRefusal: Refusal | undefined
  /** Whether a runner has the request; its response is then delivered in any case. */
  isAttempting: boolean
  /** Ends the wait of a request that no runner has. */
  readonly endWait: () => void
}

/** Gate that requests pass on arrival and before each attempt. */
export class AccessGate {
  private readonly openSubjects = new Set<AccessSubject>()
  private inForceSinceMs: number

  private constructor (private readonly options: AccessGateOptions) {
    this.inForceSinceMs = options.clock.readMonotonicMs()
    options.configurations.registerListener(() => this.checkWaitingRequests())
  }

  /**
   * @example
   * const gate = AccessGate.create({ clock, configurations, isNewest: () => sync.isNewest, telemetry })
   */
  static create (options: AccessGateOptions): AccessGate {
    return new AccessGate(options)
  }

  /**
   * Decides on a request as it arrives.
   *
   * @example
   * const access = gate.decideArrival({ route, keyDigest })
   */
  decideArrival (query: AccessQuery): Access {
    return decideAccess(query, this.options.configurations, this.options.isNewest())
  }

  /**
   * Counts and logs a refusal.
   *
   * @example
   * gate.noteRefusal(request, keyDigest, access)
   */
  noteRefusal (request: LoggedRequest, keyDigest: string | undefined, { reason, version, refusal }: RefusedAccess): void {
    const { telemetry, clock } = this.options
    telemetry.noteAccessRefusal(request, reason)
    telemetry.recordDecision('access refused', request, { status: refusal.status, reason, key: keyDigest === undefined ? undefined : shortenDigest(keyDigest), version, inForceForMs: Math.round(clock.readMonotonicMs() - this.inForceSinceMs) })
  }

  /** Follows a request; returns the function that ends this. */
  registerSubject (subject: AccessSubject): () => void {
    this.openSubjects.add(subject)
    return () => {
      this.openSubjects.delete(subject)
    }
  }

  /**
   * Decides on a request again if the configuration has changed; returns the refusal of one that may no longer run.
   *
   * @example
   * const refusal = gate.checkAccess(progress)
   */
  checkAccess (subject: AccessSubject): Refusal | undefined {
    const { configurations, isNewest } = this.options
    const { request } = subject
    // What a version grants, it grants for as long as it is in force.
    if (subject.accessRefusal !== undefined || subject.access?.version === configurations.version) return subject.accessRefusal
    const access = decideAccess(request, configurations, isNewest())
    if (access.type === 'refused') {
      subject.accessRefusal = access.refusal
      this.noteRefusal(request, request.keyDigest, access)
      return access.refusal
    }
    subject.access = access
    if (access.customer !== request.customer) subject.request = { ...request, customer: access.customer, priority: choosePriority(request.route, access.customer) }
    return undefined
  }

  /** A request that waits is refused at once when its key is removed, however long it would have waited. */
  private checkWaitingRequests (): void {
    this.inForceSinceMs = this.options.clock.readMonotonicMs()
    for (const subject of [...this.openSubjects]) {
      if (!subject.isAttempting && this.checkAccess(subject) !== undefined) subject.endWait()
    }
  }
}
