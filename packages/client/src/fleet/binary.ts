import { fileURLToPath } from "node:url";

/** The daemon's script. */
export const daemonScript = locate("relay/dist/filbertrelayd.js");

/** The stand-ins' script. */
export const standInScript = locate("standins/dist/main.js");

/** The operators' command line. */
export const clientScript = locate("client/dist/filbertrelay.js");

/** The stand-in engines' module with the function that gives their answers. */
export const standInAnswerModule = locate("standins/dist/answer.js");

// The packages lie side by side, so the path is the same from sources and from compiled files.
function locate(path: string): string {
    return fileURLToPath(new URL(`../../../${path}`, import.meta.url));
}

/** A file of the example deployments. */
export function exampleFile(name: string): string {
    return locate(`../examples/${name}`);
}
