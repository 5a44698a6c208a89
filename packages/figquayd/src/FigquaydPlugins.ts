/** The plug-ins that come with the daemon, and those that the settings choose. */
import { makeFailure, makeSuccess, PluginRegistry, type ExtensionPoint, type Outcome } from 'figquay'
import { registerHttpLogService, type LogService } from 'figquay-log'
import { registerHttpRoster, type Roster } from 'figquay-membership'
import { registerPlacementPolicies, type PlacementPolicy } from 'figquay-placement'
import { registerAdmissionPolicies, registerRunnerSelectors, type AdmissionPolicy, type RunnerSelector } from 'figquay-routing'
import { registerHttpEngineClient, registerHttpPlainServiceClient, type EngineClient, type PlainServiceClient } from 'figquay-upstreams'
import type { Settings } from './FigquaydSettings.js'

/** What the settings chose. */
export interface ChosenPlugins {
  readonly log: LogService
  readonly roster: Roster
  readonly engines: EngineClient
  readonly services: PlainServiceClient
  readonly admission: AdmissionPolicy
  readonly selector: RunnerSelector
  readonly placement: PlacementPolicy
}

/**
 * Registers everything that comes with the daemon.
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

/** A plug-in that the settings name and nobody registered. */
interface MissingPlugin {
  readonly point: ExtensionPoint
  readonly name: string
}

/**
 * Builds what the settings chose, or says which names are unknown.
 *
 * @example
 * const plugins = choosePlugins(registry, settings)
 */
export function choosePlugins (registry: PluginRegistry, settings: Settings): Outcome<ChosenPlugins, string[]> {
  const missing: MissingPlugin[] = []
  const choose = <T>(point: ExtensionPoint, name: string, options: unknown): T => {
    const plugin = registry.createPlugin<T>(point, name, options)
    if (plugin === undefined) missing.push({ point, name })
    return plugin as T
  }
  const chosen: ChosenPlugins = {
    log: choose('log-service', settings.log.plugin, settings.log),
    roster: choose('roster', settings.roster.plugin, settings.roster),
    engines: choose('engine-client', settings.engines.plugin, settings.engines),
    services: choose('plain-service-client', settings.services.plugin, settings.services),
    admission: choose('admission-policy', settings.policies.admission, undefined),
    selector: choose('runner-selector', settings.policies.selector, undefined),
    placement: choose('placement-policy', settings.policies.placement, undefined)
  }
  if (missing.length === 0) return makeSuccess(chosen)
  return makeFailure(missing.map(({ point, name }) => `there is no ${point} "${name}"; expected one of ${registry.listPlugins(point).join(', ')}`))
}
