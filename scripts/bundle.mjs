// Bundles the daemon for the users' machines under target/, straight from the sources, and stores its bytecode beside it.
import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { copyFileSync, existsSync, mkdirSync, mkdtempSync, readFileSync, renameSync, rmSync } from "node:fs";
import { basename, join } from "node:path";
import { fileURLToPath } from "node:url";
import { parse } from "smol-toml";

const root = fileURLToPath(new URL("..", import.meta.url));

/** Resolves the workspace's packages to their sources, so that nothing has to be compiled before. */
const workspaceSources = {
    name: "workspace-sources",
    setup(bundler) {
        bundler.onResolve({ filter: /^@filbertrelay\// }, ({ path }) => {
            const [name, entry = "."] = path.slice("@filbertrelay/".length).split("/");
            const candidates = [`${root}packages/${name}/src/${entry}/index.ts`, `${root}${name}/src/${entry}/index.ts`];
            return { path: candidates.find(candidate => existsSync(candidate)) };
        });
    },
};

/** Leaves out the messages of the schema library in other languages, half a megabyte that every start would load. */
const englishMessages = {
    name: "english-messages",
    setup(bundler) {
        bundler.onLoad({ filter: /zod[\\/]v4[\\/]locales[\\/]index\.js$/ }, () => ({
            contents: "export { default as en } from \"./en.js\";",
        }));
    },
};

/** What the daemon doesn't use of schemas: their conversion from and to JSON Schema, and their compilation to functions. */
const unusedSchemaParts = {
    "json-schema-processors": "",
    "json-schema-generator": "",
    "from-json-schema": "",
    "to-json-schema": "exports.createToJSONSchemaMethod = exports.createStandardJSONSchemaMethod = () => undefined;",
    "compile": `
        export const compile = undefined, withParser = undefined, INVALID = undefined;
        export const ZodCompileAsyncError = undefined, ZodCompileUnsupportedError = undefined;
        export const compileFn = undefined;`,
};

/** Leaves these parts out, an eighth of what every start would load. */
const plainSchemas = {
    name: "plain-schemas",
    setup(bundler) {
        const filter = new RegExp(`zod[\\\\/]v4[\\\\/](core|classic)[\\\\/](${Object.keys(unusedSchemaParts).join("|")})\\.js$`);
        bundler.onLoad({ filter }, ({ path }) => ({ contents: unusedSchemaParts[basename(path, ".js")] }));
    },
};

const libraries = `${root}node_modules`;
const target = join(root, "target");
/** In the order in which they are put in place: the program that starts the others comes last. */
const files = ["daemon.cjs", "daemon.bytecode", "filbertrelayd.cjs"];

/**
 * What the daemon uses of libraries whose main modules load much more: fetch, caches, web sockets and HTTP/2 of undici, the push
 * gateway and process metrics of prom-client, the reporters of consola. Those took half of a start's processor time.
 */
const usedParts = {
    "undici": `
        const Dispatcher = require("${libraries}/undici/lib/dispatcher/dispatcher.js");
        Dispatcher.prototype.request = require("${libraries}/undici/lib/api/api-request.js");
        exports.Agent = require("${libraries}/undici/lib/dispatcher/agent.js");`,
    "prom-client": `
        exports.Counter = require("${libraries}/prom-client/lib/counter.js");
        exports.Gauge = require("${libraries}/prom-client/lib/gauge.js");
        exports.Histogram = require("${libraries}/prom-client/lib/histogram.js");
        exports.Registry = require("${libraries}/prom-client/lib/registry.js");`,
    "consola": `export { createConsola } from "${libraries}/consola/dist/core.mjs";`,
    // An optional addon, which is not found from a bundle anyway.
    "cbor-extract": "module.exports = undefined;",
};

/** Bundles the used parts in place of the main modules. */
const onlyUsedParts = {
    name: "only-used-parts",
    setup(bundler) {
        const namespace = "used-parts";
        bundler.onResolve({ filter: /^(undici|prom-client|consola|cbor-extract)$/ }, ({ path }) => ({ path, namespace }));
        bundler.onLoad({ filter: /.*/, namespace }, ({ path }) => ({ contents: usedParts[path], resolveDir: root }));
        // The fallback of undici's parser for processors without SIMD instructions, which hosts on x86-64 and arm64 have.
        bundler.onLoad(
            { filter: /undici[\\/]lib[\\/]llhttp[\\/]llhttp-wasm\.js$/ },
            () => ({ contents: "module.exports = Buffer.alloc(0);" }),
        );
        bundler.onLoad({ filter: /undici[\\/]lib[\\/](dispatcher[\\/]client-h2|web[\\/]fetch[\\/]body)\.js$/ }, () => ({
            contents: "module.exports = () => { throw new Error(\"This part of undici is not bundled.\"); };",
        }));
    },
};

mkdirSync(target, { recursive: true });
// Whole files are renamed into place: another process may start the daemon, or bundle the same sources, at any moment.
const folder = mkdtempSync(join(target, ".bundle-"));

await build({
    entryPoints: [`${root}platform/src/main.ts`],
    outfile: join(folder, "daemon.cjs"),
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minifySyntax: true,
    minifyWhitespace: true,
    sourcemap: false,
    logLevel: "warning",
    plugins: [workspaceSources, englishMessages, plainSchemas, onlyUsedParts],
});
copyFileSync(`${root}platform/launcher.cjs`, join(folder, "filbertrelayd.cjs"));
storeBytecode();
files.forEach(file => renameSync(join(folder, file), join(target, file)));
rmSync(folder, { recursive: true });

/** V8 takes only bytecode that was made under the options with which the program runs. */
function storeBytecode() {
    const { roles } = parse(readFileSync(`${root}deploy/system.toml`, "utf8"));
    const options = roles.ingress.run.split(" ").filter(word => word.startsWith("--"));
    const made = spawnSync(process.execPath, [...options, `${root}scripts/bytecode.cjs`, folder], { stdio: "inherit" });
    if (made.status !== 0) {
        throw new Error("The bytecode of the daemon could not be stored.");
    }
}
