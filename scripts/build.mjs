/**
 * Bundles each binary and command of the workspace into one file under dist/.
 *
 * Node's own modules stay external; everything else is included so that a host needs Node and one file.
 */
import { existsSync } from "node:fs";
import { chmod, mkdir } from "node:fs/promises";
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
};

const requireShim = "import { createRequire as createRequireForBundle } from \"node:module\";"
    + " const require = createRequireForBundle(import.meta.url);";

await mkdir("dist", { recursive: true });
for (const [name, entry] of Object.entries(entries)) {
    if (!existsSync(entry)) {
        console.error(`build: ${entry} does not exist`);
        process.exitCode = 1;
        continue;
    }
    await build({
        entryPoints: [entry],
        outfile: `dist/${name}.mjs`,
        bundle: true,
        platform: "node",
        target: "node20",
        format: "esm",
        banner: { js: `#!/usr/bin/env node\n${requireShim}` },
        logLevel: "warning",
    });
    await chmod(`dist/${name}.mjs`, 0o755);
}
