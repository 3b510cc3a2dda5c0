// Bundles the daemon for the users' machines under target/, straight from the sources, and stores its bytecode beside it.
import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { copyFileSync, existsSync, readFileSync } from "node:fs";
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

await build({
    entryPoints: [`${root}platform/src/main.ts`],
    outfile: `${root}target/daemon.cjs`,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minifySyntax: true,
    minifyWhitespace: true,
    sourcemap: false,
    logLevel: "warning",
    plugins: [workspaceSources, englishMessages],
});
copyFileSync(`${root}platform/launcher.cjs`, `${root}target/filbertrelayd.cjs`);
storeBytecode();

/** V8 takes only bytecode that was made under the options with which the program runs. */
function storeBytecode() {
    const { roles } = parse(readFileSync(`${root}deploy/system.toml`, "utf8"));
    const options = roles.ingress.run.split(" ").filter(word => word.startsWith("--"));
    const made = spawnSync(process.execPath, [...options, `${root}scripts/bytecode.cjs`, `${root}target`], { stdio: "inherit" });
    if (made.status !== 0) {
        throw new Error("The bytecode of the daemon could not be stored.");
    }
}
