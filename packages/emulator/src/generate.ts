import { generateTrace } from "./trace/generator.js";
import { locateTrace, writeTrace } from "./trace/trace.js";
import { chaulageWorkload, salalWorkload } from "./trace/workload.js";

// Writes the committed traces; policies are tuned on one seed and reported on the other.
for (const workload of [chaulageWorkload, salalWorkload]) {
    const { deployment } = workload.header;
    writeTrace(locateTrace(deployment, "tuning"), generateTrace(workload, "tuning", 11));
    writeTrace(locateTrace(deployment, "reported"), generateTrace(workload, "reported", 7001));
}
