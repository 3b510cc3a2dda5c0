/**
 * Names, in lower case, of the headers that concern one connection (RFC 9110, section 7.6.1) or that follow from the way in which
 * a body is passed on. Each direction has some of its own beside them.
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
