/**
 * Compiles a bundle completely and writes V8's code cache of it: `node <flags> createCodeCache.cjs <bundle> <cache>`.
 * V8 accepts the cache only in processes of the same Node.js version with the same flags.
 */
"use strict";
const { readFileSync, writeFileSync } = require("node:fs");
const { setFlagsFromString } = require("node:v8");
const { Script } = require("node:vm");

const [bundleFile, cacheFile] = process.argv.slice(2);
// Functions are otherwise compiled, and cached, only when they are first called.
setFlagsFromString("--no-lazy");
const script = new Script(readFileSync(bundleFile, "utf8"), { filename: bundleFile });
setFlagsFromString("--lazy");
writeFileSync(cacheFile, script.createCachedData());
