export { RunnerReportSync, type ReportsReply, type ReportsRequest, type RunnerReportUpdate, type RunnerReportSyncOptions } from './FigquaydRunnerReportSync.js'
export { Daemon } from './FigquaydDaemon.js'
export type { ApplyReply, InForceReply } from './FigquaydOperatorMethods.js'
export { parseSettings, settingsSchema, type Settings } from './FigquaydSettings.js'
