export { Caller, type CallResult, type CompletionCall } from './FigquayMeasureCaller.js'
export { LocalCluster, OPERATOR_KEY, type ClusterDaemon, type ClusterOptions, type ClusterUpstream } from './FigquayMeasureCluster.js'
export { DEPLOYMENTS, type DeploymentName, type DeploymentSize } from './FigquayMeasureDeployments.js'
export { findPorts, ManagedProcess } from './FigquayMeasureProcesses.js'
