export { HintThrottle } from './FigquayPeersHintThrottle.js'
export { HintTable, type HintFields, type Hints, type ReceivedHints } from './FigquayPeersHints.js'
export { PeerConnection, type PeerCloseCause, type PeerConnectionOptions, type PeerMethods } from './FigquayPeerConnection.js'
export { PeerMesh, selectNeighbours, type PeerAddress, type PeerMeshOptions } from './FigquayPeerMesh.js'
