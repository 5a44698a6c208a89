/** What changes from one configuration to a newer one, so that daemons send each other the difference instead of the document. */
import { applyCustomersUpdate, computeCustomersUpdate, shareUnchangedCustomers, type CustomersUpdate } from './FigquayFleetCustomerUpdate.js'
import type { CallerLimits, EnginePool, FleetConfiguration, ModelSpec, Route, Service } from './FigquayFleetTypes.js'

type SerializedEngine = Omit<EnginePool, 'models'> & { readonly models: ReadonlyArray<readonly [string, ModelSpec]> }
type SerializedService = Omit<Service, 'engine'> & { readonly engine: SerializedEngine | undefined }

/** Changes that turn one version of the configuration into a newer one; serializable as JSON. */
export interface ConfigurationUpdate {
  /** Version that the changes apply to; undefined when they contain the whole configuration. */
  readonly baseVersion: number | undefined
  readonly version: number
  /** Keys of the routes that are not in the new version. */
  readonly removedRoutes: readonly string[]
  /** Routes that are new or differ, by key. */
  readonly changedRoutes: ReadonlyArray<readonly [key: string, route: Route]>
  /** All services, or undefined when none differs. */
  readonly services: readonly SerializedService[] | undefined
  /** Daemons of an older release, which know no customers, send none. */
  readonly customers?: CustomersUpdate
  readonly limits: CallerLimits
}

/** Routes by key. A document may name a host and prefix more than once, of which the first counts; the key numbers them. */
function indexRoutes (routes: readonly Route[]): Map<string, Route> {
  const routesByKey = new Map<string, Route>()
  for (const route of routes) {
    let key = `${route.host}\n${route.pathPrefix}`
    for (let duplicate = 1; routesByKey.has(key); duplicate += 1) key = `${route.host}\n${route.pathPrefix}\n${duplicate}`
    routesByKey.set(key, route)
  }
  return routesByKey
}

function isEqualJson (a: unknown, b: unknown): boolean {
  return a === b || JSON.stringify(a) === JSON.stringify(b)
}

function serializeServices (services: FleetConfiguration['services']): SerializedService[] {
  return [...services.values()].map((service) => ({ ...service, engine: service.engine === undefined ? undefined : { ...service.engine, models: [...service.engine.models] } }))
}

function deserializeServices (services: readonly SerializedService[]): FleetConfiguration['services'] {
  return new Map(services.map((service): [string, Service] => [service.name, { ...service, engine: service.engine === undefined ? undefined : { ...service.engine, models: new Map(service.engine.models) } }]))
}

/**
 * Returns a configuration that shares the routes, services and customers that it has in common with an earlier one, so that the two
 * can be compared by reference.
 *
 * @example
 * shareUnchangedParts(active, decoded)
 */
export function shareUnchangedParts (earlier: FleetConfiguration, later: FleetConfiguration): FleetConfiguration {
  const earlierRoutes = indexRoutes(earlier.routes)
  const routes = [...indexRoutes(later.routes)].map(([key, route]) => {
    const earlierRoute = earlierRoutes.get(key)
    return earlierRoute !== undefined && isEqualJson(earlierRoute, route) ? earlierRoute : route
  })
  const hasSameServices = isEqualJson(serializeServices(earlier.services), serializeServices(later.services))
  return { ...later, routes, services: hasSameServices ? earlier.services : later.services, customers: shareUnchangedCustomers(earlier.customers, later.customers) }
}

/**
 * Computes the changes between two configurations that share their unchanged parts; without a base, the whole configuration.
 *
 * @example
 * computeConfigurationUpdate(previous, active).changedRoutes
 */
export function computeConfigurationUpdate (base: FleetConfiguration | undefined, target: FleetConfiguration): ConfigurationUpdate {
  const { version, limits } = target
  const customers = computeCustomersUpdate(base?.customers, target.customers)
  if (base === undefined) return { baseVersion: undefined, version, removedRoutes: [], changedRoutes: [...indexRoutes(target.routes)], services: serializeServices(target.services), customers, limits }
  const baseRoutes = indexRoutes(base.routes)
  const targetRoutes = indexRoutes(target.routes)
  return {
    baseVersion: base.version,
    version,
    removedRoutes: [...baseRoutes.keys()].filter((key) => !targetRoutes.has(key)),
    changedRoutes: [...targetRoutes].filter(([key, route]) => baseRoutes.get(key) !== route),
    services: base.services === target.services ? undefined : serializeServices(target.services),
    customers,
    limits
  }
}

/**
 * Applies changes to a configuration; undefined if they don't apply to it.
 *
 * @example
 * const configuration = applyConfigurationUpdate(active, update)
 */
export function applyConfigurationUpdate (base: FleetConfiguration | undefined, update: ConfigurationUpdate): FleetConfiguration | undefined {
  const { version, limits, baseVersion } = update
  // A sender that knows no customers may have dropped those of the document: callers would need no keys any more.
  if (update.customers === undefined) return undefined
  if (baseVersion === undefined) {
    return update.services === undefined ? undefined : { version, limits, customers: applyCustomersUpdate(undefined, update.customers), routes: update.changedRoutes.map(([, route]) => route), services: deserializeServices(update.services) }
  }
  if (base?.version !== baseVersion) return undefined
  const routes = indexRoutes(base.routes)
  for (const key of update.removedRoutes) routes.delete(key)
  for (const [key, route] of update.changedRoutes) routes.set(key, route)
  return { version, limits, customers: applyCustomersUpdate(base.customers, update.customers), routes: [...routes.values()], services: update.services === undefined ? base.services : deserializeServices(update.services) }
}
