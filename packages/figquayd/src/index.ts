export { Daemon } from './FigquaydDaemon.js'
export type { DaemonStatus, ApplyReply, InForceReply } from './FigquaydOperatorMethods.js'
export { parseSettings, settingsSchema, type Settings } from './FigquaydSettings.js'
