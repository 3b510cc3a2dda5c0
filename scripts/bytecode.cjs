// Stores the bytecode of the bundled daemon beside it; called by bundle.mjs with the folder of the bundle.
"use strict";
const { writeFileSync } = require("node:fs");
const { join } = require("node:path");
const { setFlagsFromString } = require("node:v8");

const folder = process.argv[2];
const { compileDaemon } = require(join(folder, "filbertrelayd.cjs"));

// Every function is compiled, also those that a start doesn't run: a host's first requests need them at once.
setFlagsFromString("--no-lazy");
const script = compileDaemon(folder);
setFlagsFromString("--lazy");
writeFileSync(join(folder, "daemon.bytecode"), script.createCachedData());
