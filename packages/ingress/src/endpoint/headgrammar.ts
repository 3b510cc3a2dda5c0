/** `HTTP/1.x`, a status code and an optional reason phrase (RFC 9112, section 4). */
const statusLinePattern = /^HTTP\/1\.\d [1-5]\d\d(?: [\t\x20-\x7e\x80-\xff]*)?$/;
const versionPrefix = "HTTP/1.";
/** A token, a colon and visible characters (RFC 9110, section 5); lines that continue the one before are obsolete. */
const fieldLinePattern = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*$/;

/** Whether a line without its end, one character a byte, is a valid status line. */
export function isStatusLine(line: string): boolean {
    return statusLinePattern.test(line);
}

/** Whether more bytes can turn the beginning of a line into a valid status line. */
export function isStatusLineStart(start: string): boolean {
    return start === "\r" || versionPrefix.startsWith(start.slice(0, versionPrefix.length));
}

/** Whether a line without its end, one character a byte, is a valid header or trailer. */
export function isFieldLine(line: string): boolean {
    return fieldLinePattern.test(line);
}
