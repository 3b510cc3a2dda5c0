import { runStreamLoad } from "./streamload.js";
import type { StreamLoad } from "./streamload.js";

// A load generator of its own, so that its processor time does not delay the measuring process.
const load = JSON.parse(process.argv[2] ?? "{}") as StreamLoad;
process.stdout.write(`${JSON.stringify(await runStreamLoad(load))}\n`);
