export { Metrics, type RequestResult } from './FigquayReportMetrics.js'
export { BURN_BUCKET_MS, BurnTracker, FAST_WINDOW_MS, SLOW_WINDOW_MS, summariseBurn, type BurnBucket, type BurnRow, type ReadObjective } from './FigquayReportBurn.js'
export { formatBurnHtml, formatBurnText, type BurnReport } from './FigquayReportPage.js'
