/** Framing, peer authentication and schema-validated calls between entry hosts. */
export { decodeFrame, encodeFrame, FrameReader } from "./frame.js";
export type { Frame, FrameIssue } from "./frame.js";
export * from "./network.js";
export { validateShape } from "./shape.js";
export { createPeerNetwork } from "./tcpnetwork.js";
export type { PeerNetworkOptions, TcpPeerNetwork } from "./tcpnetwork.js";
export type { TopicTraffic } from "./traffic.js";
