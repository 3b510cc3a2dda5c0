// Bundles the daemon for the users' machines into one file under target/, straight from the sources.
import { build } from "esbuild";
import { existsSync } from "node:fs";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));

/** Resolves the workspace's packages to their sources, so that nothing has to be compiled before. */
const workspaceSources = {
    name: "workspace-sources",
    setup(bundler) {
        bundler.onResolve({ filter: /^@filbertrelay\// }, ({ path }) => {
            const name = path.slice("@filbertrelay/".length);
            const candidates = [`${root}packages/${name}/src/index.ts`, `${root}${name}/src/index.ts`];
            return { path: candidates.find(candidate => existsSync(candidate)) };
        });
    },
};

await build({
    entryPoints: [`${root}platform/src/main.ts`],
    outfile: `${root}target/filbertrelayd.mjs`,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    minifySyntax: true,
    sourcemap: false,
    logLevel: "warning",
    plugins: [workspaceSources],
    // Bundled CommonJS modules call `require`, which modules do not have.
    banner: {
        js: "import { createRequire as createModuleRequire } from 'node:module'; const require = createModuleRequire(import.meta.url);",
    },
});
