export { OperatorClient, type OperatorAddress, type OperatorFailure } from './FigquayctlClient.js'
export { EXIT_CODES } from './FigquayctlOutput.js'
export { explainLogs, formatExplanation, parseLog, type Explanation, type ExplainedLine, type LogLine } from './FigquayctlExplain.js'
