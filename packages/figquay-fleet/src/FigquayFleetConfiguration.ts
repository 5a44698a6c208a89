/** The configuration in force: versions only go forward, whoever they come from. */
import type { FleetConfiguration, Route, Service } from './FigquayFleetTypes.js'

/** Routes of one host, the longest prefix first. */
type RouteIndex = ReadonlyMap<string, readonly Route[]>

function makeIndex (routes: readonly Route[]): RouteIndex {
  const index = new Map<string, Route[]>()
  for (const route of routes) {
    const ofHost = index.get(route.host)
    if (ofHost === undefined) index.set(route.host, [route])
    else ofHost.push(route)
  }
  for (const ofHost of index.values()) ofHost.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  return index
}

/** Holds the newest configuration. */
export class ConfigurationHolder {
  private configuration: FleetConfiguration | undefined
  private index: RouteIndex = new Map()
  private readonly listeners = new Set<(configuration: FleetConfiguration) => void>()

  private constructor () {}

  /**
   * @example
   * const configurations = ConfigurationHolder.create()
   */
  static create (): ConfigurationHolder {
    return new ConfigurationHolder()
  }

  /** The configuration in force; undefined until the first one is known. */
  get current (): FleetConfiguration | undefined {
    return this.configuration
  }

  /** Version in force; -1 before the first. */
  get version (): number {
    return this.configuration?.version ?? -1
  }

  /**
   * Puts a configuration in force unless a newer one is; true when it did.
   *
   * @example
   * configurations.adoptConfiguration(configuration)
   */
  adoptConfiguration (configuration: FleetConfiguration): boolean {
    if (configuration.version <= this.version) return false
    this.configuration = configuration
    this.index = makeIndex(configuration.routes)
    for (const listener of [...this.listeners]) listener(configuration)
    return true
  }

  /**
   * Calls `listener` for each configuration that comes into force; returns the function that ends it.
   *
   * @example
   * const undo = configurations.registerListener(({ limits }) => apply(limits))
   */
  registerListener (listener: (configuration: FleetConfiguration) => void): () => void {
    this.listeners.add(listener)
    return () => {
      this.listeners.delete(listener)
    }
  }

  /**
   * Route of a request: the longest prefix among those of its host.
   *
   * @example
   * configurations.findRoute('desk.example', '/orders/17')
   */
  findRoute (host: string, path: string): Route | undefined {
    return this.index.get(host)?.find((route) => path.startsWith(route.pathPrefix))
  }

  /** A service by name. */
  findService (name: string): Service | undefined {
    return this.configuration?.services.get(name)
  }
}
