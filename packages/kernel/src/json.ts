/** Parses JSON text; returns `undefined` if it is malformed. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
