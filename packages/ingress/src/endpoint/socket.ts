import type { Socket, SocketConstructorOpts, TcpSocketConnectOpts } from "node:net";

/** Opens a connection to an endpoint, as `connect` of `node:net` does. */
export type OpenSocket = (options: TcpSocketConnectOpts & SocketConstructorOpts) => Socket;
