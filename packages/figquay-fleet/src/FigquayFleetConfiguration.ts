/** The active configuration. Its version only increases, whichever source a configuration comes from. */
import { setBounded } from 'figquay'
import { shareUnchangedParts } from './FigquayFleetConfigurationUpdate.js'
import { CustomerIndex } from './FigquayFleetCustomerIndex.js'
import type { Customer, FleetConfiguration, Route, Service } from './FigquayFleetTypes.js'

/** Versions that are kept, so that a daemon that has one of them can be sent the difference alone. */
const KEPT_VERSIONS = 32

/** Routes by host, the longest path prefix first. */
type RouteIndex = ReadonlyMap<string, readonly Route[]>

function makeRouteIndex (routes: readonly Route[]): RouteIndex {
  const index = new Map<string, Route[]>()
  for (const route of routes) {
    const hostRoutes = index.get(route.host)
    if (hostRoutes === undefined) index.set(route.host, [route])
    else hostRoutes.push(route)
  }
  for (const ofHost of index.values()) ofHost.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  return index
}

/** Holds the newest configuration that this daemon has received. */
export class ConfigurationHolder {
  private configuration: FleetConfiguration | undefined
  /** The newest versions, the active one included, by version. */
  private readonly kept = new Map<number, FleetConfiguration>()
  private routeIndex: RouteIndex = new Map()
  private readonly customerIndex = CustomerIndex.create()
  private readonly listeners = new Set<(configuration: FleetConfiguration) => void>()

  private constructor () {}

  /**
   * @example
   * const configurations = ConfigurationHolder.create()
   */
  static create (): ConfigurationHolder {
    return new ConfigurationHolder()
  }

  /** The active configuration; undefined until the first one is received. */
  get current (): FleetConfiguration | undefined {
    return this.configuration
  }

  /** Version of the active configuration; -1 before the first one. */
  get version (): number {
    return this.configuration?.version ?? -1
  }

  /**
   * Activates a configuration if it is newer than the active one; returns whether it did.
   *
   * @example
   * configurations.adoptConfiguration(configuration)
   */
  adoptConfiguration (configuration: FleetConfiguration): boolean {
    if (configuration.version <= this.version) return false
    const active = this.configuration === undefined ? configuration : shareUnchangedParts(this.configuration, configuration)
    this.configuration = active
    setBounded(this.kept, active.version, active, KEPT_VERSIONS)
    this.routeIndex = makeRouteIndex(active.routes)
    this.customerIndex.setCustomers(active.customers)
    for (const listener of [...this.listeners]) listener(active)
    return true
  }

  /**
   * Calls `listener` with each configuration that becomes active; returns the function that unregisters it.
   *
   * @example
   * const unregister = configurations.registerListener(({ limits }) => apply(limits))
   */
  registerListener (listener: (configuration: FleetConfiguration) => void): () => void {
    this.listeners.add(listener)
    return () => {
      this.listeners.delete(listener)
    }
  }

  /**
   * Finds the route of a request: the one with the longest matching path prefix for its host.
   *
   * @example
   * configurations.findRoute('desk.example', '/orders/17')
   */
  findRoute (host: string, path: string): Route | undefined {
    return this.routeIndex.get(host)?.find((route) => path.startsWith(route.pathPrefix))
  }

  /**
   * Finds the customer that holds a key.
   *
   * @param keyDigest SHA-256 digest of the key, in hexadecimal.
   * @example
   * configurations.findCustomer(hashText(key))
   */
  findCustomer (keyDigest: string): Customer | undefined {
    return this.customerIndex.findCustomer(keyDigest)
  }

  /** One of the newest versions; undefined when this daemon never had it or no longer keeps it. */
  findVersion (version: number): FleetConfiguration | undefined {
    return this.kept.get(version)
  }

  findService (name: string): Service | undefined {
    return this.configuration?.services.get(name)
  }
}
