/**
 * Lower-case names of headers that are not forwarded, since they apply to a single connection (RFC 9110, section 7.6.1) or depend on
 * how the body is framed. Requests and responses each have further ones.
 */
export const connectionHeaders: readonly string[] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
