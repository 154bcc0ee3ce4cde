/**
 * Starts the bundle that lies beside this file, with the V8 code cache of the build. Compiling the bundle anew would
 * take longer than everything else that a process does until it is ready.
 */
"use strict";
const { readFileSync } = require("node:fs");
const { Script } = require("node:vm");

const base = __filename.slice(0, -".cjs".length);
const bundleFile = `${base}.bundle.cjs`;

function readCodeCache() {
    try {
        return readFileSync(`${base}.cache`);
    }
    catch (error) {
        process.stderr.write(`${base}: no code cache (${error.message}), compiling the bundle\n`);
        return undefined;
    }
}

const cachedData = readCodeCache();
const script = new Script(readFileSync(bundleFile, "utf8"), { filename: bundleFile, cachedData });
if (script.cachedDataRejected) {
    process.stderr.write(`${base}: the code cache is of another Node.js version or has other flags, compiling the bundle\n`);
}
script.runInThisContext()(require);
