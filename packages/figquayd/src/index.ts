export { SharedReports, type ReportsReply, type ReportsRequest, type SharedReport, type SharedReportsOptions } from './FigquaydSharedReports.js'
export { Daemon } from './FigquaydDaemon.js'
export type { ApplyReply, InForceReply } from './FigquaydOperatorMethods.js'
export { parseSettings, settingsSchema, type Settings } from './FigquaydSettings.js'
