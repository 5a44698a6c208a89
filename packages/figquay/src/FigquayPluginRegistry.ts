/** Registry of plug-ins by extension point and name. */
import { invariant } from './FigquayErrors.js'

/** Extension points that plug-ins implement. */
export type ExtensionPoint =
  | 'log-service'
  | 'roster'
  | 'weight-store'
  | 'engine-client'
  | 'plain-service-client'
  | 'placement-policy'
  | 'runner-selector'
  | 'admission-policy'

type Factory = (options: unknown) => unknown

/** Registered plug-in factories, looked up by extension point and name. */
export class PluginRegistry {
  private readonly factories = new Map<string, Factory>()

  /**
   * @example
   * const registry = PluginRegistry.create()
   */
  static create (): PluginRegistry {
    return new PluginRegistry()
  }

  /**
   * Registers a factory and returns a function that unregisters it.
   *
   * @example
   * const unregister = registry.registerPlugin('engine-client', 'http', HttpEngineClient.create)
   */
  registerPlugin<O, T> (point: ExtensionPoint, name: string, factory: (options: O) => T): () => void {
    const key = `${point}/${name}`
    invariant(!this.factories.has(key), `plug-in ${key} is already registered`)
    this.factories.set(key, factory as Factory)
    return () => {
      this.factories.delete(key)
    }
  }

  /**
   * Creates the plug-in registered under a name; undefined when there is none.
   *
   * @example
   * const engines = registry.createPlugin<EngineClient>('engine-client', 'http', options)
   */
  createPlugin<T> (point: ExtensionPoint, name: string, options: unknown): T | undefined {
    const factory = this.factories.get(`${point}/${name}`)
    return factory === undefined ? undefined : factory(options) as T
  }

  /**
   * Lists the names registered for an extension point, for error messages.
   *
   * @example
   * registry.listPlugins('engine-client') // ['http']
   */
  listPlugins (point: ExtensionPoint): string[] {
    const prefix = `${point}/`
    return [...this.factories.keys()].filter((key) => key.startsWith(prefix)).map((key) => key.slice(prefix.length))
  }
}
