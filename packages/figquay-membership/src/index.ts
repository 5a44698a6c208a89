export { Roster, type RosterSnapshot, type Vm, type VmKind } from './FigquayRoster.js'
export { HttpRoster, registerHttpRoster, type HttpRosterOptions } from './FigquayHttpRoster.js'
export { Membership, type LeavingSource, type MembershipOptions } from './FigquayMembership.js'
