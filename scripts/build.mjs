/**
 * Bundles each program of the workspace into one file under dist/.
 *
 * Node.js built-in modules stay external. Everything else is included, so that a host needs only Node.js and one file.
 * `node scripts/build.mjs <folder> <name>...` bundles the named programs into another folder.
 */
import { execFileSync } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import { chmod, copyFile, mkdir } from "node:fs/promises";
import { build } from "esbuild";

const entries = {
    "bilberrycroft-node": "daemons/node/src/main.ts",
    "bilberrycroft-store": "standins/store/src/main.ts",
    "bilberrycroft-target": "standins/target/src/main.ts",
    bilberrycroft: "cli/operator/src/main.ts",
    demo: "bench/src/demo.ts",
    bench: "bench/src/main.ts",
    "bench-worker": "bench/src/worker.ts",
    capacity: "bench/src/capacity/main.ts",
    cost: "bench/src/cost/main.ts",
    soak: "bench/src/soak/main.ts",
    experiment: "bench/src/loadModel/main.ts",
};

/** Runs hundreds of times beside targets and has to start fast: it gets a code cache and a launcher that uses it. */
const cachedProgram = { name: "bilberrycroft-sidecar", entry: "platform/src/main.ts" };

const requireShim = "import { createRequire as createRequireForBundle } from \"node:module\";"
    + " const require = createRequireForBundle(import.meta.url);";

const [folder = "dist", ...names] = process.argv.slice(2);

const isSelected = name => names.length === 0 || names.includes(name);

/** The flags of Node.js with which the platform runs the program; the code cache is only valid for the same ones. */
function readDeployedFlags() {
    const run = /^run = "node (.*)"$/m.exec(readFileSync("deploy/system.toml", "utf8"));
    return run[1].split(" ").filter(word => word.startsWith("--"));
}

async function buildCachedProgram({ name, entry }) {
    const bundleFile = `${folder}/${name}.bundle.cjs`;
    await build({
        entryPoints: [entry],
        outfile: bundleFile,
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        alias: { rxjs: "./node_modules/rxjs/dist/esm/index.js" },
        banner: { js: "(function (require, codeCacheProblem) {" },
        footer: { js: "})" },
        logLevel: "warning",
    });
    execFileSync(process.execPath, [
        ...readDeployedFlags(),
        "scripts/createCodeCache.cjs",
        bundleFile,
        `${folder}/${name}.cache`,
    ]);
    await copyFile("scripts/launcher.cjs", `${folder}/${name}.cjs`);
}

await mkdir(folder, { recursive: true });
if (isSelected(cachedProgram.name)) {
    await buildCachedProgram(cachedProgram);
}
for (const [name, entry] of Object.entries(entries)) {
    if (!isSelected(name)) {
        continue;
    }
    if (!existsSync(entry)) {
        console.error(`build: ${entry} does not exist`);
        process.exitCode = 1;
        continue;
    }
    await build({
        entryPoints: [entry],
        outfile: `${folder}/${name}.mjs`,
        bundle: true,
        platform: "node",
        target: "node20",
        format: "esm",
        // The ES module build of rxjs supports tree shaking. For Node.js, rxjs exports CommonJS, which does not.
        alias: { rxjs: "./node_modules/rxjs/dist/esm/index.js" },
        banner: { js: `#!/usr/bin/env node\n${requireShim}` },
        logLevel: "warning",
    });
    await chmod(`${folder}/${name}.mjs`, 0o755);
}
