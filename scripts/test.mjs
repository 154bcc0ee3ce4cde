/**
 * Runs vitest and compares its failures with KNOWN-RED.txt.
 *
 * A listed test that fails is printed and passed over. A failure that is not listed, a listed test that passes and a
 * listed test that does not exist each fail the run, so that the list can not go stale.
 */
import { existsSync, readFileSync } from "node:fs";
import { startVitest } from "vitest/node";

const knownRedFile = "KNOWN-RED.txt";

/** An entry starts with "test: <full test name>"; further lines of the entry are for readers. */
function readKnownRed() {
    if (!existsSync(knownRedFile)) {
        return new Set();
    }
    const lines = readFileSync(knownRedFile, "utf8").split("\n");
    return new Set(lines.filter(line => line.startsWith("test: ")).map(line => line.slice("test: ".length).trim()));
}

const knownRed = readKnownRed();
const vitest = await startVitest("test", process.argv.slice(2), { run: true, watch: false });
const failed = new Set();
const seen = new Set();
let testCount = 0;
let failureCount = 0;
let unexpectedCount = 0;
let brokenFiles = 0;
for (const file of vitest.state.getTestModules()) {
    if (file.errors().length > 0) {
        brokenFiles++;
    }
    for (const test of file.children.allTests()) {
        testCount++;
        seen.add(test.fullName);
        if (test.result().state === "failed") {
            failureCount++;
            unexpectedCount += knownRed.has(test.fullName) ? 0 : 1;
            failed.add(test.fullName);
        }
    }
}
const unhandled = vitest.state.getUnhandledErrors().length;
await vitest.close();

const partialRun = process.argv.length > 2;
const stale = partialRun ? [] : [...knownRed].filter(name => !failed.has(name));
for (const name of knownRed) {
    console.log(`known red: ${name} (${failed.has(name) ? "fails as listed" : seen.has(name) ? "passes" : "missing"})`);
}
for (const name of stale) {
    console.error(`KNOWN-RED.txt lists a test that ${seen.has(name) ? "passes" : "does not exist"}: ${name}`);
}
const broken = unexpectedCount + brokenFiles + unhandled;
const expectedFailures = failureCount - unexpectedCount;
console.log(`${testCount - failureCount} passed, ${broken} failed, ${expectedFailures} skipped`);
process.exit(broken + stale.length === 0 && testCount > 0 ? 0 : 1);
