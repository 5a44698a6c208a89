/** The kernel: named plug-ins for each point of extension. */
import { invariant } from './FigquayErrors.js'

/** Points of extension that a plug-in may serve. */
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

/** Plug-ins by extension point and name. */
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
   * Registers a factory and returns the function that removes it.
   *
   * @example
   * const undo = registry.registerPlugin('roster', 'http', HttpRoster.create)
   */
  registerPlugin<O, T> (point: ExtensionPoint, name: string, factory: (options: O) => T): () => void {
    const key = `${point}/${name}`
    invariant(!this.factories.has(key), `plug-in ${key} is registered twice`)
    this.factories.set(key, factory as Factory)
    return () => {
      this.factories.delete(key)
    }
  }

  /**
   * Builds the plug-in that the settings name, or undefined when there is none.
   *
   * @example
   * const roster = registry.createPlugin<Roster>('roster', 'http', { url })
   */
  createPlugin<T> (point: ExtensionPoint, name: string, options: unknown): T | undefined {
    const factory = this.factories.get(`${point}/${name}`)
    return factory === undefined ? undefined : factory(options) as T
  }

  /**
   * Names registered for an extension point, for error messages.
   *
   * @example
   * registry.listPlugins('roster') // ['http']
   */
  listPlugins (point: ExtensionPoint): string[] {
    const prefix = `${point}/`
    return [...this.factories.keys()].filter((key) => key.startsWith(prefix)).map((key) => key.slice(prefix.length))
  }
}
