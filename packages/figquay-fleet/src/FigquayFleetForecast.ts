/** Forecasts of when missing models and adapters will be ready, which the leader gives to the daemons whose requests wait for them. */

/** Why a model or adapter is not ready yet. */
export type ForecastReason =
  /** A runner is loading it. */
  | 'loading'
  /** The next load on the chosen runner. */
  | 'planned'
  /** The chosen runner has to finish another order first. */
  | 'runner busy'
  /** The weight store allows no more loads now. */
  | 'store limit'
  /** No replica can be evicted for it. */
  | 'no room'

/** When a model or adapter will be ready for requests. */
export interface ModelForecast {
  readonly service: string
  readonly model: string
  /** Undefined if the model itself is missing. */
  readonly adapter: string | undefined
  /** Milliseconds until it is ready; undefined if it won't be within the planning horizon. */
  readonly readyInMs: number | undefined
  /** By how much it may be later than that, in milliseconds. */
  readonly doubtMs: number
  readonly reason: ForecastReason
  /** Fencing token of the leader that made it: a forecast is void under another leader. */
  readonly fence: number
}
