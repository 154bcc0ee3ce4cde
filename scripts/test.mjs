/**
 * Runs vitest and compares its failures with KNOWN-RED.txt.
 *
 * A listed test that fails is printed and does not fail the run. The run fails on an unlisted failure, on a listed test
 * that passes and on a listed test that does not exist, so that the list cannot become stale. A test listed as
 * intermittent may pass or fail.
 */
import { existsSync, readFileSync } from "node:fs";
import { startVitest } from "vitest/node";

const knownRedFile = "KNOWN-RED.txt";

/**
 * Reads the names of the listed tests. An entry starts with the key and the full test name, such as "test: <name>" or
 * "intermittent: <name>"; its other lines are ignored.
 */
function readListedTests(key) {
    if (!existsSync(knownRedFile)) {
        return [];
    }
    const prefix = `${key}: `;
    const lines = readFileSync(knownRedFile, "utf8").split("\n");
    return lines.filter(line => line.startsWith(prefix)).map(line => line.slice(prefix.length).trim());
}

const intermittent = new Set(readListedTests("intermittent"));
const knownRed = new Set([...readListedTests("test"), ...intermittent]);
const vitest = await startVitest("test", process.argv.slice(2), { run: true, watch: false });
const failedNames = new Set();
const testNames = new Set();
let testCount = 0;
let failureCount = 0;
let unexpectedCount = 0;
let failedFileCount = 0;
for (const file of vitest.state.getTestModules()) {
    if (file.errors().length > 0) {
        failedFileCount++;
    }
    for (const test of file.children.allTests()) {
        testCount++;
        testNames.add(test.fullName);
        if (test.result().state === "failed") {
            failureCount++;
            unexpectedCount += knownRed.has(test.fullName) ? 0 : 1;
            failedNames.add(test.fullName);
        }
    }
}
const unhandledErrorCount = vitest.state.getUnhandledErrors().length;
await vitest.close();

const partialRun = process.argv.length > 2;
const staleNames = partialRun
    ? []
    : [...knownRed].filter(name => intermittent.has(name) ? !testNames.has(name) : !failedNames.has(name));
for (const name of knownRed) {
    console.log(`known red: ${name} (${failedNames.has(name) ? "fails as listed" : testNames.has(name) ? "passes" : "missing"})`);
}
for (const name of staleNames) {
    console.error(`KNOWN-RED.txt lists a test that ${testNames.has(name) ? "passes" : "does not exist"}: ${name}`);
}
const unexpectedFailures = unexpectedCount + failedFileCount + unhandledErrorCount;
const expectedFailures = failureCount - unexpectedCount;
if (expectedFailures > 0) {
    console.log(`${expectedFailures} of the failures above are listed in ${knownRedFile}; the next line counts them as skipped.`);
}
console.log(`${testCount - failureCount} passed, ${unexpectedFailures} failed, ${expectedFailures} skipped`);
process.exit(unexpectedFailures + staleNames.length === 0 && testCount > 0 ? 0 : 1);
