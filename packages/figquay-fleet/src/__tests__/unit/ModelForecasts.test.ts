/** Forecasts for models and adapters that requests wait for. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { ModelForecasts, type ModelForecast, type ModelNeed, type NeedState, type PendingLoad, type UnplacedModel } from '../../index.js'

const NEED: ModelNeed = { service: 's', model: 'm', adapter: undefined, waiting: 2 }
const MISSING: NeedState = { isModelLoaded: false, loads: [], adapter: undefined }
const FENCE = 41

function makeLoad (expectedAtMs: number, isOrdered = true): PendingLoad {
  return { service: 's', model: 'm', runner: 'r', bornMs: 1, expectedAtMs, expiresAtMs: 20_000, isFromStore: true, isOrdered }
}

function forecastUnplaced (unplaced: Partial<UnplacedModel>, nowMs = 1_000): ModelForecast | undefined {
  const forecasts = ModelForecasts.create()
  forecasts.replacePlan('s', [{ model: 'm', reason: 'no replica can be evicted', runner: undefined, readyInMs: 3_000, ...unplaced }], 1_000)
  return forecasts.makeForecast(NEED, MISSING, FENCE, nowMs)
}

describe('forecasts', () => {
  it('follow the load under way, or the first of several, and say how uncertain it is', () => {
    const forecasts = ModelForecasts.create()
    const state = { ...MISSING, loads: [makeLoad(4_000), makeLoad(2_000)] }
    expect(forecasts.makeForecast(NEED, state, FENCE, 1_000)).toEqual({ service: 's', model: 'm', adapter: undefined, readyInMs: 1_000, doubtMs: 450, reason: 'loading', fence: FENCE })
    expect(forecasts.makeForecast(NEED, { ...MISSING, loads: [makeLoad(2_000, false)] }, FENCE, 1_000)?.reason).toEqual('planned')
  })

  it('put off an overdue load by as long as it is late, with as much more doubt', () => {
    const forecast = ModelForecasts.create().makeForecast(NEED, { ...MISSING, loads: [makeLoad(2_000)] }, FENCE, 3_000)
    expect([forecast?.readyInMs, forecast?.doubtMs]).toEqual([1_000, 1_450])
  })

  it('say why nothing is planned, count down between plans, and promise nothing beyond the horizon', () => {
    expect([forecastUnplaced({})?.reason, forecastUnplaced({})?.readyInMs, forecastUnplaced({}, 1_400)?.readyInMs]).toEqual(['no room', 3_000, 2_600])
    expect(forecastUnplaced({ reason: 'the best runner is busy' })?.reason).toEqual('runner busy')
    expect(forecastUnplaced({ reason: 'the weight store is at its limit' })?.reason).toEqual('store limit')
    expect([forecastUnplaced({ readyInMs: Infinity })?.readyInMs, forecastUnplaced({ readyInMs: 12_000 })?.readyInMs]).toEqual([undefined, undefined])
  })

  it('cover an adapter of a loaded model, and one whose model has to be loaded first', () => {
    const forecasts = ModelForecasts.create()
    const need = { ...NEED, adapter: 'a3' }
    expect(forecasts.makeForecast(need, { isModelLoaded: true, loads: [], adapter: 'loading' }, FENCE, 0)?.readyInMs).toEqual(150)
    expect(forecasts.makeForecast(need, { isModelLoaded: true, loads: [], adapter: 'no room' }, FENCE, 0)?.readyInMs).toEqual(1_000)
    expect(forecasts.makeForecast(need, { ...MISSING, loads: [makeLoad(1_000)] }, FENCE, 0)?.readyInMs).toEqual(1_150)
  })

  it('are missing for what is loaded, what no plan has seen, and after a change of the leader', () => {
    const forecasts = ModelForecasts.create()
    expect(forecasts.makeForecast(NEED, { ...MISSING, isModelLoaded: true }, FENCE, 0)).toEqual(undefined)
    expect(forecasts.makeForecast(NEED, MISSING, FENCE, 0)).toEqual(undefined)
    forecasts.replacePlan('s', [{ model: 'm', reason: 'the best runner is busy', runner: 'r', readyInMs: 300 }], 0)
    forecasts.clear()
    expect(forecasts.makeForecast(NEED, MISSING, FENCE, 0)).toEqual(undefined)
  })
})
