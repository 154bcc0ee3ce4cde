/**
 * Starts the bundle that lies beside this file, with the V8 code cache of the build. Compiling the bundle anew would
 * take longer than everything else that a process does until it is ready.
 */
"use strict";
// Without a handler, a reload of the settings before the bundle handles the signal would end the process.
const ignoreReload = () => undefined;
process.on("SIGHUP", ignoreReload);

const { readFileSync } = require("node:fs");
const { Script } = require("node:vm");

const base = __filename.slice(0, -".cjs".length);
const bundleFile = `${base}.bundle.cjs`;

function readCodeCache() {
    try {
        return { cachedData: readFileSync(`${base}.cache`), problem: undefined };
    }
    catch (error) {
        return { cachedData: undefined, problem: `cannot be read: ${error.code}` };
    }
}

const { cachedData, problem } = readCodeCache();
const script = new Script(readFileSync(bundleFile, "utf8"), { filename: bundleFile, cachedData });
// The bundle logs the problem as a structured line.
script.runInThisContext()(
    require,
    script.cachedDataRejected ? "is of another Node.js version or has other flags" : problem,
);
