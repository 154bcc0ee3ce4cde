/**
 * Bundles each program of the workspace into one file under dist/.
 *
 * Node.js built-in modules stay external. Everything else is included, so that a host needs only Node.js and one file.
 * `node scripts/build.mjs <folder> <name>...` bundles the named programs into another folder.
 */
import { existsSync } from "node:fs";
import { chmod, mkdir } from "node:fs/promises";
import { build } from "esbuild";

const entries = {
    "bilberrycroft-sidecar": "platform/src/main.ts",
    "bilberrycroft-node": "daemons/node/src/main.ts",
    "bilberrycroft-store": "standins/store/src/main.ts",
    "bilberrycroft-target": "standins/target/src/main.ts",
    bilberrycroft: "cli/operator/src/main.ts",
    demo: "bench/src/demo.ts",
    bench: "bench/src/main.ts",
    "bench-worker": "bench/src/worker.ts",
    capacity: "bench/src/capacity/main.ts",
};

const requireShim = "import { createRequire as createRequireForBundle } from \"node:module\";"
    + " const require = createRequireForBundle(import.meta.url);";

const [folder = "dist", ...names] = process.argv.slice(2);

await mkdir(folder, { recursive: true });
for (const [name, entry] of Object.entries(entries)) {
    if (names.length > 0 && !names.includes(name)) {
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
