/** Registers the built-in plug-ins and creates those that the settings select. */
import { makeFailure, makeSuccess, PluginRegistry, type ExtensionPoint, type Outcome } from 'figquay'
import { registerHttpLogService, type LogService } from 'figquay-log'
import { registerHttpRoster, type Roster } from 'figquay-membership'
import { registerPlacementPolicies, type PlacementPolicy } from 'figquay-placement'
import { registerAdmissionPolicies, registerRunnerSelectors, type AdmissionPolicy, type RunnerSelector } from 'figquay-routing'
import { registerHttpEngineClient, registerHttpPlainServiceClient, type EngineClient, type PlainServiceClient } from 'figquay-upstreams'
import type { Settings } from './FigquaydSettings.js'

/** Plug-ins selected by the settings. */
export interface DaemonPlugins {
  readonly log: LogService
  readonly roster: Roster
  readonly engines: EngineClient
  readonly services: PlainServiceClient
  readonly admission: AdmissionPolicy
  readonly selector: RunnerSelector
  readonly placement: PlacementPolicy
}

/**
 * Registers the built-in plug-ins; returns the function that unregisters them.
 *
 * @example
 * const registry = PluginRegistry.create()
 * const undo = registerBuiltInPlugins(registry)
 */
export function registerBuiltInPlugins (registry: PluginRegistry): () => void {
  const undos = [
    registerHttpLogService(registry),
    registerHttpRoster(registry),
    registerHttpEngineClient(registry),
    registerHttpPlainServiceClient(registry),
    registerAdmissionPolicies(registry),
    registerRunnerSelectors(registry),
    registerPlacementPolicies(registry)
  ]
  return () => undos.forEach((undo) => undo())
}

/** A plug-in that the settings name but that is not registered. */
interface UnknownPlugin {
  readonly point: ExtensionPoint
  readonly name: string
}

/**
 * Creates the plug-ins that the settings select; the error lists one message for each unknown name.
 *
 * @example
 * const plugins = createPlugins(registry, settings)
 */
export function createPlugins (registry: PluginRegistry, settings: Settings): Outcome<DaemonPlugins, string[]> {
  const unknownPlugins: UnknownPlugin[] = []
  const createPlugin = <T>(point: ExtensionPoint, name: string, options: unknown): T => {
    const plugin = registry.createPlugin<T>(point, name, options)
    if (plugin === undefined) unknownPlugins.push({ point, name })
    return plugin as T
  }
  const plugins: DaemonPlugins = {
    log: createPlugin('log-service', settings.log.plugin, settings.log),
    roster: createPlugin('roster', settings.roster.plugin, settings.roster),
    engines: createPlugin('engine-client', settings.engines.plugin, settings.engines),
    services: createPlugin('plain-service-client', settings.services.plugin, settings.services),
    admission: createPlugin('admission-policy', settings.policies.admission, undefined),
    selector: createPlugin('runner-selector', settings.policies.selector, undefined),
    placement: createPlugin('placement-policy', settings.policies.placement, undefined)
  }
  if (unknownPlugins.length === 0) return makeSuccess(plugins)
  return makeFailure(unknownPlugins.map(({ point, name }) => `there is no ${point} "${name}"; expected one of ${registry.listPlugins(point).join(', ')}`))
}
