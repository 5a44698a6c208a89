/** The active configuration. Its version only increases, whichever source a configuration comes from. */
import type { FleetConfiguration, Route, Service } from './FigquayFleetTypes.js'

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
  private routeIndex: RouteIndex = new Map()
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
    this.configuration = configuration
    this.routeIndex = makeRouteIndex(configuration.routes)
    for (const listener of [...this.listeners]) listener(configuration)
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

  findService (name: string): Service | undefined {
    return this.configuration?.services.get(name)
  }
}
